//! The platform's instance list: which processes of a service are there, and which are leaving.
//!
//! The list lags. It adds instances and confirms what is known otherwise; nothing is taken for dead
//! on its word alone.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::store::Down;

/// The status of a check that passes.
const PASSING: &str = "passing";

/// Reads the instance list.
pub trait List: Send + Sync {
    /// Returns the listed processes of `service`, in the order of the list.
    ///
    /// # Errors
    ///
    /// [`Down`] if no answer came, or none that could be understood.
    fn instances(&self, service: &str) -> Result<Vec<Listed>, Down>;
}

/// One listed process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its availability zone, if the list says it.
    pub zone: Option<String>,
    /// Whether all its checks pass.
    pub passing: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// One entry of the list, as it travels.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Row {
    service: Service,
    #[serde(default)]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    address: String,
    port: u16,
    #[serde(default)]
    meta: Option<Meta>,
}

#[derive(Deserialize)]
struct Meta {
    zone: Option<String>,
    leaving: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    status: String,
}

impl Row {
    /// Converts the entry, or returns nothing if its address is not an IP address: one bad entry
    /// must not hide the others.
    pub(crate) fn into_listed(self) -> Option<Listed> {
        let ip = self.service.address.parse().ok()?;
        let meta = self.service.meta.unwrap_or(Meta {
            zone: None,
            leaving: None,
        });
        Some(Listed {
            address: SocketAddr::new(ip, self.service.port),
            zone: meta.zone,
            passing: self.checks.iter().all(|check| check.status == PASSING),
            leaving: meta.leaving.as_deref() == Some("true"),
        })
    }
}
