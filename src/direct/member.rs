//! Keeps this instance registered, so that the others count it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlockrouter_edge::Lease;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use hemlockrouter_types::routing::InstanceEntry;
use log::info;
use log::warn;

use super::registry::CallError;
use super::registry::Registry;

/// How long the registration lasts without a renewal, in milliseconds. A restart is sooner.
const LEASE_MS: u64 = 20_000;

/// The interval between two renewals.
const RENEW_EVERY: Duration = Duration::from_secs(6);

/// The pause after a failure.
const PAUSE: Duration = Duration::from_secs(1);

/// How long a call may take, in milliseconds.
const CALL_MS: u64 = 1_500;

/// Registers this instance for as long as the process runs.
pub(super) async fn keep(me: InstanceEntry, address: SocketAddr, protocol: Rc<dyn Protocol>) {
    let mut member = Member {
        me,
        registry: Registry::new(address),
        protocol,
    };
    loop {
        let err = member.join_and_renew().await;
        warn!(target: "dependency", why = err.to_string(); "registration lost");
        tokio::time::sleep(PAUSE).await;
    }
}

struct Member {
    me: InstanceEntry,
    registry: Registry,
    protocol: Rc<dyn Protocol>,
}

impl Member {
    /// Registers and renews the lease until it is lost.
    async fn join_and_renew(&mut self) -> CallError {
        let lease = match self.join().await {
            Ok(lease) => lease,
            Err(err) => return err,
        };
        info!(target: "dependency", lease = lease.id; "registered");
        loop {
            tokio::time::sleep(RENEW_EVERY).await;
            match self.renew(lease).await {
                Ok(()) => {}
                Err(err @ CallError::Refused(RegistryError::NotFound)) => return err,
                Err(err) => {
                    warn!(target: "dependency", why = err.to_string(); "lease not renewed");
                }
            }
        }
    }

    async fn join(&mut self) -> Result<Lease, CallError> {
        let request = self.protocol.write_lease(LEASE_MS);
        let (status, body) = self.registry.call(request, CALL_MS).await?;
        let lease = self.protocol.read_lease(status, &body);
        let lease = lease.map_err(CallError::Refused)?;
        let request = self.protocol.write_join(&self.me, lease);
        let (status, _) = self.registry.call(request, CALL_MS).await?;
        let done = self.protocol.read_done(status);
        done.map_err(CallError::Refused)?;
        Ok(lease)
    }

    async fn renew(&mut self, lease: Lease) -> Result<(), CallError> {
        let request = self.protocol.write_renewal(lease);
        let (status, _) = self.registry.call(request, CALL_MS).await?;
        let done = self.protocol.read_done(status);
        done.map_err(CallError::Refused)
    }
}
