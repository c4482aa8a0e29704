//! The settings of one instance.
//!
//! The settings hold values that differ between processes or machines. Values on which all
//! instances must agree belong into release notes. Every field has a documented default, except for
//! fields that only the operator can know. The settings name the file or the environment variable
//! that holds a key, never the key itself, because settings are copied and shown.

mod keys;
mod limits;
mod log;
mod timing;

use std::net::SocketAddr;

pub use self::keys::KeySource;
pub use self::keys::KeySources;
pub use self::keys::Keys;
pub use self::limits::Limits;
pub use self::log::Level;
pub use self::log::Log;
pub use self::timing::Timing;

use crate::document::Field;
use crate::document::JsonObject;
use crate::document::JsonSource;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::note::check_name;

/// The known fields of the settings.
const SETTINGS_FIELDS: &[&str] = &[
    "zone",
    "callers_listen",
    "operators_listen",
    "instances_listen",
    "instances_advertise",
    "platform",
    "keys",
    "seeds",
    "limits",
    "timing",
    "log",
];

/// The settings of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The availability zone in which the instance runs.
    pub zone: String,
    /// The address on which the instance accepts callers.
    pub callers_listen: SocketAddr,
    /// The address on which the instance accepts operators and their monitoring.
    pub operators_listen: SocketAddr,
    /// The address on which the instance accepts other instances.
    pub instances_listen: SocketAddr,
    /// The address at which other instances reach this instance, if it differs from
    /// `instances_listen`.
    pub instances_advertise: Option<SocketAddr>,
    /// The platform's store and instance list.
    pub platform: Platform,
    /// The files or environment variables that hold the keys.
    pub keys: KeySources,
    /// The addresses of instances to ask for other instances while the platform's instance list
    /// does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Bounds on the resources that the instance uses.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// The log level and filter.
    pub log: Log,
}

/// The address of the platform's store and instance list, and the parameters of calls to them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Platform {
    /// The HTTP address of the store.
    pub store_address: SocketAddr,
    /// The name of the tier's own service in the instance list. Default: `hemlockrouter`.
    pub service_name: String,
    /// The timeout of a call, in milliseconds. Default: 1,000.
    pub timeout_ms: u64,
    /// The interval between two reads of the instance list, in milliseconds. Default: 5,000.
    pub list_every_ms: u64,
}

impl Settings {
    /// Parses and checks settings. Errors give `file` as the name of the settings' file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the line, the field and the expected value.
    ///
    /// # Examples
    ///
    /// ```
    /// use hemlockrouter_config::Settings;
    ///
    /// let err = Settings::parse(r#"{ "zon": "daegu-1" }"#, "settings.jsonc").unwrap_err();
    /// let text = r#"settings.jsonc:1: zon: unknown field; did you mean "zone"?"#;
    /// assert_eq!(err.to_string(), text);
    /// ```
    pub fn parse(text: &str, file: &str) -> Result<Settings, Error> {
        let source = JsonSource::new(text, file);
        let value = source.parse()?;
        let root = source.root(&value);
        let object = root.object(SETTINGS_FIELDS)?;
        let settings = Settings {
            zone: read_zone(&object)?,
            callers_listen: read_listen_address(&object, "callers_listen")?,
            operators_listen: read_listen_address(&object, "operators_listen")?,
            instances_listen: read_listen_address(&object, "instances_listen")?,
            instances_advertise: object
                .get("instances_advertise")
                .map(read_connectable_address)
                .transpose()?,
            platform: Platform::read(&object)?,
            keys: KeySources::read(&object, file)?,
            seeds: read_seeds(&object)?,
            limits: Limits::read(&object)?,
            timing: Timing::read(&object)?,
            log: Log::read(&object)?,
        };
        settings.check_listen_addresses(&object)?;
        Ok(settings)
    }

    /// Reads the keys from the files or environment variables that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field if its file or environment variable can't be read or
    /// holds an invalid key, or if both keys are the same. No error contains any part of a key.
    pub fn load_keys(&self) -> Result<Keys, Error> {
        self.keys.load()
    }

    /// Returns the address at which other instances reach this instance.
    pub fn instances_address(&self) -> SocketAddr {
        self.instances_advertise.unwrap_or(self.instances_listen)
    }

    /// Checks that all listening addresses differ, and that other instances can connect to this
    /// instance.
    fn check_listen_addresses(&self, object: &JsonObject<'_, '_>) -> Result<(), Error> {
        let listen_addresses = [
            ("callers_listen", self.callers_listen),
            ("operators_listen", self.operators_listen),
            ("instances_listen", self.instances_listen),
        ];
        for (index, (name, address)) in listen_addresses.iter().enumerate() {
            let is_same_address =
                |(_, other): &&(&str, SocketAddr)| other == address && address.port() != 0;
            if let Some((other, _)) = listen_addresses[..index].iter().find(is_same_address) {
                let field = object.require(name, "an address")?;
                let message = format!("is the same address as {other}");
                return Err(field.error(ErrorKind::Conflict, message));
            }
        }
        if self.instances_advertise.is_none() && self.instances_listen.ip().is_unspecified() {
            let field = object.require("instances_listen", "an address")?;
            let message = String::from(
                "other instances can't connect to an unspecified address; \
                 set instances_advertise",
            );
            return Err(field.error(ErrorKind::Conflict, message));
        }
        Ok(())
    }
}

impl Platform {
    fn read(settings: &JsonObject<'_, '_>) -> Result<Platform, Error> {
        let field = settings.require("platform", "an object with store_address")?;
        let object = field.object(&[
            "store_address",
            "service_name",
            "timeout_ms",
            "list_every_ms",
        ])?;
        let service_name = match object.get("service_name") {
            Some(field) => read_name(field)?,
            None => String::from("hemlockrouter"),
        };
        Ok(Platform {
            store_address: read_connectable_address(
                object.require("store_address", "an address with a port")?,
            )?,
            service_name,
            timeout_ms: object.number_or("timeout_ms", 1_000, 10, 60_000)?,
            list_every_ms: object.number_or("list_every_ms", 5_000, 100, 600_000)?,
        })
    }
}

fn read_zone(object: &JsonObject<'_, '_>) -> Result<String, Error> {
    read_name(object.require("zone", "the name of the availability zone")?)
}

fn read_name(field: &Field<'_, '_>) -> Result<String, Error> {
    let text = field.text("a name")?;
    check_name(text).map_err(|expected_form| field.expected(expected_form))?;
    Ok(String::from(text))
}

fn read_listen_address(object: &JsonObject<'_, '_>, name: &str) -> Result<SocketAddr, Error> {
    object.require(name, "an IP address with a port")?.address()
}

/// Reads an address that has a port and is not the unspecified address, so that it can be connected
/// to.
fn read_connectable_address(field: &Field<'_, '_>) -> Result<SocketAddr, Error> {
    let address = field.address()?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(field.expected("an address and a port that others can connect to"));
    }
    Ok(address)
}

fn read_seeds(object: &JsonObject<'_, '_>) -> Result<Vec<SocketAddr>, Error> {
    let Some(field) = object.get("seeds") else {
        return Ok(Vec::new());
    };
    let seeds = field.list("addresses")?;
    seeds.iter().map(read_connectable_address).collect()
}
