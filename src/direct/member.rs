//! Keeps this instance registered in the registry, so that other instances count it, and registers
//! instances that request it.
//!
//! The [`Registrar`] decides what to write. This module finds an instance that registers this one,
//! and makes the calls.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use hemlockrouter_edge::RestoreGeneration;
use hemlockrouter_member::Registrar;
use hemlockrouter_member::RegistrarStep;
use hemlockrouter_member::RegistryCallFailure;
use hemlockrouter_member::JOIN_INTERVAL_MS;
use hemlockrouter_member::REGISTRATION_LEASE_MS;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use http::Request;
use log::info;
use log::warn;

use super::mirror::Mirror;
use super::node::Identity;
use super::node::Node;
use super::registry::Answer;
use super::registry::CallError;
use super::registry::RegistryClient;
use super::registry::CALL_TIMEOUT_MS;
use super::relay;

/// Interval at which registrations are checked. Instances that join within one interval are
/// registered together.
const REGISTRATION_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Number of consecutive failed joins after which an instance registers itself.
const JOIN_REFUSALS_MAX: u32 = 3;

/// Timeout for a join or leave call to another instance, in milliseconds.
const JOIN_TIMEOUT_MS: u64 = 500;

/// Keeps this instance and others registered.
pub(super) struct Member {
    clock: Clock,
    identity: Rc<Identity>,
    registry_address: SocketAddr,
    protocol: Rc<dyn Protocol>,
    node: Rc<Node>,
    mirror: Rc<Mirror>,
    registrar: RefCell<Registrar>,
    /// Instance that registered this one; `None` if this instance registered itself.
    registered_by: Cell<Option<SocketAddr>>,
    has_left: Cell<bool>,
    /// Latest known generation of the registry; `None` before the first answer.
    generation: Cell<Option<RestoreGeneration>>,
}

/// Dependencies of a [`Member`].
pub(super) struct MemberParts {
    pub(super) identity: Rc<Identity>,
    pub(super) clock: Clock,
    pub(super) registry_address: SocketAddr,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) node: Rc<Node>,
    pub(super) mirror: Rc<Mirror>,
}

impl Member {
    pub(super) fn new(parts: MemberParts) -> Member {
        let MemberParts {
            identity,
            clock,
            registry_address,
            protocol,
            node,
            mirror,
        } = parts;
        Member {
            clock,
            registrar: RefCell::new(Registrar::new(identity.entry.clone())),
            identity,
            registry_address,
            protocol,
            node,
            registered_by: Cell::new(None),
            has_left: Cell::new(false),
            generation: Cell::default(),
            mirror,
        }
    }

    /// Accepts an instance that asks to be registered. Returns `false` if this instance is leaving.
    pub(super) fn accept_join(&self, entry: InstanceEntry) -> bool {
        if self.has_left.get() {
            return false;
        }
        self.registrar
            .borrow_mut()
            .record_join(self.clock.now(), entry);
        true
    }

    /// Ends the registration of an instance that was registered here and stops.
    pub(super) fn accept_leave(&self, name: &str) {
        self.registrar.borrow_mut().remove_instance(name);
    }

    /// Keeps this instance and others registered until the process ends.
    pub(super) async fn keep_registered(&self) {
        let mut registry = RegistryClient::new(self.registry_address);
        let mut joined_at = None;
        let mut refusals = 0;
        loop {
            let now = self.clock.now();
            let is_due = joined_at.is_none_or(|at| now.ms_since(at) >= JOIN_INTERVAL_MS);
            if is_due && !self.has_left.get() {
                if self.join(refusals).await {
                    joined_at = Some(now);
                    refusals = 0;
                } else {
                    refusals += 1;
                }
            }
            self.drop_lease_if_restored();
            self.register(&mut registry).await;
            tokio::time::sleep(REGISTRATION_POLL_INTERVAL).await;
        }
    }

    /// Ends the registration of this instance, so that no instance follows it any more. Instances
    /// that it had registered turn to others.
    pub(super) async fn leave(&self) {
        self.has_left.set(true);
        let name = &self.identity.entry.name;
        let Some(registrar) = self.registered_by.take() else {
            return self.registrar.borrow_mut().remove_instance(name);
        };
        let request = relay::build_leave_request(name);
        if let Err(err) = RegistryClient::for_instance(registrar)
            .call(request, JOIN_TIMEOUT_MS)
            .await
        {
            info!(target: "dependency", why = err.to_string(); "can't end the registration; its lease will expire");
        }
    }

    /// Asks another instance to register this one, or registers it here. Returns whether the
    /// registration needs no further attempt for now.
    async fn join(&self, refusals: u32) -> bool {
        let now = self.clock.now();
        let registry_access = self.node.registry_access();
        let relays = &registry_access.relays;
        if registry_access.reads_registry || relays.is_empty() {
            self.set_registered_by(now, None);
            return true;
        }
        let index = refusals as usize % relays.len();
        let registrar = relays[index];
        let request = relay::build_join_request(&self.identity.entry);
        let result = RegistryClient::for_instance(registrar)
            .call(request, JOIN_TIMEOUT_MS)
            .await;
        match result {
            Ok(answer) if (200..300).contains(&answer.status()) => {
                self.set_registered_by(now, Some(registrar));
                return true;
            }
            Ok(answer) => {
                let address = registrar.to_string();
                info!(target: "dependency", registrar = address, status = answer.status(); "not registered");
            }
            Err(err) => {
                let address = registrar.to_string();
                let why = err.to_string();
                info!(target: "dependency", registrar = address, why = why; "not registered");
            }
        }
        if refusals + 1 >= JOIN_REFUSALS_MAX {
            self.set_registered_by(now, None);
            return true;
        }
        false
    }

    fn set_registered_by(&self, now: Time, registrar: Option<SocketAddr>) {
        let registers_itself = registrar.is_none();
        let previous = self.registered_by.replace(registrar);
        let mut own_registrar = self.registrar.borrow_mut();
        if previous != registrar || (registers_itself && own_registrar.registered_count() == 0) {
            let address = registrar.map(|address| address.to_string());
            let registrar_label = address.as_deref().unwrap_or("itself");
            info!(target: "dependency", by = registrar_label; "registered by");
        }
        own_registrar.set_registers_itself(now, registers_itself);
    }

    /// Executes the next step of the registrar.
    async fn register(&self, registry: &mut RegistryClient) {
        let now = self.clock.now();
        if self.registrar.borrow_mut().start_comparison_if_due(now) {
            let registrars = self.node.registrars();
            let mut registrar = self.registrar.borrow_mut();
            registrar.compare_with_list(now, |name| registrars.get(name).map(String::as_str));
        }
        let step = self.registrar.borrow().next_step(now);
        let result = match &step {
            RegistrarStep::Wait => return,
            RegistrarStep::Grant => self.grant(registry).await,
            RegistrarStep::Renew { lease } => self.renew(registry, *lease).await,
            RegistrarStep::Write {
                lease,
                puts,
                removed_names,
            } => self.write(registry, *lease, puts, removed_names).await,
        };
        if let Err(err) = result {
            warn!(target: "dependency", why = err.to_string(); "instances not registered");
            let failure = match err {
                CallError::Refused(RegistryError::NotFound) => RegistryCallFailure::LeaseExpired,
                _ => RegistryCallFailure::Unanswered,
            };
            self.registrar
                .borrow_mut()
                .record_call_failure(self.clock.now(), failure);
        }
    }

    async fn grant(&self, registry: &mut RegistryClient) -> Result<(), CallError> {
        let request = self.protocol.write_lease_request(REGISTRATION_LEASE_MS);
        let answer = registry.call(request, CALL_TIMEOUT_MS).await?;
        let lease = self.protocol.read_lease(answer.status(), &answer.body);
        let lease = lease.map_err(CallError::Refused)?;
        self.record_answer_generation(registry, &answer);
        info!(target: "dependency", lease = lease.id; "lease granted");
        let mut registrar = self.registrar.borrow_mut();
        registrar.record_grant(self.clock.now(), lease.id);
        Ok(())
    }

    async fn renew(&self, registry: &mut RegistryClient, lease: u64) -> Result<(), CallError> {
        let request = self.protocol.write_lease_renewal(lease);
        self.call(registry, request).await?;
        self.registrar.borrow_mut().record_renewal(self.clock.now());
        Ok(())
    }

    async fn write(
        &self,
        registry: &mut RegistryClient,
        lease: u64,
        puts: &[InstanceEntry],
        removed_names: &[String],
    ) -> Result<(), CallError> {
        let request = self.protocol.write_registration(lease, puts, removed_names);
        self.call(registry, request).await?;
        info!(target: "dependency", written = puts.len(), removed = removed_names.len(); "instances registered");
        let now = self.clock.now();
        self.registrar
            .borrow_mut()
            .record_write(now, puts, removed_names);
        Ok(())
    }

    async fn call(
        &self,
        registry: &mut RegistryClient,
        request: Request<Bytes>,
    ) -> Result<(), CallError> {
        let answer = registry.call(request, CALL_TIMEOUT_MS).await?;
        if self.record_answer_generation(registry, &answer) {
            // After a restore, the lease id may belong to another instance.
            return Err(CallError::Refused(RegistryError::NotFound));
        }
        let result = self.protocol.check_status(answer.status());
        result.map_err(CallError::Refused)
    }

    /// Records the generation of an answer, and returns whether the registry was restored since the
    /// previous answer.
    fn record_answer_generation(&self, registry: &mut RegistryClient, answer: &Answer) -> bool {
        let known_generation = self.generation.get().unwrap_or_default();
        self.record_generation(registry.generation(&*self.protocol, answer, known_generation))
    }

    /// Records a generation, and returns whether it is later than the previous one.
    fn record_generation(&self, generation: RestoreGeneration) -> bool {
        let known_generation = self.generation.get();
        self.generation.set(known_generation.max(Some(generation)));
        known_generation.is_some_and(|known_generation| generation > known_generation)
    }

    /// Drops the lease if the registry was restored since the lease was granted.
    fn drop_lease_if_restored(&self) {
        let Some(position) = self.mirror.position() else {
            return;
        };
        if self.record_generation(position.generation) {
            info!(target: "belief", generation = position.generation.0; "registering again");
            let mut registrar = self.registrar.borrow_mut();
            registrar.record_call_failure(self.clock.now(), RegistryCallFailure::LeaseExpired);
        }
    }
}
