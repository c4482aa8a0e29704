//! Keeps this instance registered, so that the others count it.

use std::cell::Cell;
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
use super::registry::CALL_MS;

/// How long the registration lasts without a renewal, in milliseconds. A restart is sooner.
const LEASE_MS: u64 = 20_000;

/// The interval between two renewals.
const RENEW_EVERY: Duration = Duration::from_secs(6);

/// The pause after a failure.
const PAUSE: Duration = Duration::from_secs(1);

/// Keeps an instance registered.
pub(super) struct Member {
    me: InstanceEntry,
    address: SocketAddr,
    protocol: Rc<dyn Protocol>,
    lease: Cell<Option<Lease>>,
    has_left: Cell<bool>,
}

impl Member {
    pub(super) fn new(
        me: InstanceEntry,
        address: SocketAddr,
        protocol: Rc<dyn Protocol>,
    ) -> Member {
        Member {
            me,
            address,
            protocol,
            lease: Cell::new(None),
            has_left: Cell::new(false),
        }
    }

    /// Keeps the instance registered until it leaves.
    pub(super) async fn keep(&self) {
        let mut registry = Registry::new(self.address);
        loop {
            let err = self.join_and_renew(&mut registry).await;
            self.lease.set(None);
            if self.has_left.get() {
                return;
            }
            warn!(target: "dependency", why = err.to_string(); "registration lost");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Ends the registration, so that nobody follows this instance any more.
    pub(super) async fn leave(&self) {
        self.has_left.set(true);
        let Some(lease) = self.lease.take() else {
            return;
        };
        let request = self.protocol.write_leave(lease);
        let ended = Registry::new(self.address).call(request, CALL_MS).await;
        if let Err(err) = ended {
            info!(target: "dependency", why = err.to_string(); "the registration ends by itself");
        }
    }

    /// Registers and renews the lease until it is lost.
    async fn join_and_renew(&self, registry: &mut Registry) -> CallError {
        let lease = match self.join(registry).await {
            Ok(lease) => lease,
            Err(err) => return err,
        };
        info!(target: "dependency", lease = lease.id; "registered");
        self.lease.set(Some(lease));
        loop {
            tokio::time::sleep(RENEW_EVERY).await;
            match self.renew(registry, lease).await {
                Ok(()) => {}
                Err(err @ CallError::Refused(RegistryError::NotFound)) => return err,
                Err(err) => {
                    warn!(target: "dependency", why = err.to_string(); "lease not renewed");
                }
            }
        }
    }

    async fn join(&self, registry: &mut Registry) -> Result<Lease, CallError> {
        let request = self.protocol.write_lease(LEASE_MS);
        let (status, body) = registry.call(request, CALL_MS).await?;
        let lease = self.protocol.read_lease(status, &body);
        let lease = lease.map_err(CallError::Refused)?;
        let request = self.protocol.write_join(&self.me, lease);
        let (status, _) = registry.call(request, CALL_MS).await?;
        let done = self.protocol.read_done(status);
        done.map_err(CallError::Refused)?;
        Ok(lease)
    }

    async fn renew(&self, registry: &mut Registry, lease: Lease) -> Result<(), CallError> {
        let request = self.protocol.write_renewal(lease);
        let (status, _) = registry.call(request, CALL_MS).await?;
        let done = self.protocol.read_done(status);
        done.map_err(CallError::Refused)
    }
}
