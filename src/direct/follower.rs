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

/// The pause between two watches while the registry fills again: after the first read and after an
/// outage, when registrations that have lapsed come back.
const QUICK_PACE: Duration = Duration::from_millis(100);

/// How long the registry is taken to fill again, in milliseconds.
const FILLING_MS: u64 = 3_000;

/// An instance whose last word from the registry was older than this has missed an outage of it, in
/// milliseconds.
const OUTAGE_MS: u64 = 3_000;

/// The pause after a failure before somebody else is asked.
const PAUSE: Duration = Duration::from_millis(20);

/// How soon a reader that knows nothing yet tries again to read, in milliseconds; it adds up to as much
/// again, so that not all call at once. Until then it serves nobody, and others wait for it.
const FIRST_EVERY_MS: u64 = 150;

/// After so many tries a reader that knows nothing yet finds out whether others have read: it may be
/// turned away alone.
const READER_TRIES: u32 = 5;

/// For how long other instances that know nothing yet wait for readers before they try again, in
/// milliseconds; they add up to as much again.
const OTHERS_MS: u64 = 3_000;

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
    /// Until when the registry fills again.
    filling_until: Time,
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
            filling_until: Time::ZERO,
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
        for tries in 1_u32.. {
            let Err(err) = self.read(true).await else {
                return;
            };
            let reading = self.node.reading();
            self.note_registry_failed(&err, &reading);
            let asks_others = !reading.reads || tries % READER_TRIES == 0;
            if asks_others && self.read_from_others(&reading).await {
                return;
            }
            if reading.reads {
                let wait_ms = FIRST_EVERY_MS + self.spread % FIRST_EVERY_MS;
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
        }
    }

    /// Waits for others to read the registry, and has what they know if the registry still turns this
    /// instance away. Returns whether it came about. It ends after a while, when this instance is to try
    /// again whatever the others say.
    async fn read_from_others(&mut self, reading: &Reading) -> bool {
        let until = self.clock.now() + OTHERS_MS + self.spread % OTHERS_MS;
        for relay in reading.relays.iter().copied().cycle() {
            if self.clock.now() >= until {
                break;
            }
            if !self.has_read(relay).await {
                if reading.reads {
                    break;
                }
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            if self.read(true).await.is_ok() || self.read_from(relay).await {
                return true;
            }
        }
        false
    }

    /// Waits for another instance to read the registry, and returns whether it has.
    async fn has_read(&mut self, relay: SocketAddr) -> bool {
        let request = relay::write_has_read();
        let limit_ms = relay::WAIT_MS + RELAY_SLACK_MS;
        let answer = Registry::new(relay).call(request, limit_ms).await;
        matches!(answer, Ok((status, _)) if (200..300).contains(&status))
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
            Ok(()) => self.pace(),
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
            self.pace()
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

    /// Returns how long to pause after news.
    fn pace(&self) -> Duration {
        if self.clock.now() < self.filling_until {
            QUICK_PACE
        } else {
            PACE
        }
    }

    fn take(&mut self, entries: &[Entry], revision: u64, is_whole: bool, age_ms: u64) {
        let was_old = self.mirror.age_ms().is_none_or(|age_ms| age_ms > OUTAGE_MS);
        if was_old && age_ms <= OUTAGE_MS {
            self.filling_until = self.clock.now() + FILLING_MS;
        }
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
