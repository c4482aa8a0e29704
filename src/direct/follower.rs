//! Keeps up with the registry.
//!
//! The registry is read whole once and then followed by watches. Bounds on how fast a change is in
//! force run from the registry's acknowledgement, so a watch that has lost its other end must be
//! noticed: its connection is probed, and the call has a limit of its own. Whether the next news comes
//! from the registry or from another instance is decided by [`Sources`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlockrouter_edge::Change;
use hemlockrouter_edge::Entry;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use hemlockrouter_edge::RelayPage;
use hemlockrouter_member::Source;
use hemlockrouter_member::Sources;
use hemlockrouter_route::direct::Instances;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::Reading;
use log::info;
use log::warn;
use xxhash_rust::xxh3::xxh3_64;

use super::mirror::Mirror;
use super::node::Identity;
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

/// Up to so many instances read everything from the registry when they start, even all at once: it then
/// takes less time than finding somebody else to read from.
const ALL_READ_FIRST_MAX: usize = 100;

/// How soon a reader that knows nothing yet tries again to read, in milliseconds; it adds up to as much
/// again, so that not all call at once. Until then it serves nobody, and others wait for it.
const FIRST_EVERY_MS: u64 = 150;

/// After so many tries a reader that knows nothing yet finds out whether others have read: it may be
/// turned away alone.
const READER_TRIES: u32 = 5;

/// How long a reader waits for the answer of a seed, in milliseconds.
const READER_ASKS_MS: u64 = 100;

/// How long seeds that do not answer are tried, in milliseconds. Machines that start together do so
/// within a few tenths of a second.
const SILENT_SEEDS_MS: u64 = 800;

/// How often an instance that reads first tries each instance that it may read from.
const RELAY_TRIES: usize = 2;

/// How long seeds are waited for that have not read the registry either, in milliseconds; instances add
/// up to as much again.
const WAITING_SEEDS_MS: u64 = 3_000;

/// The status with which a seed answers that has not read the registry yet.
const NOT_READ_YET: u16 = 503;

/// The pause after the first read before the others are asked, in which those that started at the same
/// time have registered.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Keeps up with the registry.
pub(super) struct Follower {
    name: String,
    zone: String,
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
    /// A number that differs between instances and spreads their calls.
    spread: u64,
}

/// What a follower works with.
pub(super) struct Parts {
    pub(super) me: Rc<Identity>,
    pub(super) clock: Clock,
    pub(super) catch_up_ms: u64,
    pub(super) registry_address: SocketAddr,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) node: Rc<Node>,
    pub(super) mirror: Rc<Mirror>,
}

impl Follower {
    pub(super) fn new(parts: Parts) -> Follower {
        let name = parts.me.entry.name.clone();
        let spread = xxh3_64(name.as_bytes());
        Follower {
            name,
            zone: parts.me.entry.zone.clone(),
            clock: parts.clock,
            catch_up_ms: parts.catch_up_ms,
            protocol: parts.protocol,
            node: parts.node,
            mirror: parts.mirror,
            registry: Registry::new(parts.registry_address),
            sources: Sources::new(spread),
            followed: None,
            lost_since: None,
            filling_until: Time::ZERO,
            spread,
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

    /// Reads everything for the first time. When many instances start at once the way to the registry is
    /// too narrow for all, so those that are no readers read from the readers of their zone. Who these are
    /// is in the list of instances, or is asked of the seeds while the registry does not answer.
    async fn read_first(&mut self) {
        for tries in 1_u32.. {
            let reading = self.node.reading();
            let Err(err) = self.read_or_ask_readers().await else {
                return;
            };
            self.note_registry_failed(&err, &reading);
            let asks_seeds = !reading.reads || tries % READER_TRIES == 0;
            if asks_seeds && self.read_by_seeds(&reading).await {
                return;
            }
            let wait_ms = FIRST_EVERY_MS + self.spread % FIRST_EVERY_MS;
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Reads everything from the registry, or from a reader of the zone if there are many instances.
    async fn read_or_ask_readers(&mut self) -> Result<(), CallError> {
        let request = self.protocol.write_read_instances();
        let (status, body) = self.registry.call(request, CALL_MS).await?;
        let page = self.protocol.read_page(status, &body);
        let page = page.map_err(CallError::Refused)?;
        let is_large = page.entries.len() > ALL_READ_FIRST_MAX || page.next.is_some();
        if is_large {
            let mut listed = Instances::default();
            for entry in page.entries {
                if let Change::Instance(instance) = entry.change {
                    listed.joined(Time::ZERO, instance);
                }
            }
            let readers = listed.first_readers(&self.zone);
            let is_reader = readers.iter().any(|entry| entry.name == self.name);
            if !is_reader && self.read_from_any(&relays_of(&readers)).await {
                return Ok(());
            }
        }
        self.read(true).await
    }

    /// Asks the seeds from whom to read, and reads. Returns whether it came about. Seeds that wait for
    /// the registry are waited for; those that do not answer are given up soon.
    async fn read_by_seeds(&mut self, reading: &Reading) -> bool {
        let started = self.clock.now();
        let silent_ms = match reading.reads {
            true => READER_ASKS_MS,
            false => SILENT_SEEDS_MS,
        };
        let mut give_up_at = started + silent_ms;
        for seed in reading.relays.iter().copied().cycle() {
            if self.clock.now() >= give_up_at {
                break;
            }
            match self.readers(seed, reading.reads).await {
                Ok(readers) => {
                    let is_reader = readers.iter().any(|entry| entry.name == self.name);
                    return !is_reader && self.read_from_any(&relays_of(&readers)).await;
                }
                // Readers that waited for each other would never read.
                Err(CallError::Outdated { .. }) if reading.reads => break,
                Err(CallError::Outdated { .. }) => {
                    give_up_at = started + WAITING_SEEDS_MS + self.spread % WAITING_SEEDS_MS;
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
        false
    }

    /// Asks a seed from whom to read. A seed that has not read the registry either answers when it has, which
    /// one that `reads` itself does not wait for.
    async fn readers(
        &mut self,
        seed: SocketAddr,
        reads: bool,
    ) -> Result<Vec<InstanceEntry>, CallError> {
        let request = relay::write_readers(&self.zone);
        let request = request.ok_or_else(|| CallError::NoAnswer(String::from("no such zone")))?;
        let limit_ms = match reads {
            true => READER_ASKS_MS,
            false => relay::WAIT_MS + RELAY_SLACK_MS,
        };
        let (status, body) = Registry::of_instance(seed).call(request, limit_ms).await?;
        if status == NOT_READ_YET {
            return Err(CallError::Outdated { age_ms: u64::MAX });
        }
        relay::read_readers(status, &body).map_err(CallError::NoAnswer)
    }

    async fn read_from_any(&mut self, relays: &[SocketAddr]) -> bool {
        for relay in relays.repeat(RELAY_TRIES) {
            if self.read_from(relay).await {
                return true;
            }
        }
        false
    }

    /// Reads everything from another instance, and returns whether that one knows anything.
    async fn read_from(&mut self, relay: SocketAddr) -> bool {
        match self.ask(relay, None).await {
            Ok(page) if page.is_whole && page.revision > 0 => {
                let age_ms = page.age_ms;
                let address = relay.to_string();
                info!(target: "dependency", relay = address, age_ms = age_ms; "read from a relay");
                match page.entries.decode() {
                    Ok(entries) => self.take(&entries, page.revision, true, age_ms, &page.path),
                    Err(err) => {
                        let err = CallError::NoAnswer(err.to_string());
                        self.note_relay_failed(relay, &err);
                        return false;
                    }
                }
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
                self.take(&entries, revision, true, 0, &[]);
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
                self.take(&page.entries, page.revision, false, 0, &[]);
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
        let entries = match page.entries.decode() {
            Ok(entries) => entries,
            Err(err) => {
                self.note_relay_failed(relay, &CallError::NoAnswer(err.to_string()));
                return PAUSE;
            }
        };
        let now = self.clock.now();
        let is_through_me = page.path.contains(&self.name);
        let is_in_touch = self
            .sources
            .relay_answered(now, relay, page.age_ms, is_through_me);
        self.take(
            &entries,
            page.revision,
            page.is_whole,
            page.age_ms,
            &page.path,
        );
        if is_in_touch {
            self.pace()
        } else {
            let address = relay.to_string();
            let path = shown(&page.path);
            info!(target: "dependency", relay = address, age_ms = page.age_ms, path = path; "relay out of touch");
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
        let (_, mut relay) = followed.unwrap_or_else(|| (address, Registry::of_instance(address)));
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

    fn take(
        &mut self,
        entries: &[Entry],
        revision: u64,
        is_whole: bool,
        age_ms: u64,
        path: &[String],
    ) {
        let was_old = self.mirror.age_ms().is_none_or(|age_ms| age_ms > OUTAGE_MS);
        if was_old && age_ms <= OUTAGE_MS {
            self.filling_until = self.clock.now() + FILLING_MS;
        }
        // A page that comes a second time, late, must not bring back what has changed since.
        let known = self.mirror.revision().unwrap_or_default();
        let newer = entries
            .iter()
            .filter(|entry| is_whole || entry.revision > known);
        let entries: Vec<Entry> = newer.cloned().collect();
        self.mirror.take(&entries, revision, is_whole);
        if self.mirror.heard(age_ms, path) {
            info!(
                target: "dependency",
                path = shown(path),
                age_ms = age_ms,
                revision = revision;
                "registry heard another way"
            );
        }
        if is_whole || !entries.is_empty() {
            let changes = entries.into_iter().map(|entry| entry.change);
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

/// Returns the instances through which news came, for the log.
fn shown(path: &[String]) -> String {
    match path {
        [] => String::from("none"),
        path => path.join(" "),
    }
}

fn relays_of(instances: &[InstanceEntry]) -> Vec<SocketAddr> {
    instances.iter().filter_map(|entry| entry.relay).collect()
}
