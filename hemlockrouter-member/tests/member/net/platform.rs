//! Simulation of the platform's list and store.

use std::collections::BTreeMap;

use hemlockrouter_member::ListedInstance;
use hemlockrouter_member::ListedState;
use hemlockrouter_types::prelude::*;

use super::Event;
use super::SimulatedNetwork;

/// Interval at which the instances read the list and the store, in milliseconds.
const PLATFORM_POLL_INTERVAL_MS: u64 = 1_000;

impl SimulatedNetwork {
    /// Reads the list for every instance that needs it, and the store for the watchers.
    pub(super) fn poll_platform(&mut self) {
        self.schedule(self.now + PLATFORM_POLL_INTERVAL_MS, Event::Poll);
        // The process of an instance whose member has ended exits.
        for node in &mut self.nodes {
            node.is_up &= node.member.next_wake().is_some();
        }
        self.record_list();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let is_cut = self.faults.cut_from_platform.contains(&node.peer.zone);
            if !node.is_up || node.frozen_until > self.now || is_cut {
                continue;
            }
            if self.faults.is_list_up && node.member.needs_list() {
                let list = self.lagging_list();
                self.call_member(index, |member, now, out| {
                    member.update_platform_list(now, list, out)
                });
            }
            self.read_store(index);
        }
    }

    fn read_store(&mut self, index: usize) {
        let node = &self.nodes[index];
        let is_cut = self.faults.cut_from_platform.contains(&node.peer.zone);
        if !self.faults.is_store_up || !node.is_watching || is_cut || !node.is_up {
            return;
        }
        if node.frozen_until > self.now {
            return;
        }
        let last = self
            .submitted_notes
            .saturating_sub(self.faults.omitted_notes) as u64;
        let base = last - last % 10;
        let notes = (base + 1..=last).map(|number| (ConfigNumber(number), vec![7; 500]));
        let notes = notes.collect();
        let base = (base > 0).then(|| (ConfigNumber(base), vec![0; base as usize]));
        self.call_member(index, |member, now, out| {
            member.apply_stored_notes(now, notes, base, out)
        });
    }

    /// Adds notes to the store and lets the watchers read them at once, as their blocking reads
    /// would.
    pub(crate) fn submit_notes(&mut self, notes: usize) {
        self.submitted_notes += notes;
        for index in 0..self.nodes.len() {
            self.read_store(index);
        }
    }

    fn record_list(&mut self) {
        let mut list = BTreeMap::new();
        for node in &self.nodes {
            let reaches_platform = !self.faults.cut_from_platform.contains(&node.peer.zone);
            let is_passing = node.is_up && reaches_platform && node.frozen_until <= self.now;
            let state = if is_passing {
                ListedState::Passing
            } else {
                ListedState::Critical
            };
            let zone = node.peer.zone.clone();
            let address = node.peer.address;
            let listed = ListedInstance {
                address,
                zone,
                state,
            };
            list.insert(address, listed);
        }
        self.list_history
            .push((self.now, list.into_values().collect()));
    }

    fn lagging_list(&self) -> Vec<ListedInstance> {
        let visible_at = self.now.saturating_sub(self.faults.list_lag_ms);
        let visible = self
            .list_history
            .iter()
            .rev()
            .find(|(time, _)| *time <= visible_at);
        visible.map_or_else(Vec::new, |(_, list)| list.clone())
    }
}
