//! The settings of an instance that dispatches to upstreams directly.
//!
//! These settings have their own file format. An instance that dispatches directly has no keys and
//! no leases, so most fields of [`Settings`](crate::Settings) would have no meaning for it.

mod figures;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use self::figures::FigureReader;
pub use self::figures::ReplacedValue;
use crate::document::JsonObject;
use crate::document::JsonSource;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::settings::Log;

/// The known fields of the settings.
const SETTINGS_FIELDS: &[&str] = &[
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

/// The known fields of the settings' `bounds` object.
const BOUNDS_FIELDS: &[&str] = &[
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

/// The known fields of the settings' `sharing` object.
const SHARING_FIELDS: &[&str] = &["parts_min", "parts_each"];

/// The default for the fewest shards of a search that is divided among instances. For a smaller
/// search, one instance has sent all sub-requests before another instance could begin.
const DEFAULT_DIVIDED_SEARCH_SHARDS_MIN: f64 = 40.0;

/// The default for the number of shards that each instance collects of a divided search. Collecting
/// this many shards costs about as much as delegating the other groups of shards.
const DEFAULT_SHARDS_PER_INSTANCE: f64 = 14.0;

/// The largest bound on a time, in seconds.
const BOUND_MAX_S: f64 = 600.0;

/// The largest bound on a time, in milliseconds.
const BOUND_MAX_MS: f64 = 1_000.0 * BOUND_MAX_S;

/// The largest memory that the settings can name, in MiB.
const MEMORY_MAX_MB: f64 = (1 << 20) as f64;

/// Bytes of one MiB.
const MB_BYTES: f64 = (1 << 20) as f64;

/// The way in which an instance dispatches requests to upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchMode {
    /// The instance sends each request through the instance that owns the upstream.
    ThroughOwners,
    /// The instance sends each request to the upstream itself.
    Direct,
}

/// The protocol that an instance uses with callers, upstreams and the registry, if it dispatches
/// directly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProtocolName {
    /// The protocol of the Corporation platform.
    Corporation,
}

/// The settings of an instance that dispatches to upstreams directly.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectSettings {
    /// The protocol of callers, upstreams and the registry.
    pub protocol: ProtocolName,
    /// The name of the instance, which is unique among all instances and survives a restart.
    pub name: String,
    /// The availability zone in which the instance runs.
    pub zone: String,
    /// The region of each availability zone.
    pub zones: BTreeMap<String, String>,
    /// The address on which the instance accepts callers.
    pub callers_listen: SocketAddr,
    /// The address on which the instance answers the platform's readiness checks.
    pub ready_listen: SocketAddr,
    /// The address on which the instance serves metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// The address on which the instance relays the registry's content to other instances.
    pub relay_listen: Option<SocketAddr>,
    /// The addresses of instances to contact while no other instance is known.
    pub seeds: Vec<SocketAddr>,
    /// The address of the registry.
    pub registry_address: SocketAddr,
    /// The memory that the process may use, in bytes, part of which is for answers. Default:
    /// 256 MiB.
    pub memory_bytes: usize,
    /// The CPU time that the process may use, in thousandths of a core. Default: 1,000.
    pub cpu_permille: u32,
    /// The longest time until a change of the routes is in force, in milliseconds. Default: 3,000.
    pub in_force_ms: u64,
    /// The longest time until an availability zone that is taken out of service receives no more
    /// requests, in milliseconds. Default: 5,000.
    pub evacuate_ms: u64,
    /// The longest time for which an upstream that is leaving may still receive requests, in
    /// milliseconds. Default: 3,000.
    pub drain_ms: u64,
    /// The longest duration of a graceful shutdown, in milliseconds. Default: 6,000.
    pub shutdown_ms: u64,
    /// The longest time after a registry outage until the instance has the registry's current
    /// content, in milliseconds. Default: 5,000.
    pub catch_up_ms: u64,
    /// The number of repeats allowed per request, over all instances. Default: 0.2.
    pub repeat_ratio: f64,
    /// The length of the sliding window over which repeats are counted, in milliseconds. Default:
    /// 10,000.
    pub repeat_window_ms: u64,
    /// The number of repeats allowed in a window beyond the ratio, over all instances. Default: 50.
    pub repeat_allowance: f64,
    /// The factor on the request rate that a cold upstream reports that it can bear, for the bound
    /// on requests to the upstream. Default: 1.0.
    pub cold_overage: f64,
    /// The requests per second that are added to the bound for a cold upstream. Default: 0.
    pub cold_slack: f64,
    /// The fewest shards of a search that is divided among instances of the availability zone.
    /// Default: 40.
    pub sharing_parts_min: usize,
    /// The number of shards that each instance collects of a divided search. Default: 14.
    pub sharing_parts_each: usize,
    /// The log level and filter.
    pub log: Log,
}

/// The fields in which two settings differ.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangedFields {
    /// The names of the differing fields that a running instance can adopt.
    pub live: Vec<&'static str>,
    /// The names of the differing fields that need a restart.
    pub fixed: Vec<&'static str>,
}

/// Returns the names of the fields that differ.
fn differing_names(fields: &[(&'static str, bool)]) -> Vec<&'static str> {
    let differing = fields.iter().filter(|(_, differs)| *differs);
    differing.map(|(name, _)| *name).collect()
}

impl DispatchMode {
    /// Returns the value of the settings' `dispatch` field, or [`DispatchMode::ThroughOwners`] if the
    /// field is absent. Errors give `file` as the name of the settings' file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the line and the expected value.
    pub fn from_settings(text: &str, file: &str) -> Result<DispatchMode, Error> {
        let source = JsonSource::new(text, file);
        let value = source.parse()?;
        let root = source.root(&value);
        let fields = root.entries("an object")?;
        let Some((_, field)) = fields.iter().find(|(name, _)| *name == "dispatch") else {
            return Ok(DispatchMode::ThroughOwners);
        };
        match field.text("\"owners\" or \"direct\"")? {
            "owners" => Ok(DispatchMode::ThroughOwners),
            "direct" => Ok(DispatchMode::Direct),
            _ => Err(field.expected("\"owners\" or \"direct\"")),
        }
    }
}

/// Settings that can be used, and what had to be replaced in them.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedSettings {
    /// The settings.
    pub settings: DirectSettings,
    /// The values of the file that can't be used.
    pub replaced: Vec<ReplacedValue>,
}

impl DirectSettings {
    /// Parses and checks settings. Errors give `file` as the name of the settings' file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the line, the field and the expected value, also for a
    /// value that [`DirectSettings::load`] replaces.
    pub fn parse(text: &str, file: &str) -> Result<DirectSettings, Error> {
        let loaded = DirectSettings::load(text, file)?;
        match loaded.replaced.into_iter().next() {
            Some(replaced) => Err(replaced.error),
            None => Ok(loaded.settings),
        }
    }

    /// Parses settings for a process that has to run. Figures, optional ports and seeds that can't
    /// be used are replaced. Errors give `file` as the name of the settings' file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the line, the field and the expected value if the file
    /// is not of the expected form, or if a value is missing or wrong that has no replacement: the
    /// protocol, a name, or the address of a port that every instance has.
    pub fn load(text: &str, file: &str) -> Result<LoadedSettings, Error> {
        let source = JsonSource::new(text, file);
        let value = source.parse()?;
        let object = source.root(&value).object(SETTINGS_FIELDS)?;
        let bounds = object
            .require("bounds", "an object")?
            .object(BOUNDS_FIELDS)?;
        let sharing = object.get("sharing");
        let sharing = sharing
            .map(|field| field.object(SHARING_FIELDS))
            .transpose()?;
        let mut figures = FigureReader::default();
        let mut read_shard_count = |name, default| match &sharing {
            Some(sharing) => figures.read(sharing, name, default, 1.0..=1e5) as usize,
            None => default as usize,
        };
        let settings = DirectSettings {
            sharing_parts_min: read_shard_count("parts_min", DEFAULT_DIVIDED_SEARCH_SHARDS_MIN),
            sharing_parts_each: read_shard_count("parts_each", DEFAULT_SHARDS_PER_INSTANCE),
            protocol: read_protocol(&object)?,
            name: read_nonempty_text(&object, "name")?,
            zone: read_nonempty_text(&object, "zone")?,
            zones: read_zones(&object)?,
            callers_listen: read_address(&object, "callers_listen")?,
            ready_listen: read_address(&object, "ready_listen")?,
            metrics_listen: figures.read_optional_address(&object, "metrics_listen"),
            relay_listen: figures.read_optional_address(&object, "relay_listen"),
            seeds: figures.read_addresses(&object, "seeds"),
            registry_address: read_address(&object, "registry_address")?,
            cpu_permille: (1_000.0 * figures.read(&object, "cpu_share", 1.0, 0.0..=1_024.0)) as u32,
            memory_bytes: (MB_BYTES
                * figures.read(&object, "memory_mb", 256.0, 16.0..=MEMORY_MAX_MB))
                as usize,
            in_force_ms: figures.read_ms(&bounds, "in_force_ms", 3_000.0, 500.0..=BOUND_MAX_MS),
            evacuate_ms: figures.read_ms(&bounds, "evacuate_ms", 5_000.0, 500.0..=BOUND_MAX_MS),
            drain_ms: figures.read_ms(&bounds, "drain_ms", 3_000.0, 100.0..=BOUND_MAX_MS),
            shutdown_ms: figures.read_s(&bounds, "shutdown_s", 6.0, 0.0..=BOUND_MAX_S),
            catch_up_ms: figures.read_ms(&bounds, "catch_up_ms", 5_000.0, 500.0..=BOUND_MAX_MS),
            repeat_ratio: figures.read(&bounds, "repeat_ratio", 0.2, 0.0..=10.0),
            repeat_window_ms: figures.read_s(&bounds, "repeat_window_s", 10.0, 1.0..=BOUND_MAX_S),
            repeat_allowance: figures.read(&bounds, "repeat_allowance", 50.0, 0.0..=1e6),
            cold_overage: figures.read(&bounds, "cold_overage", 1.0, 0.0..=100.0),
            cold_slack: figures.read(&bounds, "cold_slack", 0.0, 0.0..=1e6),
            log: Log::read(&object)?,
        };
        settings.check(&object)?;
        Ok(LoadedSettings {
            settings,
            replaced: figures.replaced,
        })
    }

    /// Returns the names of the fields in which `newer` differs, divided into fields that a running
    /// instance can adopt and fields that need a restart.
    pub fn diff(&self, newer: &DirectSettings) -> ChangedFields {
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
            live: differing_names(&live),
            fixed: differing_names(&fixed),
        }
    }

    /// Copies the fields of `newer` that a running instance can adopt.
    pub fn apply_reload(&mut self, newer: &DirectSettings) {
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

    /// Checks the fields against each other: `zones` names the instance's zone, and no other port
    /// shares the address of `callers_listen`.
    fn check(&self, object: &JsonObject<'_, '_>) -> Result<(), Error> {
        if !self.zones.contains_key(&self.zone) {
            let field = object.require("zone", "a name")?;
            let message = format!("zones does not name \"{}\"", self.zone);
            return Err(field.error(ErrorKind::NotFound, message));
        }
        let listen_addresses = [
            ("ready_listen", Some(self.ready_listen)),
            ("metrics_listen", self.metrics_listen),
            ("relay_listen", self.relay_listen),
        ];
        for (name, address) in listen_addresses {
            if address == Some(self.callers_listen) && self.callers_listen.port() != 0 {
                let field = object.require(name, "an address")?;
                let message = String::from("is the same address as callers_listen");
                return Err(field.error(ErrorKind::Conflict, message));
            }
        }
        Ok(())
    }
}

fn read_protocol(object: &JsonObject<'_, '_>) -> Result<ProtocolName, Error> {
    let field = object.require("protocol", "\"corporation\"")?;
    match field.text("\"corporation\"")? {
        "corporation" => Ok(ProtocolName::Corporation),
        _ => Err(field.expected("\"corporation\"")),
    }
}

fn read_nonempty_text(object: &JsonObject<'_, '_>, name: &str) -> Result<String, Error> {
    let field = object.require(name, "a name")?;
    match field.text("a name")? {
        "" => Err(field.expected("a name")),
        text => Ok(String::from(text)),
    }
}

fn read_address(object: &JsonObject<'_, '_>, name: &str) -> Result<SocketAddr, Error> {
    object.require(name, "an IP address with a port")?.address()
}

fn read_zones(object: &JsonObject<'_, '_>) -> Result<BTreeMap<String, String>, Error> {
    let field = object.require("zones", "the region of each availability zone")?;
    let mut zones = BTreeMap::new();
    for (zone, region) in field.entries("the region of each availability zone")? {
        let region = region.text("the name of a region")?;
        zones.insert(String::from(zone), String::from(region));
    }
    Ok(zones)
}
