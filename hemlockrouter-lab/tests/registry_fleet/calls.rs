//! The calls by which the instances of a simulated fleet follow the registry.

use std::net::SocketAddr;

use hemlockrouter_member::Call;
use hemlockrouter_types::prelude::*;

use crate::fleet::Fleet;
use crate::node::Pending;
use crate::node::Refusal;

/// Timeout of connecting to an instance that is down, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 150;

impl Fleet {
    /// Ends the completed calls of an instance, and starts the calls that are due.
    pub(crate) fn follow_registry(&mut self, index: usize) {
        let now = self.now;
        if now < self.nodes[index].last_fault_at {
            return;
        }
        if self.nodes[index].view.is_none() {
            return self.read_registry_first(index);
        }
        let pending = std::mem::take(&mut self.nodes[index].calls);
        let before = pending.len();
        for pending in pending {
            if !self.end_call_if_completed(index, &pending) {
                self.nodes[index].calls.push(pending);
            }
        }
        let has_ended = self.nodes[index].calls.len() < before;
        if has_ended || now >= self.nodes[index].poll_at {
            let reading = self.reading(index);
            let calls = self.nodes[index].sources.poll(now, &reading);
            calls
                .into_iter()
                .for_each(|call| self.start_call(index, call));
            self.nodes[index].poll_at = self.nodes[index].sources.wake_at();
        }
    }

    /// Performs the first read of an instance from the registry, or from a relay that already has the
    /// data.
    pub(crate) fn read_registry_first(&mut self, index: usize) {
        if self.reaches_registry(index) {
            let revision = self.registry.revision();
            return self.apply_changes(index, revision, self.now, Vec::new());
        }
        let relays = self.reading(index).relays;
        let reachable_relay: Vec<usize> = relays
            .into_iter()
            .filter_map(|relay| self.reachable_relay(index, relay))
            .collect();
        let informed_relay = reachable_relay
            .into_iter()
            .find(|other| self.nodes[*other].view.is_some());
        if let Some(other) = informed_relay {
            let (revision, registry_seen_at) = self.nodes[other].view.expect("it was asked");
            self.apply_changes(
                index,
                revision,
                registry_seen_at,
                self.relay_path_through(other),
            );
        }
    }

    /// Returns the names of the instances through which data from instance `index` comes, itself last.
    pub(crate) fn relay_path_through(&self, index: usize) -> Vec<String> {
        let node = &self.nodes[index];
        let path = node.path.iter().chain([&node.entry.name]);
        path.cloned().collect()
    }

    pub(crate) fn start_call(&mut self, index: usize, call: Call) {
        if let Call::Offer { relay } = call {
            if let (Some(other), Some(me)) = (
                self.reachable_relay(index, relay),
                self.nodes[index].entry.relay,
            ) {
                let now = self.now;
                self.nodes[other].sources.offered(now, me);
                self.nodes[other].poll_at = now;
            }
            return;
        }
        self.registry.calls += u64::from(matches!(call, Call::Watch { .. }));
        let registry_seen_at = self.nodes[index]
            .view
            .map(|(_, registry_seen_at)| registry_seen_at);
        self.nodes[index].calls.push(Pending {
            call,
            started_at: self.now,
            registry_seen_at,
        });
    }

    /// Ends a call if its answer has arrived or its timeout has elapsed, and returns whether the call
    /// ended.
    pub(crate) fn end_call_if_completed(&mut self, index: usize, pending: &Pending) -> bool {
        let elapsed_ms = pending.elapsed_ms(self.now);
        match pending.call {
            Call::Watch { wait_ms, limit_ms } => {
                self.end_watch_if_completed(index, elapsed_ms, wait_ms, limit_ms)
            }
            Call::Ask {
                relay,
                wait_ms,
                limit_ms,
            } => self.end_relay_call_if_completed(index, relay, pending, wait_ms, limit_ms),
            Call::Offer { .. } => true,
        }
    }

    pub(crate) fn end_watch_if_completed(
        &mut self,
        index: usize,
        elapsed_ms: u64,
        wait_ms: u64,
        limit_ms: u64,
    ) -> bool {
        let now = self.now;
        if self.reaches_registry(index) {
            let revision = self.registry.revision();
            let known = self.nodes[index].view.map_or(0, |(known, _)| known);
            if elapsed_ms < wait_ms && known == revision {
                return false;
            }
            let pace_ms = self.shape.timing().pace_ms();
            self.apply_changes(index, revision, now, Vec::new());
            let offers = self.nodes[index].sources.registry_answered(now, pace_ms);
            offers
                .into_iter()
                .for_each(|call| self.start_call(index, call));
            return true;
        }
        let fails_at_once = self.refusal(index) == Some(Refusal::Reset);
        if elapsed_ms < limit_ms && !fails_at_once {
            return false;
        }
        let reading = self.reading(index);
        self.nodes[index].sources.registry_failed(now, &reading);
        true
    }

    pub(crate) fn end_relay_call_if_completed(
        &mut self,
        index: usize,
        relay: SocketAddr,
        pending: &Pending,
        wait_ms: u64,
        limit_ms: u64,
    ) -> bool {
        let now = self.now;
        let elapsed_ms = pending.elapsed_ms(now);
        let Some(other) = self.reachable_relay(index, relay) else {
            let is_instance_down = self.nodes[usize::from(relay.port())].down_until.is_some();
            if elapsed_ms < limit_ms && !(is_instance_down && elapsed_ms >= CONNECT_TIMEOUT_MS) {
                return false;
            }
            self.nodes[index].sources.relay_failed(now, relay);
            return true;
        };
        let Some((revision, registry_seen_at)) = self.nodes[other].view else {
            self.nodes[index].sources.relay_failed(now, relay);
            return true;
        };
        let known = self.nodes[index].view.map_or(0, |(known, _)| known);
        let relay_is_newer = known < revision
            || Some(registry_seen_at) > pending.registry_seen_at.map(|index| index + 100);
        if elapsed_ms < wait_ms && !relay_is_newer {
            return false;
        }
        let path = self.relay_path_through(other);
        self.apply_changes(index, revision, registry_seen_at, path.clone());
        let sources = &mut self.nodes[index].sources;
        sources.relay_answered(now, relay, now.since(registry_seen_at), &path);
        true
    }

    /// Applies the registry's changes up to `revision` to the view of an instance.
    pub(crate) fn apply_changes(
        &mut self,
        index: usize,
        revision: usize,
        registry_seen_at: Time,
        path: Vec<String>,
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let (known, known_at) = node.view.unwrap_or((0, Time::ZERO));
        let changes = self.registry.history.get(known..revision);
        for (name, entry) in changes.unwrap_or_default() {
            match entry {
                Some(entry) => {
                    node.instances.joined(now, entry.clone());
                }
                None => node.instances.left(now, name),
            }
        }
        if node.view.is_none() {
            let me = node.entry.name.clone();
            node.instances.first_read(&me);
        }
        let registry_seen_at = match node.sources.counts(&path) {
            true => registry_seen_at,
            false => known_at,
        };
        if registry_seen_at > known_at {
            node.path = path;
        }
        node.view = Some((known.max(revision), known_at.max(registry_seen_at)));
        node.sources.heard(registry_seen_at);
    }
}
