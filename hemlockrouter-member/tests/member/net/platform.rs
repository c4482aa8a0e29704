//! Simulation of the platform's list and store.

use std::collections::BTreeMap;

use hemlockrouter_member::ListState;
use hemlockrouter_member::Listed;
use hemlockrouter_types::prelude::*;

use super::Event;
use super::Net;

/// Interval at which the instances read the list and the store, in milliseconds.
const POLL_MS: u64 = 1_000;

impl Net {
    /// Reads the list for every instance that needs it, and the store for the watchers.
    pub(super) fn poll(&mut self) {
        self.at(self.now + POLL_MS, Event::Poll);
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
                self.drive(index, |member, now, out| member.listed(now, list, out));
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
        let last = self.notes.saturating_sub(self.faults.stale_notes) as u64;
        let base = last - last % 10;
        let notes = (base + 1..=last).map(|number| (ConfigNumber(number), vec![7; 500]));
        let notes = notes.collect();
        let base = (base > 0).then(|| (ConfigNumber(base), vec![0; base as usize]));
        self.drive(index, |member, now, out| {
            member.stored(now, notes, base, out)
        });
    }

    /// Adds notes to the store and lets the watchers read them at once, as their blocking reads
    /// would.
    pub(crate) fn submit(&mut self, notes: usize) {
        self.notes += notes;
        for index in 0..self.nodes.len() {
            self.read_store(index);
        }
    }

    fn record_list(&mut self) {
        let mut list = BTreeMap::new();
        for node in &self.nodes {
            let reaches = !self.faults.cut_from_platform.contains(&node.peer.zone);
            let is_passing = node.is_up && reaches && node.frozen_until <= self.now;
            let state = if is_passing {
                ListState::Passing
            } else {
                ListState::Critical
            };
            let zone = node.peer.zone.clone();
            let address = node.peer.address;
            let listed = Listed {
                address,
                zone,
                state,
            };
            list.insert(address, listed);
        }
        self.lists.push((self.now, list.into_values().collect()));
    }

    fn lagging_list(&self) -> Vec<Listed> {
        let seen_at = self.now.saturating_sub(self.faults.list_lag_ms);
        let seen = self.lists.iter().rev().find(|(time, _)| *time <= seen_at);
        seen.map_or_else(Vec::new, |(_, list)| list.clone())
    }
}
