//! Keeps the local copy of the registry up to date.
//!
//! The registry is read completely once and then followed by watches, either directly or through
//! another instance. The time within which a change must be in force starts at the registry's
//! acknowledgement, so an instance that no longer receives updates must detect this and switch to
//! another source in time. [`Sources`] decides which source to call and when. This module makes the
//! calls, several of them concurrently, and [`Knowledge`] applies the results.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlockrouter_edge::Protocol;
use hemlockrouter_member::Call;
use hemlockrouter_member::Sources;
use hemlockrouter_member::Timing;
use hemlockrouter_types::prelude::*;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::first_read::FirstRead;
use super::knowledge::shown;
use super::knowledge::Knowledge;
use super::mirror::Mirror;
use super::node::Identity;
use super::node::Node;
use super::reads;
use super::reads::Known;
use super::reads::Read;
use super::registry::note_lost;
use super::registry::CallError;
use super::registry::Registry;
use super::relay;

/// Pause between two watches while the registry refills, in milliseconds. It refills after the
/// first read and after an outage, when expired registrations are written again.
const QUICK_PACE_MS: u64 = 100;

/// Pause between the first read and the first call to another instance. Instances that started at
/// the same time register during this pause.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Timeout for offering another instance to follow this one, in milliseconds.
const OFFER_MS: u64 = 500;

/// Maximum number of queued offers. Further offers are dropped, since a few relays are enough.
const OFFERS_MAX: usize = 16;

/// Result of a call to the registry or to a relay.
enum Event {
    Registry {
        connection: Registry,
        result: Result<Read, CallError>,
    },
    Relay {
        address: SocketAddr,
        connection: Registry,
        result: Result<Read, CallError>,
    },
}

/// Keeps the local copy of the registry up to date.
pub(super) struct Follower {
    me: Rc<Identity>,
    clock: Clock,
    timing: Rc<Cell<Timing>>,
    protocol: Rc<dyn Protocol>,
    node: Rc<Node>,
    mirror: Rc<Mirror>,
    registry_address: SocketAddr,
    /// Connection to the registry; `None` while a call uses it.
    registry: Option<Registry>,
    /// Idle connections to other instances.
    relays: HashMap<SocketAddr, Registry>,
    /// Relay that is followed now.
    followed: Option<SocketAddr>,
    sources: Sources,
    /// Start of the current outage of the registry, if there is one.
    lost_since: Option<Time>,
    knowledge: Knowledge,
    offers: mpsc::Receiver<SocketAddr>,
    events: mpsc::UnboundedReceiver<Event>,
    /// Sender for the results; each call in flight sends one event.
    events_tx: mpsc::UnboundedSender<Event>,
}

/// Dependencies of a [`Follower`].
pub(super) struct Parts {
    pub(super) me: Rc<Identity>,
    pub(super) clock: Clock,
    /// Timing according to the current settings, which a reload may change.
    pub(super) timing: Rc<Cell<Timing>>,
    pub(super) registry_address: SocketAddr,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) node: Rc<Node>,
    pub(super) mirror: Rc<Mirror>,
}

impl Follower {
    /// Creates a follower, and the sender for offers of instances that can serve as relays.
    pub(super) fn new(parts: Parts) -> (Follower, mpsc::Sender<SocketAddr>) {
        let (offers_tx, offers) = mpsc::channel(OFFERS_MAX);
        let (events_tx, events) = mpsc::unbounded_channel();
        let name = &parts.me.entry.name;
        let spread = xxh3_64(name.as_bytes());
        let follower = Follower {
            sources: Sources::new(name, parts.timing.get(), spread, parts.clock.now()),
            me: parts.me,
            clock: parts.clock,
            timing: parts.timing,
            protocol: parts.protocol,
            knowledge: Knowledge::new(
                parts.clock,
                Rc::clone(&parts.node),
                Rc::clone(&parts.mirror),
            ),
            node: parts.node,
            mirror: parts.mirror,
            registry: Some(Registry::new(parts.registry_address)),
            registry_address: parts.registry_address,
            relays: HashMap::new(),
            followed: None,
            lost_since: None,
            offers,
            events,
            events_tx,
        };
        (follower, offers_tx)
    }

    /// Follows the registry until the process ends.
    pub(super) async fn run(mut self) {
        self.read_first().await;
        if !self.node.reading().reads {
            tokio::time::sleep(FIRST_PAUSE).await;
        }
        loop {
            let now = self.clock.now();
            let reading = self.node.reading();
            self.sources.set_timing(self.timing.get());
            let calls = self.sources.poll(now, &reading);
            calls.into_iter().for_each(|call| self.begin(call));
            self.knowledge.take_due();
            let wake_at = self.sources.wake_at();
            let due_at = self.mirror.due_at();
            let wake_at = due_at.map_or(wake_at, |at| wake_at.min(at));
            let wait_ms = wake_at.left(self.clock.now());
            tokio::select! {
                event = self.events.recv() => event.into_iter().for_each(|event| self.take_event(event)),
                offer = self.offers.recv() => offer.into_iter().for_each(|relay| self.take_offer(relay)),
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
            }
        }
    }

    async fn read_first(&mut self) {
        let me = Rc::clone(&self.me);
        let mut registry = self.connection();
        let mut first = FirstRead {
            name: &me.entry.name,
            zone: &me.entry.zone,
            spread: xxh3_64(me.entry.name.as_bytes()),
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
            self.note_registry_answers();
        }
        self.knowledge.take(&read, &mut self.sources);
    }

    /// Takes the connection to the registry, or creates a new one.
    fn connection(&mut self) -> Registry {
        let kept = self.registry.take();
        kept.unwrap_or_else(|| Registry::new(self.registry_address))
    }

    /// Starts a call, which sends an event when it has ended.
    fn begin(&mut self, call: Call) {
        match call {
            Call::Watch { wait_ms, limit_ms } => self.begin_watch(wait_ms, limit_ms),
            Call::Ask {
                relay,
                wait_ms,
                limit_ms,
            } => self.begin_ask(relay, wait_ms, limit_ms),
            Call::Offer { relay } => self.begin_offer(relay),
        }
    }

    fn begin_watch(&mut self, wait_ms: u64, limit_ms: u64) {
        let mut connection = self.connection();
        let protocol = Rc::clone(&self.protocol);
        let known = self.mirror.position().unwrap_or_default();
        let events = self.events_tx.clone();
        tokio::task::spawn_local(async move {
            let result = reads::watch(&mut connection, &*protocol, known, wait_ms, limit_ms).await;
            // The follower lives as long as the process, so sending can't fail.
            let _ = events.send(Event::Registry { connection, result });
        });
    }

    fn begin_ask(&mut self, address: SocketAddr, wait_ms: u64, limit_ms: u64) {
        let kept = self.relays.remove(&address);
        let mut connection = kept.unwrap_or_else(|| Registry::of_instance(address));
        let known = Known {
            position: self.mirror.position(),
            age_ms: self.mirror.age_ms().unwrap_or(u64::MAX),
        };
        let events = self.events_tx.clone();
        tokio::task::spawn_local(async move {
            let result = reads::ask(&mut connection, known, wait_ms, limit_ms).await;
            // The follower lives as long as the process, so sending can't fail.
            let _ = events.send(Event::Relay {
                address,
                connection,
                result,
            });
        });
    }

    fn begin_offer(&self, address: SocketAddr) {
        let request = relay::write_offer(&self.me.entry);
        info!(target: "dependency", relay = address.to_string(); "offering this instance as a relay");
        tokio::task::spawn_local(async move {
            let offered = Registry::of_instance(address).call(request, OFFER_MS).await;
            if let Err(err) = offered {
                let why = err.to_string();
                info!(target: "dependency", relay = address.to_string(), why = why; "relay offer not accepted");
            }
        });
    }

    fn take_event(&mut self, event: Event) {
        match event {
            Event::Registry { connection, result } => {
                self.registry = Some(connection);
                match result {
                    Ok(read) => self.take_from_registry(&read),
                    Err(err) => self.note_registry_failed(&err),
                }
            }
            Event::Relay {
                address,
                connection,
                result,
            } => match result {
                Ok(read) => {
                    self.relays.insert(address, connection);
                    self.take_from_relay(address, &read);
                }
                Err(err) => self.note_relay_failed(address, &err),
            },
        }
    }

    fn take_offer(&mut self, relay: SocketAddr) {
        info!(target: "dependency", relay = relay.to_string(); "an instance offers to be a relay");
        self.sources.offered(self.clock.now(), relay);
    }

    fn take_from_registry(&mut self, read: &Read) {
        self.note_registry_answers();
        self.knowledge.take(read, &mut self.sources);
        let pace_ms = self.pace_ms();
        let offers = self.sources.registry_answered(self.clock.now(), pace_ms);
        offers.into_iter().for_each(|call| self.begin(call));
    }

    fn take_from_relay(&mut self, address: SocketAddr, read: &Read) {
        self.knowledge.take(read, &mut self.sources);
        let now = self.clock.now();
        let is_usable = self
            .sources
            .relay_answered(now, address, read.age_ms, &read.path);
        if !is_usable {
            let path = shown(&read.path);
            info!(
                target: "dependency",
                relay = address.to_string(),
                age_ms = read.age_ms,
                path = path;
                "relay out of touch"
            );
        }
        if self.sources.followed() == Some(address) && self.followed != Some(address) {
            self.followed = Some(address);
            info!(target: "dependency", relay = address.to_string(), age_ms = read.age_ms; "following");
        }
    }

    /// Returns how long to pause after an answer of the registry, in milliseconds.
    fn pace_ms(&self) -> u64 {
        if self.knowledge.is_filling() {
            QUICK_PACE_MS
        } else {
            self.timing.get().pace_ms()
        }
    }

    fn note_relay_failed(&mut self, address: SocketAddr, err: &CallError) {
        warn!(target: "dependency", relay = address.to_string(), why = err.to_string(); "relay lost");
        if self.followed == Some(address) {
            self.followed = None;
        }
        self.sources.relay_failed(self.clock.now(), address);
    }

    fn note_registry_failed(&mut self, err: &CallError) {
        let now = self.clock.now();
        let reading = self.node.reading();
        self.sources.registry_failed(now, &reading);
        note_lost(&mut self.lost_since, now, err);
    }

    fn note_registry_answers(&mut self) {
        if let Some(since) = self.lost_since.take() {
            let lost_ms = self.clock.now().since(since);
            info!(target: "dependency", lost_ms = lost_ms; "registry regained");
        }
    }
}
