//! Keeps the local copy of the registry up to date.
//!
//! The registry is read completely once and then followed by watches, either directly or through
//! another instance. The time within which a change must be in force starts at the registry's
//! acknowledgement, so an instance that no longer receives updates must detect this and switch to
//! another source in time. [`RegistrySources`] decides which source to call and when. This module
//! makes the calls, several of them concurrently, and [`ReadApplier`] applies the results.

mod confirm;

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlockrouter_edge::Protocol;
use hemlockrouter_member::RegistryCall;
use hemlockrouter_member::RegistrySources;
use hemlockrouter_member::RegistryTiming;
use hemlockrouter_types::prelude::*;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::first_read::FirstRead;
use super::mirror::Mirror;
use super::mirror::Registration;
use super::node::Identity;
use super::node::Node;
use super::read_applier::format_path;
use super::read_applier::ReadApplier;
use super::registry::record_registry_lost;
use super::registry::CallError;
use super::registry::RegistryClient;
use super::registry_reads;
use super::registry_reads::KnownState;
use super::registry_reads::RegistryRead;
use super::relay;
use crate::tasks::TaskMonitor;

/// Pause between two watches while the registry refills, in milliseconds. The registry refills
/// after the first read and after an outage, when expired registrations are written again.
const REFILL_WATCH_PAUSE_MS: u64 = 100;

/// Pause between the first read and the first call to another instance. Instances that started at
/// the same time register during this pause.
const FIRST_FOLLOW_DELAY: Duration = Duration::from_millis(300);

/// Timeout for the call that offers this instance to another one as a relay, in milliseconds.
const RELAY_OFFER_TIMEOUT_MS: u64 = 500;

/// Maximum number of queued offers. Further offers are dropped, since a few relays are enough.
const QUEUED_OFFERS_MAX: usize = 16;

/// Result of a call to the registry or to a relay.
enum FollowerEvent {
    Registry {
        connection: RegistryClient,
        result: Result<RegistryRead, CallError>,
    },
    Relay {
        address: SocketAddr,
        connection: RegistryClient,
        result: Result<RegistryRead, CallError>,
    },
    Confirmed {
        registrations: Vec<Registration>,
        why: &'static str,
    },
    Held {
        relay: SocketAddr,
        registrations: Vec<Registration>,
    },
}

/// Reason for which the follower's loop goes on. The channels do not close while it runs.
enum Turn {
    Event(Option<FollowerEvent>),
    Offer(Option<SocketAddr>),
    Timer,
}

/// Keeps the local copy of the registry up to date.
pub(super) struct Follower {
    identity: Rc<Identity>,
    clock: Clock,
    timing: Rc<Cell<RegistryTiming>>,
    protocol: Rc<dyn Protocol>,
    node: Rc<Node>,
    mirror: Rc<Mirror>,
    registry_address: SocketAddr,
    /// Connection to the registry; `None` while a call uses it.
    registry: Option<RegistryClient>,
    /// Idle connections to other instances.
    relays: HashMap<SocketAddr, RegistryClient>,
    /// Relay that is followed now.
    followed_relay: Option<SocketAddr>,
    sources: RegistrySources,
    /// Start of the current outage of the registry, if there is one.
    lost_since: Option<Time>,
    read_applier: ReadApplier,
    offers: mpsc::Receiver<SocketAddr>,
    events: mpsc::UnboundedReceiver<FollowerEvent>,
    /// Sender for the results; each call in flight sends one event.
    events_tx: mpsc::UnboundedSender<FollowerEvent>,
    tasks: TaskMonitor,
}

/// Dependencies of a [`Follower`].
pub(super) struct FollowerParts {
    pub(super) identity: Rc<Identity>,
    pub(super) clock: Clock,
    /// Timing according to the current settings, which a reload may change.
    pub(super) timing: Rc<Cell<RegistryTiming>>,
    pub(super) registry_address: SocketAddr,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) node: Rc<Node>,
    pub(super) mirror: Rc<Mirror>,
    pub(super) tasks: TaskMonitor,
}

impl Follower {
    /// Creates a follower, and the sender for offers of instances that can serve as relays.
    pub(super) fn new(parts: FollowerParts) -> (Follower, mpsc::Sender<SocketAddr>) {
        let (offers_tx, offers) = mpsc::channel(QUEUED_OFFERS_MAX);
        let (events_tx, events) = mpsc::unbounded_channel();
        let name = &parts.identity.entry.name;
        let jitter_seed = xxh3_64(name.as_bytes());
        let follower = Follower {
            sources: RegistrySources::new(name, parts.timing.get(), jitter_seed, parts.clock.now()),
            identity: parts.identity,
            clock: parts.clock,
            timing: parts.timing,
            protocol: parts.protocol,
            read_applier: ReadApplier::new(
                parts.clock,
                Rc::clone(&parts.node),
                Rc::clone(&parts.mirror),
            ),
            node: parts.node,
            mirror: parts.mirror,
            registry: Some(RegistryClient::new(parts.registry_address)),
            registry_address: parts.registry_address,
            relays: HashMap::new(),
            followed_relay: None,
            lost_since: None,
            offers,
            events,
            events_tx,
            tasks: parts.tasks,
        };
        (follower, offers_tx)
    }

    /// Follows the registry until the process ends.
    pub(super) async fn run(mut self) {
        self.read_first().await;
        self.ask_for_held();
        if !self.node.registry_access().reads_registry {
            tokio::time::sleep(FIRST_FOLLOW_DELAY).await;
        }
        loop {
            let now = self.clock.now();
            let registry_access = self.node.registry_access();
            self.sources.set_timing(self.timing.get());
            let calls = self.sources.due_calls(now, &registry_access);
            calls.into_iter().for_each(|call| self.start_call(call));
            self.read_applier.expire_overrides();
            self.read_applier.confirm_unchecked();
            self.start_confirmation();
            let wake_at = self.sources.wake_at();
            let due_at = self.mirror.due_at();
            let wake_at = due_at.map_or(wake_at, |at| wake_at.min(at));
            let wait_ms = wake_at.remaining_ms(self.clock.now());
            let turn = tokio::select! {
                event = self.events.recv() => Turn::Event(event),
                offer = self.offers.recv() => Turn::Offer(offer),
                () = self.mirror.wait_for_checks() => Turn::Timer,
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => Turn::Timer,
            };
            self.sources.record_turn(self.clock.now());
            match turn {
                Turn::Event(event) => event.into_iter().for_each(|event| self.handle_event(event)),
                Turn::Offer(offer) => offer.into_iter().for_each(|relay| self.handle_offer(relay)),
                Turn::Timer => {}
            }
        }
    }

    async fn read_first(&mut self) {
        let identity = Rc::clone(&self.identity);
        let mut registry = self.take_registry_connection();
        let mut first = FirstRead {
            name: &identity.entry.name,
            zone: &identity.entry.zone,
            jitter_seed: xxh3_64(identity.entry.name.as_bytes()),
            clock: self.clock,
            protocol: &self.protocol,
            node: &self.node,
            registry: &mut registry,
            lost_since: None,
        };
        let read = first.run().await;
        self.lost_since = first.lost_since;
        self.registry = Some(registry);
        if read.path.is_empty() {
            self.record_registry_answer();
        }
        self.read_applier.apply(&read, &mut self.sources);
    }

    /// Takes the connection to the registry, or creates a new one.
    fn take_registry_connection(&mut self) -> RegistryClient {
        let existing = self.registry.take();
        existing.unwrap_or_else(|| RegistryClient::new(self.registry_address))
    }

    /// Starts a call, which sends an event when it has ended.
    fn start_call(&mut self, call: RegistryCall) {
        match call {
            RegistryCall::WatchRegistry {
                wait_ms,
                timeout_ms,
            } => self.start_watch(wait_ms, timeout_ms),
            RegistryCall::AskRelay {
                relay,
                wait_ms,
                timeout_ms,
            } => self.start_relay_poll(relay, wait_ms, timeout_ms),
            RegistryCall::Offer { relay } => self.start_offer(relay),
        }
    }

    fn start_watch(&mut self, wait_ms: u64, timeout_ms: u64) {
        let mut connection = self.take_registry_connection();
        let protocol = Rc::clone(&self.protocol);
        let known_position = self.mirror.position().unwrap_or_default();
        let events = self.events_tx.clone();
        self.tasks.spawn_call("watch", async move {
            let result = registry_reads::watch_changes(
                &mut connection,
                &*protocol,
                known_position,
                wait_ms,
                timeout_ms,
            )
            .await;
            // Sending can't fail, because the follower lives as long as the process.
            let _ = events.send(FollowerEvent::Registry { connection, result });
        });
    }

    fn start_relay_poll(&mut self, address: SocketAddr, wait_ms: u64, timeout_ms: u64) {
        let existing = self.relays.remove(&address);
        let mut connection = existing.unwrap_or_else(|| RegistryClient::for_instance(address));
        let known_state = KnownState {
            position: self.mirror.position(),
            age_ms: self.mirror.age_ms().unwrap_or(u64::MAX),
        };
        let events = self.events_tx.clone();
        self.tasks.spawn_call("relay poll", async move {
            let result =
                registry_reads::poll_relay(&mut connection, known_state, wait_ms, timeout_ms).await;
            // Sending can't fail, because the follower lives as long as the process.
            let _ = events.send(FollowerEvent::Relay {
                address,
                connection,
                result,
            });
        });
    }

    fn start_offer(&self, address: SocketAddr) {
        let request = relay::build_offer_request(&self.identity.entry);
        info!(target: "dependency", relay = address.to_string(); "offering this instance as a relay");
        self.tasks.spawn_call("relay offer", async move {
            let result = RegistryClient::for_instance(address)
                .call(request, RELAY_OFFER_TIMEOUT_MS)
                .await;
            if let Err(err) = result {
                let why = err.to_string();
                info!(target: "dependency", relay = address.to_string(), why = why; "relay offer not accepted");
            }
        });
    }

    fn handle_event(&mut self, event: FollowerEvent) {
        match event {
            FollowerEvent::Confirmed { registrations, why } => {
                self.read_applier.confirm(&registrations, why);
            }
            FollowerEvent::Held {
                relay,
                registrations,
            } => self.read_applier.hold_back(&registrations, relay),
            FollowerEvent::Registry { connection, result } => {
                self.registry = Some(connection);
                match result {
                    Ok(read) => self.handle_registry_read(&read),
                    Err(err) => self.handle_registry_failure(&err),
                }
            }
            FollowerEvent::Relay {
                address,
                connection,
                result,
            } => match result {
                Ok(read) => {
                    self.relays.insert(address, connection);
                    self.handle_relay_read(address, &read);
                }
                Err(err) => self.handle_relay_failure(address, &err),
            },
        }
    }

    fn handle_offer(&mut self, relay: SocketAddr) {
        info!(target: "dependency", relay = relay.to_string(); "an instance offers to be a relay");
        self.sources.handle_offer(self.clock.now(), relay);
    }

    fn handle_registry_read(&mut self, read: &RegistryRead) {
        self.record_registry_answer();
        self.read_applier.apply(read, &mut self.sources);
        let watch_pause_ms = self.watch_pause_ms();
        let offers = self
            .sources
            .record_registry_answer(self.clock.now(), watch_pause_ms);
        offers.into_iter().for_each(|call| self.start_call(call));
    }

    fn handle_relay_read(&mut self, address: SocketAddr, read: &RegistryRead) {
        self.read_applier.apply(read, &mut self.sources);
        let now = self.clock.now();
        let is_usable = self
            .sources
            .record_relay_answer(now, address, read.age_ms, &read.path);
        if !is_usable {
            let path = format_path(&read.path);
            info!(
                target: "dependency",
                relay = address.to_string(),
                age_ms = read.age_ms,
                path = path;
                "relay out of touch"
            );
        }
        if self.sources.followed_relay() == Some(address) && self.followed_relay != Some(address) {
            self.followed_relay = Some(address);
            info!(target: "dependency", relay = address.to_string(), age_ms = read.age_ms; "following");
        }
    }

    /// Returns how long to pause after an answer of the registry, in milliseconds.
    fn watch_pause_ms(&self) -> u64 {
        if self.read_applier.is_refilling() {
            REFILL_WATCH_PAUSE_MS
        } else {
            self.timing.get().watch_pause_ms()
        }
    }

    fn handle_relay_failure(&mut self, address: SocketAddr, err: &CallError) {
        warn!(target: "dependency", relay = address.to_string(), why = err.to_string(); "relay lost");
        if self.followed_relay == Some(address) {
            self.followed_relay = None;
        }
        let now = self.clock.now();
        match err {
            CallError::Outdated { age_ms } => {
                self.sources.record_outdated_relay(now, address, *age_ms);
            }
            _ => self.sources.record_relay_failure(now, address),
        }
    }

    fn handle_registry_failure(&mut self, err: &CallError) {
        let now = self.clock.now();
        let registry_access = self.node.registry_access();
        self.sources.record_registry_failure(now, &registry_access);
        record_registry_lost(&mut self.lost_since, now, err);
    }

    fn record_registry_answer(&mut self) {
        if let Some(since) = self.lost_since.take() {
            let lost_ms = self.clock.now().ms_since(since);
            info!(target: "dependency", lost_ms = lost_ms; "registry regained");
        }
    }
}
