//! The settings of an instance that dispatches directly.
//!
//! They stand in a file of their own form: such an instance has no keys, leases or other instances
//! to talk to, and what it would do with a field of the other form is nobody's guess.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::document::Field;
use crate::document::Source;
use crate::document::Table;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::settings::Log;

/// The fields of the settings.
const FIELDS: &[&str] = &[
    "dispatch",
    "protocol",
    "name",
    "zone",
    "zones",
    "callers_listen",
    "ready_listen",
    "metrics_listen",
    "relay_listen",
    "seeds",
    "registry_address",
    "memory_mb",
    "cpu_share",
    "bounds",
    "sharing",
    "log",
];

/// The fields of `bounds`.
const BOUNDS: &[&str] = &[
    "in_force_ms",
    "evacuate_ms",
    "drain_ms",
    "shutdown_s",
    "catch_up_ms",
    "repeat_ratio",
    "repeat_window_s",
    "repeat_allowance",
    "cold_overage",
    "cold_slack",
];

/// The fields of `sharing`.
const SHARING: &[&str] = &["parts_min", "parts_each"];

/// The fewest shards of a search that is shared, unless the settings name another number: below, one
/// instance has sent to all shards before another one could have begun.
const PARTS_MIN: u64 = 40;

/// How many shards one instance collects, unless the settings name another number: about as many as
/// cost as much as handing out the other groups.
const PARTS_EACH: u64 = 14;

/// How an instance dispatches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dispatch {
    /// Through the one owner of each upstream.
    Owners,
    /// To upstreams itself.
    Direct,
}

/// What a directly dispatching instance speaks to callers, upstreams and the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProtocolName {
    /// The protocol of the Corporation platform.
    Corporation,
}

/// The settings of an instance that dispatches directly.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectSettings {
    /// What it speaks.
    pub protocol: ProtocolName,
    /// The name of the instance, unique among all and the same after a restart.
    pub name: String,
    /// The availability zone that it runs in.
    pub zone: String,
    /// The region of each availability zone.
    pub zones: BTreeMap<String, String>,
    /// Where callers connect.
    pub callers_listen: SocketAddr,
    /// Where the platform asks whether the instance is ready.
    pub ready_listen: SocketAddr,
    /// Where metrics are served.
    pub metrics_listen: Option<SocketAddr>,
    /// Where other instances learn what this one has read in the registry.
    pub relay_listen: Option<SocketAddr>,
    /// Where other instances are that are worth a try when none is known.
    pub seeds: Vec<SocketAddr>,
    /// Where the registry is.
    pub registry_address: SocketAddr,
    /// How much memory the process may use, in bytes; a part of it is for answers. Default: 256 MiB.
    pub memory_bytes: usize,
    /// How much of a processor the process has, in thousandths of a core. Default: 1,000.
    pub cpu_permille: u32,
    /// How soon a change of the routes is in force, in milliseconds. Default: 3,000.
    pub in_force_ms: u64,
    /// How soon an availability zone that is taken out of service gets nothing more, in milliseconds.
    /// Default: 5,000.
    pub evacuate_ms: u64,
    /// How long an upstream that is leaving may still get requests, in milliseconds.
    pub drain_ms: u64,
    /// How long a graceful shutdown may take, in milliseconds.
    pub shutdown_ms: u64,
    /// How soon after an outage of the registry the instance knows what the registry holds, in
    /// milliseconds. Default: 5,000.
    pub catch_up_ms: u64,
    /// Repeats allowed for each request, over all instances.
    pub repeat_ratio: f64,
    /// The sliding window over which repeats are counted, in milliseconds.
    pub repeat_window_ms: u64,
    /// Repeats allowed beyond the ratio in a window, over all instances.
    pub repeat_allowance: f64,
    /// By which factor a cold upstream may get more than it says that it bears.
    pub cold_overage: f64,
    /// How many requests a second a cold upstream may get beyond that.
    pub cold_slack: f64,
    /// The fewest shards of a search that is shared with other instances of the availability zone.
    pub sharing_parts_min: usize,
    /// How many shards one instance collects of a search that is shared.
    pub sharing_parts_each: usize,
    /// What is logged.
    pub log: Log,
}

/// The fields in which two settings differ.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangedFields {
    /// Those that a running instance takes over.
    pub live: Vec<&'static str>,
    /// Those that need a restart.
    pub fixed: Vec<&'static str>,
}

/// Returns the names of the fields that differ.
fn names(fields: &[(&'static str, bool)]) -> Vec<&'static str> {
    let differing = fields.iter().filter(|(_, differs)| *differs);
    differing.map(|(name, _)| *name).collect()
}

impl Dispatch {
    /// Returns how the settings in `text` want to dispatch; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// Names file, line and what was expected.
    pub fn of(text: &str, file: &str) -> Result<Dispatch, Error> {
        let source = Source::new(text, file);
        let value = source.parse()?;
        let root = source.root(&value);
        let fields = root.entries("an object")?;
        let Some((_, field)) = fields.iter().find(|(name, _)| *name == "dispatch") else {
            return Ok(Dispatch::Owners);
        };
        match field.text("\"owners\" or \"direct\"")? {
            "owners" => Ok(Dispatch::Owners),
            "direct" => Ok(Dispatch::Direct),
            _ => Err(field.expected("\"owners\" or \"direct\"")),
        }
    }
}

impl DirectSettings {
    /// Parses and checks settings; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// Names file, line, field and what was expected.
    pub fn parse(text: &str, file: &str) -> Result<DirectSettings, Error> {
        let source = Source::new(text, file);
        let value = source.parse()?;
        let table = source.root(&value).table(FIELDS)?;
        let bounds = table.need("bounds", "an object")?.table(BOUNDS)?;
        let sharing = table.get("sharing");
        let sharing = sharing.map(|field| field.table(SHARING)).transpose()?;
        let parts = |name, default| match &sharing {
            Some(sharing) => sharing.number_or(name, default, 1, 100_000),
            None => Ok(default),
        };
        let settings = DirectSettings {
            protocol: protocol(&table)?,
            name: text_of(&table, "name")?,
            zone: text_of(&table, "zone")?,
            zones: zones(&table)?,
            callers_listen: address(&table, "callers_listen")?,
            ready_listen: address(&table, "ready_listen")?,
            metrics_listen: table
                .get("metrics_listen")
                .map(Field::address)
                .transpose()?,
            relay_listen: table.get("relay_listen").map(Field::address).transpose()?,
            seeds: seeds(&table)?,
            registry_address: address(&table, "registry_address")?,
            cpu_permille: (1_000.0 * decimal(&table, "cpu_share", 1.0, 1_024.0)?) as u32,
            memory_bytes: (table.number_or("memory_mb", 256, 16, 1 << 20)? as usize) << 20,
            in_force_ms: bounds.number_or("in_force_ms", 3_000, 500, 600_000)?,
            evacuate_ms: bounds.number_or("evacuate_ms", 5_000, 500, 600_000)?,
            drain_ms: bounds.number_or("drain_ms", 3_000, 100, 600_000)?,
            shutdown_ms: 1_000 * bounds.number_or("shutdown_s", 6, 1, 600)?,
            catch_up_ms: bounds.number_or("catch_up_ms", 5_000, 500, 600_000)?,
            repeat_ratio: decimal(&bounds, "repeat_ratio", 0.2, 10.0)?,
            repeat_window_ms: 1_000 * bounds.number_or("repeat_window_s", 10, 1, 600)?,
            repeat_allowance: decimal(&bounds, "repeat_allowance", 50.0, 1e6)?,
            cold_overage: decimal(&bounds, "cold_overage", 1.0, 100.0)?,
            cold_slack: decimal(&bounds, "cold_slack", 0.0, 1e6)?,
            sharing_parts_min: parts("parts_min", PARTS_MIN)? as usize,
            sharing_parts_each: parts("parts_each", PARTS_EACH)? as usize,
            log: Log::read(&table)?,
        };
        settings.check(&table)?;
        Ok(settings)
    }

    /// Returns the fields in which `newer` differs: those that a running instance takes over, and those
    /// that it can't.
    pub fn changed(&self, newer: &DirectSettings) -> ChangedFields {
        let live = [
            ("bounds.in_force_ms", self.in_force_ms != newer.in_force_ms),
            ("bounds.evacuate_ms", self.evacuate_ms != newer.evacuate_ms),
            ("bounds.catch_up_ms", self.catch_up_ms != newer.catch_up_ms),
            ("bounds.drain_ms", self.drain_ms != newer.drain_ms),
            ("bounds.shutdown_s", self.shutdown_ms != newer.shutdown_ms),
            (
                "bounds.repeat_ratio",
                self.repeat_ratio != newer.repeat_ratio,
            ),
            (
                "bounds.repeat_allowance",
                self.repeat_allowance != newer.repeat_allowance,
            ),
            (
                "bounds.cold_overage",
                self.cold_overage != newer.cold_overage,
            ),
            ("bounds.cold_slack", self.cold_slack != newer.cold_slack),
            (
                "sharing.parts_min",
                self.sharing_parts_min != newer.sharing_parts_min,
            ),
            (
                "sharing.parts_each",
                self.sharing_parts_each != newer.sharing_parts_each,
            ),
            ("log.level", self.log.level != newer.log.level),
        ];
        let fixed = [
            ("protocol", self.protocol != newer.protocol),
            ("name", self.name != newer.name),
            ("zone", self.zone != newer.zone),
            ("zones", self.zones != newer.zones),
            (
                "callers_listen",
                self.callers_listen != newer.callers_listen,
            ),
            ("ready_listen", self.ready_listen != newer.ready_listen),
            (
                "metrics_listen",
                self.metrics_listen != newer.metrics_listen,
            ),
            ("relay_listen", self.relay_listen != newer.relay_listen),
            (
                "registry_address",
                self.registry_address != newer.registry_address,
            ),
            ("seeds", self.seeds != newer.seeds),
            ("cpu_share", self.cpu_permille != newer.cpu_permille),
            ("memory_mb", self.memory_bytes != newer.memory_bytes),
            (
                "bounds.repeat_window_s",
                self.repeat_window_ms != newer.repeat_window_ms,
            ),
            ("log.filter", self.log.filter != newer.log.filter),
        ];
        ChangedFields {
            live: names(&live),
            fixed: names(&fixed),
        }
    }

    /// Takes over the fields of `newer` that a running instance can take over.
    pub fn take_over(&mut self, newer: &DirectSettings) {
        self.in_force_ms = newer.in_force_ms;
        self.evacuate_ms = newer.evacuate_ms;
        self.catch_up_ms = newer.catch_up_ms;
        self.drain_ms = newer.drain_ms;
        self.shutdown_ms = newer.shutdown_ms;
        self.repeat_ratio = newer.repeat_ratio;
        self.repeat_allowance = newer.repeat_allowance;
        self.cold_overage = newer.cold_overage;
        self.cold_slack = newer.cold_slack;
        self.sharing_parts_min = newer.sharing_parts_min;
        self.sharing_parts_each = newer.sharing_parts_each;
        self.log.level = newer.log.level;
    }

    /// Checks what several fields say together.
    fn check(&self, table: &Table<'_, '_>) -> Result<(), Error> {
        if !self.zones.contains_key(&self.zone) {
            let field = table.need("zone", "a name")?;
            let message = format!("zones does not name \"{}\"", self.zone);
            return Err(field.error(ErrorKind::NotFound, message));
        }
        let listens = [
            ("ready_listen", Some(self.ready_listen)),
            ("metrics_listen", self.metrics_listen),
            ("relay_listen", self.relay_listen),
        ];
        for (name, address) in listens {
            if address == Some(self.callers_listen) && self.callers_listen.port() != 0 {
                let field = table.need(name, "an address")?;
                let message = String::from("is the same address as callers_listen");
                return Err(field.error(ErrorKind::Conflict, message));
            }
        }
        Ok(())
    }
}

/// Reads a number that need not be whole, from 0 to `max`.
fn decimal(table: &Table<'_, '_>, name: &str, default: f64, max: f64) -> Result<f64, Error> {
    let Some(field) = table.get(name) else {
        return Ok(default);
    };
    let number = field.number(0.0, max);
    number.map_err(|_| field.expected(format!("a number from 0 to {max}")))
}

fn protocol(table: &Table<'_, '_>) -> Result<ProtocolName, Error> {
    let field = table.need("protocol", "\"corporation\"")?;
    match field.text("\"corporation\"")? {
        "corporation" => Ok(ProtocolName::Corporation),
        _ => Err(field.expected("\"corporation\"")),
    }
}

fn text_of(table: &Table<'_, '_>, name: &str) -> Result<String, Error> {
    let field = table.need(name, "a name")?;
    match field.text("a name")? {
        "" => Err(field.expected("a name")),
        text => Ok(String::from(text)),
    }
}

fn address(table: &Table<'_, '_>, name: &str) -> Result<SocketAddr, Error> {
    table.need(name, "an IP address with a port")?.address()
}

fn zones(table: &Table<'_, '_>) -> Result<BTreeMap<String, String>, Error> {
    let field = table.need("zones", "the region of each availability zone")?;
    let mut zones = BTreeMap::new();
    for (zone, region) in field.entries("the region of each availability zone")? {
        let region = region.text("the name of a region")?;
        zones.insert(String::from(zone), String::from(region));
    }
    Ok(zones)
}

fn seeds(table: &Table<'_, '_>) -> Result<Vec<SocketAddr>, Error> {
    let Some(field) = table.get("seeds") else {
        return Ok(Vec::new());
    };
    let seeds = field.list("a list of IP addresses with ports")?;
    seeds.iter().map(Field::address).collect()
}
