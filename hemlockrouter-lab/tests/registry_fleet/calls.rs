//! The calls by which the instances of a simulated fleet follow the registry.

use std::net::SocketAddr;

use hemlockrouter_member::Call;
use hemlockrouter_types::prelude::*;

use crate::fleet::Fleet;
use crate::node::Pending;
use crate::node::Refusal;

/// Timeout of connecting to an instance that is down, in milliseconds.
const CONNECT_MS: u64 = 150;

impl Fleet {
    /// Ends the completed calls of an instance, and starts the calls that are due.
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
            let reading = self.reading(at);
            let calls = self.nodes[at].sources.poll(now, &reading);
            calls.into_iter().for_each(|call| self.begin(at, call));
            self.nodes[at].look_at = self.nodes[at].sources.wake_at();
        }
    }

    /// Performs the first read of an instance from the registry, or from a relay that already has the
    /// data.
    pub(crate) fn read_first(&mut self, at: usize) {
        if self.reaches_registry(at) {
            let revision = self.registry.revision();
            return self.learn(at, revision, self.now, Vec::new());
        }
        let relays = self.reading(at).relays;
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

    /// Returns the names of the instances through which data from instance `at` comes, itself last.
    pub(crate) fn path_of(&self, at: usize) -> Vec<String> {
        let node = &self.nodes[at];
        let path = node.path.iter().chain([&node.entry.name]);
        path.cloned().collect()
    }

    pub(crate) fn begin(&mut self, at: usize, call: Call) {
        if let Call::Offer { relay } = call {
            if let (Some(other), Some(me)) = (self.reached(at, relay), self.nodes[at].entry.relay) {
                let now = self.now;
                self.nodes[other].sources.offered(now, me);
                self.nodes[other].look_at = now;
            }
            return;
        }
        self.registry.calls += u64::from(matches!(call, Call::Watch { .. }));
        let heard_at = self.nodes[at].known.map(|(_, heard_at)| heard_at);
        self.nodes[at].calls.push(Pending {
            call,
            began_at: self.now,
            heard_at,
        });
    }

    /// Ends a call if its answer has arrived or its timeout has elapsed, and returns whether the call
    /// ended.
    pub(crate) fn end_if_over(&mut self, at: usize, pending: &Pending) -> bool {
        let took_ms = pending.took_ms(self.now);
        match pending.call {
            Call::Watch { wait_ms, limit_ms } => self.end_watch(at, took_ms, wait_ms, limit_ms),
            Call::Ask {
                relay,
                wait_ms,
                limit_ms,
            } => self.end_ask(at, relay, pending, wait_ms, limit_ms),
            Call::Offer { .. } => true,
        }
    }

    pub(crate) fn end_watch(
        &mut self,
        at: usize,
        took_ms: u64,
        wait_ms: u64,
        limit_ms: u64,
    ) -> bool {
        let now = self.now;
        if self.reaches_registry(at) {
            let revision = self.registry.revision();
            let known = self.nodes[at].known.map_or(0, |(known, _)| known);
            if took_ms < wait_ms && known == revision {
                return false;
            }
            let pace_ms = self.shape.timing().pace_ms();
            self.learn(at, revision, now, Vec::new());
            let offers = self.nodes[at].sources.registry_answered(now, pace_ms);
            offers.into_iter().for_each(|call| self.begin(at, call));
            return true;
        }
        let fails_at_once = self.refusal(at) == Some(Refusal::Reset);
        if took_ms < limit_ms && !fails_at_once {
            return false;
        }
        let reading = self.reading(at);
        self.nodes[at].sources.registry_failed(now, &reading);
        true
    }

    pub(crate) fn end_ask(
        &mut self,
        at: usize,
        relay: SocketAddr,
        pending: &Pending,
        wait_ms: u64,
        limit_ms: u64,
    ) -> bool {
        let now = self.now;
        let took_ms = pending.took_ms(now);
        let Some(other) = self.reached(at, relay) else {
            let is_off = self.nodes[usize::from(relay.port())].down_until.is_some();
            if took_ms < limit_ms && !(is_off && took_ms >= CONNECT_MS) {
                return false;
            }
            self.nodes[at].sources.relay_failed(now, relay);
            return true;
        };
        let Some((revision, heard_at)) = self.nodes[other].known else {
            self.nodes[at].sources.relay_failed(now, relay);
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
        sources.relay_answered(now, relay, now.since(heard_at), &path);
        true
    }

    /// Applies the registry's changes up to `revision` to the view of an instance.
    pub(crate) fn learn(&mut self, at: usize, revision: usize, heard_at: Time, path: Vec<String>) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let (known, known_at) = node.known.unwrap_or((0, Time::ZERO));
        let changes = self.registry.history.get(known..revision);
        for (name, entry) in changes.unwrap_or_default() {
            match entry {
                Some(entry) => {
                    node.instances.joined(now, entry.clone());
                }
                None => node.instances.left(now, name),
            }
        }
        if node.known.is_none() {
            let me = node.entry.name.clone();
            node.instances.first_read(&me);
        }
        let heard_at = match node.sources.counts(&path) {
            true => heard_at,
            false => known_at,
        };
        if heard_at > known_at {
            node.path = path;
        }
        node.known = Some((known.max(revision), known_at.max(heard_at)));
        node.sources.heard(heard_at);
    }
}
