//! The calls with which the instances of a simulated fleet keep up with the registry.

use std::net::SocketAddr;

use hemlockrouter_member::RegistryCall;
use hemlockrouter_types::prelude::*;

use crate::fleet::Fleet;
use crate::node::Pending;
use crate::node::Refusal;

/// How long a connection to a machine without power may take, in milliseconds.
const CONNECT_MS: u64 = 150;

impl Fleet {
    /// Ends the calls of an instance that are over, and begins those that are due.
    pub(crate) fn follow(&mut self, at: usize) {
        let now = self.now;
        if now < self.nodes[at].disturbed_at {
            return;
        }
        if self.nodes[at].known.is_none() {
            return self.read_first(at);
        }
        let pending = std::mem::take(&mut self.nodes[at].calls);
        let before = pending.len();
        for pending in pending {
            if !self.end_if_over(at, &pending) {
                self.nodes[at].calls.push(pending);
            }
        }
        let has_ended = self.nodes[at].calls.len() < before;
        if has_ended || now >= self.nodes[at].look_at {
            let registry_access = self.registry_access(at);
            let calls = self.nodes[at].sources.due_calls(now, &registry_access);
            calls.into_iter().for_each(|call| self.begin(at, call));
            self.nodes[at].look_at = self.nodes[at].sources.wake_at();
        }
    }

    /// Reads from the registry, or from whoever is known to have read. A first read costs a tenth for
    /// each of few pages.
    pub(crate) fn read_first(&mut self, at: usize) {
        if self.reaches_registry(at) {
            let revision = self.registry.revision();
            return self.learn(at, revision, self.now, Vec::new());
        }
        let relays = self.registry_access(at).relays;
        let reached: Vec<usize> = relays
            .into_iter()
            .filter_map(|relay| self.reached(at, relay))
            .collect();
        let knowing = reached
            .into_iter()
            .find(|other| self.nodes[*other].known.is_some());
        if let Some(other) = knowing {
            let (revision, heard_at) = self.nodes[other].known.expect("it was asked");
            self.learn(at, revision, heard_at, self.path_of(other));
        }
    }

    /// Returns through whom news come from an instance.
    pub(crate) fn path_of(&self, at: usize) -> Vec<String> {
        let node = &self.nodes[at];
        let path = node.path.iter().chain([&node.entry.name]);
        path.cloned().collect()
    }

    pub(crate) fn begin(&mut self, at: usize, call: RegistryCall) {
        if let RegistryCall::Offer { relay } = call {
            if let (Some(other), Some(me)) = (self.reached(at, relay), self.nodes[at].entry.relay) {
                let now = self.now;
                self.nodes[other].sources.handle_offer(now, me);
                self.nodes[other].look_at = now;
            }
            return;
        }
        self.registry.calls += u64::from(matches!(call, RegistryCall::WatchRegistry { .. }));
        let heard_at = self.nodes[at].known.map(|(_, heard_at)| heard_at);
        self.nodes[at].calls.push(Pending {
            call,
            began_at: self.now,
            heard_at,
        });
    }

    /// Ends a call if its answer is there or its time is over.
    pub(crate) fn end_if_over(&mut self, at: usize, pending: &Pending) -> bool {
        let took_ms = pending.took_ms(self.now);
        match pending.call {
            RegistryCall::WatchRegistry {
                wait_ms,
                timeout_ms,
            } => self.end_watch(at, took_ms, wait_ms, timeout_ms),
            RegistryCall::AskRelay {
                relay,
                wait_ms,
                timeout_ms,
            } => self.end_ask(at, relay, pending, wait_ms, timeout_ms),
            RegistryCall::Offer { .. } => true,
        }
    }

    pub(crate) fn end_watch(
        &mut self,
        at: usize,
        took_ms: u64,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> bool {
        let now = self.now;
        if self.reaches_registry(at) {
            let revision = self.registry.revision();
            let known = self.nodes[at].known.map_or(0, |(known, _)| known);
            if took_ms < wait_ms && known == revision {
                return false;
            }
            let pace_ms = self.shape.timing().watch_pause_ms();
            self.learn(at, revision, now, Vec::new());
            let offers = self.nodes[at].sources.record_registry_answer(now, pace_ms);
            offers.into_iter().for_each(|call| self.begin(at, call));
            return true;
        }
        let fails_at_once = self.refusal(at) == Some(Refusal::Reset);
        if took_ms < timeout_ms && !fails_at_once {
            return false;
        }
        let registry_access = self.registry_access(at);
        self.nodes[at]
            .sources
            .record_registry_failure(now, &registry_access);
        true
    }

    pub(crate) fn end_ask(
        &mut self,
        at: usize,
        relay: SocketAddr,
        pending: &Pending,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> bool {
        let now = self.now;
        let took_ms = pending.took_ms(now);
        let Some(other) = self.reached(at, relay) else {
            let is_off = self.nodes[usize::from(relay.port())].down_until.is_some();
            if took_ms < timeout_ms && !(is_off && took_ms >= CONNECT_MS) {
                return false;
            }
            self.nodes[at].sources.record_relay_failure(now, relay);
            return true;
        };
        let Some((revision, heard_at)) = self.nodes[other].known else {
            self.nodes[at].sources.record_relay_failure(now, relay);
            return true;
        };
        let known = self.nodes[at].known.map_or(0, |(known, _)| known);
        let has_news = known < revision || Some(heard_at) > pending.heard_at.map(|at| at + 100);
        if took_ms < wait_ms && !has_news {
            return false;
        }
        let path = self.path_of(other);
        self.learn(at, revision, heard_at, path.clone());
        let sources = &mut self.nodes[at].sources;
        sources.record_relay_answer(now, relay, now.ms_since(heard_at), &path);
        true
    }

    /// Takes over what has changed up to a revision.
    pub(crate) fn learn(&mut self, at: usize, revision: usize, heard_at: Time, path: Vec<String>) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let (known, known_at) = node.known.unwrap_or((0, Time::ZERO));
        let changes = self.registry.history.get(known..revision);
        for (name, entry) in changes.unwrap_or_default() {
            match entry {
                Some(entry) => {
                    node.instances.add_instance(now, entry.clone());
                }
                None => node.instances.mark_removed(now, name),
            }
        }
        if node.known.is_none() {
            let me = node.entry.name.clone();
            node.instances.record_first_read(&me);
        }
        let heard_at = match node.sources.is_usable_path(&path) {
            true => heard_at,
            false => known_at,
        };
        if heard_at > known_at {
            node.path = path;
        }
        node.known = Some((known.max(revision), known_at.max(heard_at)));
        node.sources.record_known_as_of(heard_at);
    }
}
