//! Keeps up with the registry.
//!
//! The registry is read whole once and then followed by watches. Bounds on how fast a change is in
//! force run from the registry's acknowledgement, so a watch that has lost its other end must be
//! noticed: its connection is probed, and the call has a limit of its own. An instance that follows
//! another one turns to the registry itself as soon as that one is silent or out of touch.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlockrouter_edge::Entry;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use hemlockrouter_route::direct::Reading;
use hemlockrouter_types::prelude::*;
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

/// An instance whose last word from the registry is older than this is not followed, in milliseconds.
const AGE_MAX_MS: u64 = 3_000;

/// How much longer than it waits a call to another instance may take, in milliseconds.
const RELAY_SLACK_MS: u64 = 500;

/// For how long an instance keeps to the registry after it lost the one that it followed, in
/// milliseconds.
const ALONE_MS: u64 = 10_000;

/// The pause between two watches, so that changes come in batches.
const PACE: Duration = Duration::from_millis(500);

/// The pause after the first failure before the registry is called again; it doubles each time.
const PAUSE_MIN: Duration = Duration::from_millis(250);

/// The longest pause after a failure.
const PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// Keeps up with the registry.
pub(super) struct Follower {
    pub(super) clock: Clock,
    pub(super) catch_up_ms: u64,
    pub(super) name: String,
    pub(super) registry: Registry,
    pub(super) protocol: Rc<dyn Protocol>,
    pub(super) node: Rc<Node>,
    pub(super) mirror: Rc<Mirror>,
    /// The instance that is followed, if one is.
    pub(super) followed: Option<(SocketAddr, Registry)>,
    /// Until when no instance is followed.
    pub(super) alone_until: Time,
    /// Since when the registry does not answer.
    pub(super) lost_since: Option<Time>,
}

impl Follower {
    /// Runs for as long as the process does.
    pub(super) async fn run(mut self) {
        let mut pause = PAUSE_MIN;
        loop {
            match self.step().await {
                Ok(()) => {
                    pause = PAUSE_MIN;
                    tokio::time::sleep(PACE).await;
                }
                Err(err) => {
                    self.lost(&err);
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(PAUSE_MAX);
                }
            }
        }
    }

    /// Learns what is new, by whichever way serves now.
    async fn step(&mut self) -> Result<(), CallError> {
        let now = self.clock.now();
        let reading = self.node.reading(&self.name);
        let Some(revision) = self.mirror.revision() else {
            return self.read(true).await;
        };
        match reading {
            Reading::Following(address) if now >= self.alone_until => {
                self.follow(address, revision).await
            }
            Reading::ForOthers => self.watch(revision, SHARED_WATCH_MS).await,
            Reading::Alone | Reading::Following(_) => {
                let wait_ms = (self.catch_up_ms as f64 * WATCH_PART) as u64;
                self.watch(revision, wait_ms).await
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
                self.regained();
                self.take(&entries, revision, true, 0);
                return Ok(());
            }
        }
    }

    /// Waits for changes after `revision`.
    async fn watch(&mut self, revision: u64, wait_ms: u64) -> Result<(), CallError> {
        let request = self.protocol.write_watch(revision, wait_ms);
        let (status, body) = self.registry.call(request, wait_ms + CALL_MS).await?;
        match self.protocol.read_changes(status, &body) {
            Ok(page) => {
                self.regained();
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

    /// Waits for changes after `revision` that another instance passes on.
    async fn follow(&mut self, address: SocketAddr, revision: u64) -> Result<(), CallError> {
        if let Err(err) = self.try_follow(address, revision).await {
            let why = err.to_string();
            warn!(target: "dependency", relay = address.to_string(), why = why; "relay lost");
            self.followed = None;
            self.alone_until = self.clock.now() + ALONE_MS;
            return self.watch(revision, SHARED_WATCH_MS).await;
        }
        Ok(())
    }

    async fn try_follow(&mut self, address: SocketAddr, revision: u64) -> Result<(), CallError> {
        let followed = self.followed.take().filter(|(known, _)| *known == address);
        let is_new = followed.is_none();
        let (_, mut relay) = followed.unwrap_or_else(|| (address, Registry::new(address)));
        let request = relay::write_call(Some(revision));
        let limit_ms = relay::WAIT_MS + RELAY_SLACK_MS;
        let (status, body) = relay.call(request, limit_ms).await?;
        let page = relay::read_page(status, &body).map_err(CallError::NoAnswer)?;
        let age_ms = page.age_ms;
        let is_behind = page.is_whole && page.revision < revision;
        if is_behind || age_ms > AGE_MAX_MS {
            return Err(CallError::Outdated { age_ms });
        }
        if is_new {
            info!(target: "dependency", relay = address.to_string(); "following");
        }
        self.followed = Some((address, relay));
        self.take(&page.entries, page.revision, page.is_whole, age_ms);
        Ok(())
    }

    fn take(&self, entries: &[Entry], revision: u64, is_whole: bool, age_ms: u64) {
        self.mirror.take(entries, revision, is_whole, age_ms);
        if is_whole || !entries.is_empty() {
            let changes = entries.iter().map(|entry| entry.change.clone());
            self.node.changed(changes.collect(), is_whole);
        }
    }

    fn lost(&mut self, err: &CallError) {
        if self.lost_since.is_none() {
            self.lost_since = Some(self.clock.now());
            warn!(target: "dependency", why = err.to_string(); "registry lost");
        }
    }

    fn regained(&mut self) {
        if let Some(since) = self.lost_since.take() {
            let lost_ms = self.clock.now().since(since);
            info!(target: "dependency", lost_ms = lost_ms; "registry regained");
        }
    }
}
