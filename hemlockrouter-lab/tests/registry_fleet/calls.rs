//! The calls by which the instances of a simulated fleet follow the registry.

use std::net::SocketAddr;

use hemlockrouter_member::RegistryCall;
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
            let registry_access = self.registry_access(index);
            let calls = self.nodes[index].sources.due_calls(now, &registry_access);
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
        let relays = self.registry_access(index).relays;
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

    pub(crate) fn start_call(&mut self, index: usize, call: RegistryCall) {
        if let RegistryCall::Offer { relay } = call {
            if let (Some(other), Some(me)) = (
                self.reachable_relay(index, relay),
                self.nodes[index].entry.relay,
            ) {
                let now = self.now;
                self.nodes[other].sources.handle_offer(now, me);
                self.nodes[other].poll_at = now;
            }
            return;
        }
        self.registry.calls += u64::from(matches!(call, RegistryCall::WatchRegistry { .. }));
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
            RegistryCall::WatchRegistry {
                wait_ms,
                timeout_ms,
            } => self.end_watch_if_completed(index, elapsed_ms, wait_ms, timeout_ms),
            RegistryCall::AskRelay {
                relay,
                wait_ms,
                timeout_ms,
            } => self.end_relay_call_if_completed(index, relay, pending, wait_ms, timeout_ms),
            RegistryCall::Offer { .. } => true,
        }
    }

    pub(crate) fn end_watch_if_completed(
        &mut self,
        index: usize,
        elapsed_ms: u64,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> bool {
        let now = self.now;
        if self.reaches_registry(index) {
            let revision = self.registry.revision();
            let known = self.nodes[index].view.map_or(0, |(known, _)| known);
            if elapsed_ms < wait_ms && known == revision {
                return false;
            }
            let pace_ms = self.shape.timing().watch_pause_ms();
            self.apply_changes(index, revision, now, Vec::new());
            let offers = self.nodes[index]
                .sources
                .record_registry_answer(now, pace_ms);
            offers
                .into_iter()
                .for_each(|call| self.start_call(index, call));
            return true;
        }
        let fails_at_once = self.refusal(index) == Some(Refusal::Reset);
        if elapsed_ms < timeout_ms && !fails_at_once {
            return false;
        }
        let registry_access = self.registry_access(index);
        self.nodes[index]
            .sources
            .record_registry_failure(now, &registry_access);
        true
    }

    pub(crate) fn end_relay_call_if_completed(
        &mut self,
        index: usize,
        relay: SocketAddr,
        pending: &Pending,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> bool {
        let now = self.now;
        let elapsed_ms = pending.elapsed_ms(now);
        let Some(other) = self.reachable_relay(index, relay) else {
            let is_instance_down = self.nodes[usize::from(relay.port())].down_until.is_some();
            if elapsed_ms < timeout_ms && !(is_instance_down && elapsed_ms >= CONNECT_TIMEOUT_MS) {
                return false;
            }
            self.nodes[index].sources.record_relay_failure(now, relay);
            return true;
        };
        let Some((revision, registry_seen_at)) = self.nodes[other].view else {
            self.nodes[index].sources.record_relay_failure(now, relay);
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
        sources.record_relay_answer(now, relay, now.ms_since(registry_seen_at), &path);
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
                    node.instances.add_instance(now, entry.clone());
                }
                None => node.instances.mark_removed(now, name),
            }
        }
        if node.view.is_none() {
            let me = node.entry.name.clone();
            node.instances.record_first_read(&me);
        }
        let registry_seen_at = match node.sources.is_usable_path(&path) {
            true => registry_seen_at,
            false => known_at,
        };
        if registry_seen_at > known_at {
            node.path = path;
        }
        node.view = Some((known.max(revision), known_at.max(registry_seen_at)));
        node.sources.record_known_as_of(registry_seen_at);
    }
}
