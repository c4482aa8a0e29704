//! The platform's instance list: the registered processes of a service, and which of them are leaving.
//!
//! The list lags behind the real state. It is used to discover instances and to confirm other
//! evidence; an instance is never considered dead because of the list alone.

use std::net::SocketAddr;

use log::warn;
use serde::Deserialize;

use crate::store::PlatformUnavailable;

/// Status of a passing health check.
const PASSING_STATUS: &str = "passing";

/// Read access to the platform's instance list.
pub trait InstanceList: Send + Sync {
    /// Returns the listed processes of `service`, in the order of the list.
    ///
    /// # Errors
    ///
    /// [`PlatformUnavailable`] if no response arrived, or the response could not be decoded.
    fn instances(&self, service: &str) -> Result<Vec<ListedProcess>, PlatformUnavailable>;
}

/// One listed process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedProcess {
    /// Address at which the process accepts connections.
    pub address: SocketAddr,
    /// Availability zone of the process, if the list contains it.
    pub zone: Option<String>,
    /// Whether all health checks of the process pass.
    pub passing: bool,
    /// Whether the process has announced in its metadata that it is shutting down.
    pub leaving: bool,
}

/// The JSON form of one entry of the instance list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct ListEntry {
    service: ListedService,
    #[serde(default)]
    checks: Vec<HealthCheck>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ListedService {
    address: String,
    port: u16,
    #[serde(default)]
    meta: Option<ServiceMeta>,
}

#[derive(Deserialize)]
struct ServiceMeta {
    zone: Option<String>,
    leaving: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthCheck {
    status: String,
}

impl ListEntry {
    /// Decodes an entry, or returns `None` and logs the reason if it is invalid.
    pub(crate) fn decode(entry: &str) -> Option<ListEntry> {
        match serde_json::from_str(entry) {
            Ok(entry) => Some(entry),
            Err(err) => {
                warn!(target: "belief", why = err.to_string(); "an entry of the instance list is not used");
                None
            }
        }
    }

    /// Converts the entry, or returns `None` if its address is not an IP address.
    pub(crate) fn into_listed(self) -> Option<ListedProcess> {
        let ip = self.service.address.parse().ok()?;
        let meta = self.service.meta.unwrap_or(ServiceMeta {
            zone: None,
            leaving: None,
        });
        Some(ListedProcess {
            address: SocketAddr::new(ip, self.service.port),
            zone: meta.zone,
            passing: self
                .checks
                .iter()
                .all(|check| check.status == PASSING_STATUS),
            leaving: meta.leaving.as_deref() == Some("true"),
        })
    }
}
