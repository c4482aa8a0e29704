//! Keeps up with the registry.
//!
//! The registry is read whole once and then followed by watches. Bounds on how fast a change is in
//! force run from the registry's acknowledgement, so a watch that has lost its other end must be
//! noticed: its connection is probed, and the call has a limit of its own. Whether the next news comes
//! from the registry or from another instance is decided by [`Sources`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlockrouter_edge::Entry;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use hemlockrouter_edge::RelayPage;
use hemlockrouter_member::Source;
use hemlockrouter_member::Sources;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Reading;
use log::info;
use log::warn;

use super::mirror::Mirror;
use super::node::Node;
use super::registry::CallError;
use super::registry::Registry;
use super::registry::CALL_MS;
use super::relay;

/// The part of the time to catch up for which a watch waits for a change. A call that the registry
/// has lost is never answered, and the rest of the time is for noticing that and calling again.
const WATCH_PART: f64 = 0.5;

/// How long the watch of an instance waits that others follow, in milliseconds. Each answer shows that
/// it is still in touch with the registry.
const SHARED_WATCH_MS: u64 = 1_800;

/// How much longer than it waits a call to another instance may take, in milliseconds.
const RELAY_SLACK_MS: u64 = 500;

/// The pause between two watches, so that changes come in batches.
const PACE: Duration = Duration::from_millis(500);

/// The pause after a failure before somebody else is asked.
const PAUSE: Duration = Duration::from_millis(20);

/// How soon an instance that knows nothing yet tries again to read, in milliseconds; it adds up to as
/// much again, so that not all call at once. A read that may lag costs little, and until then the
/// instance serves nobody.
const FIRST_EVERY_MS: u64 = 150;

/// The pause after the first read before the others are asked, in which those that started at the same
/// time have registered.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Keeps up with the registry.
pub(super) struct Follower {
    clock: Clock,
    catch_up_ms: u64,
    protocol: Rc<dyn Protocol>,
    node: Rc<Node>,
    mirror: Rc<Mirror>,
    registry: Registry,
    sources: Sources,
    /// The instance that is followed, if one is.
    followed: Option<(SocketAddr, Registry)>,
    /// Since when the registry does not answer.
    lost_since: Option<Time>,
    spread: u64,
}

/// What a follower works with.
pub(super) struct Parts {
    pub(super) clock: Clock,
    pub(super) catch_up_ms: u64,
    pub(super) registry_address: SocketAddr,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) node: Rc<Node>,
    pub(super) mirror: Rc<Mirror>,
    /// A number that differs between instances and spreads their calls.
    pub(super) spread: u64,
}

impl Follower {
    pub(super) fn new(parts: Parts) -> Follower {
        Follower {
            clock: parts.clock,
            catch_up_ms: parts.catch_up_ms,
            protocol: parts.protocol,
            node: parts.node,
            mirror: parts.mirror,
            registry: Registry::new(parts.registry_address),
            sources: Sources::new(parts.spread),
            followed: None,
            lost_since: None,
            spread: parts.spread,
        }
    }

    /// Runs for as long as the process does.
    pub(super) async fn run(mut self) {
        self.read_first().await;
        tokio::time::sleep(FIRST_PAUSE).await;
        loop {
            let reading = self.node.reading();
            let pause = match self.sources.next(self.clock.now(), &reading) {
                Source::Registry => self.watch_or_note(&reading).await,
                Source::Relay(relay) => self.follow_or_note(relay).await,
                Source::Nowhere { wait_ms } => Duration::from_millis(wait_ms),
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Reads everything for the first time, from the registry or else from another instance.
    async fn read_first(&mut self) {
        let mut tries = 0;
        loop {
            let tried_at = self.clock.now();
            let Err(err) = self.read(true).await else {
                return;
            };
            let reading = self.node.reading();
            self.note_registry_failed(&err, &reading);
            let relays = &reading.relays;
            if !relays.is_empty() && self.read_from(relays[tries % relays.len()]).await {
                return;
            }
            tries += 1;
            let next_at = tried_at + FIRST_EVERY_MS + self.spread % FIRST_EVERY_MS;
            let wait_ms = next_at.left(self.clock.now());
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Reads everything from another instance, and returns whether that one knows anything.
    async fn read_from(&mut self, relay: SocketAddr) -> bool {
        match self.ask(relay, None).await {
            Ok(page) if page.is_whole && page.revision > 0 => {
                let age_ms = page.age_ms;
                let address = relay.to_string();
                info!(target: "dependency", relay = address, age_ms = age_ms; "read from a relay");
                self.take(&page.entries, page.revision, true, age_ms);
                true
            }
            Ok(_) => {
                self.sources.relay_failed(self.clock.now(), relay);
                false
            }
            Err(err) => {
                self.note_relay_failed(relay, &err);
                false
            }
        }
    }

    /// Reads the whole registry.
    async fn read(&mut self, may_lag: bool) -> Result<(), CallError> {
        let mut entries: Vec<Entry> = Vec::new();
        let mut revision = None;
        let mut from = None;
        loop {
            let request = self.protocol.write_read(from.as_deref(), may_lag);
            let (status, body) = self.registry.call(request, CALL_MS).await?;
            let page = self.protocol.read_page(status, &body);
            let page = page.map_err(CallError::Refused)?;
            entries.extend(page.entries);
            // Pages are no snapshot: what changed since the first one is read once more.
            let revision = *revision.get_or_insert(page.revision);
            from = page.next;
            if from.is_none() {
                self.note_registry_answered();
                self.take(&entries, revision, true, 0);
                return Ok(());
            }
        }
    }

    /// Waits for news of the registry, and returns how long to pause.
    async fn watch_or_note(&mut self, reading: &Reading) -> Duration {
        let revision = self.mirror.revision().unwrap_or_default();
        let wait_ms = match reading.is_followed {
            true => SHARED_WATCH_MS,
            false => (self.catch_up_ms as f64 * WATCH_PART) as u64,
        };
        match self.watch(revision, wait_ms).await {
            Ok(()) => PACE,
            Err(err) => {
                self.note_registry_failed(&err, reading);
                PAUSE
            }
        }
    }

    /// Waits for changes after `revision`.
    async fn watch(&mut self, revision: u64, wait_ms: u64) -> Result<(), CallError> {
        let request = self.protocol.write_watch(revision, wait_ms);
        let (status, body) = self.registry.call(request, wait_ms + CALL_MS).await?;
        match self.protocol.read_changes(status, &body) {
            Ok(page) => {
                self.note_registry_answered();
                self.take(&page.entries, page.revision, false, 0);
                Ok(())
            }
            Err(RegistryError::HistoryGone) => {
                info!(target: "belief", revision = revision; "the registry's history is gone; reading again");
                self.read(false).await
            }
            Err(err) => Err(CallError::Refused(err)),
        }
    }

    /// Waits for news that another instance passes on, and returns how long to pause.
    async fn follow_or_note(&mut self, relay: SocketAddr) -> Duration {
        let revision = self.mirror.revision().unwrap_or_default();
        let page = match self.ask(relay, Some(revision)).await {
            Ok(page) if page.is_whole && page.revision < revision => {
                let age_ms = page.age_ms;
                self.note_relay_failed(relay, &CallError::Outdated { age_ms });
                return PAUSE;
            }
            Ok(page) => page,
            Err(err) => {
                self.note_relay_failed(relay, &err);
                return PAUSE;
            }
        };
        let now = self.clock.now();
        let is_in_touch = self.sources.relay_answered(now, relay, page.age_ms);
        self.take(&page.entries, page.revision, page.is_whole, page.age_ms);
        if is_in_touch {
            PACE
        } else {
            let address = relay.to_string();
            info!(target: "dependency", relay = address, age_ms = page.age_ms; "relay out of touch");
            PAUSE
        }
    }

    /// Asks another instance for what is new after revision `after`, or for everything.
    async fn ask(
        &mut self,
        address: SocketAddr,
        after: Option<u64>,
    ) -> Result<RelayPage, CallError> {
        let followed = self.followed.take().filter(|(known, _)| *known == address);
        let is_new = followed.is_none();
        let (_, mut relay) = followed.unwrap_or_else(|| (address, Registry::new(address)));
        let request = relay::write_call(after);
        let limit_ms = relay::WAIT_MS + RELAY_SLACK_MS;
        let (status, body) = relay.call(request, limit_ms).await?;
        let page = relay::read_page(status, &body).map_err(CallError::NoAnswer)?;
        if is_new {
            info!(target: "dependency", relay = address.to_string(); "following");
        }
        self.followed = Some((address, relay));
        Ok(page)
    }

    fn take(&self, entries: &[Entry], revision: u64, is_whole: bool, age_ms: u64) {
        self.mirror.take(entries, revision, is_whole, age_ms);
        if is_whole || !entries.is_empty() {
            let changes = entries.iter().map(|entry| entry.change.clone());
            self.node.changed(changes.collect(), is_whole);
        }
    }

    fn note_relay_failed(&mut self, relay: SocketAddr, err: &CallError) {
        let address = relay.to_string();
        warn!(target: "dependency", relay = address, why = err.to_string(); "relay lost");
        self.sources.relay_failed(self.clock.now(), relay);
    }

    fn note_registry_failed(&mut self, err: &CallError, reading: &Reading) {
        let now = self.clock.now();
        self.sources.registry_failed(now, reading);
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            warn!(target: "dependency", why = err.to_string(); "registry lost");
        }
    }

    fn note_registry_answered(&mut self) {
        let now = self.clock.now();
        self.sources.registry_answered(now);
        if let Some(since) = self.lost_since.take() {
            info!(target: "dependency", lost_ms = now.since(since); "registry regained");
        }
    }
}
