//! Queries of the simulated network that the tests use.

use std::collections::BTreeSet;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::Peer;
use hemlockrouter_wire::member::PeerCondition;

use super::SimulatedNetwork;

impl SimulatedNetwork {
    /// Prints the tables of all running nodes, to explain a failure.
    pub(crate) fn print_tables(&self) {
        for (index, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.is_up) {
            let Peer { id, address, zone } = &node.peer;
            println!(
                "node {index} {id} {address} {zone} applied {}",
                node.applied_number
            );
            for status in node.member.peer_statuses() {
                println!("    {status:?}");
            }
        }
    }

    /// Returns the node that holds the lease on an upstream.
    pub(crate) fn holder(&self, upstream: UpstreamKey) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let until = node.member.lease_until(upstream);
            node.is_up && until.is_some_and(|until| until > node.clock(self.now))
        })
    }

    pub(crate) fn upstreams(&self) -> Vec<UpstreamKey> {
        self.catalog.upstreams.iter().map(|(key, _)| key).collect()
    }

    /// Runs for `seconds` seconds and returns the number of messages sent in the busiest of them.
    pub(crate) fn messages_in_busiest_second(&mut self, seconds: usize) -> u64 {
        let mut highest = 0;
        for _ in 0..seconds {
            self.reset_counters();
            self.run_for(1_000);
            highest = highest.max(self.nodes.iter().map(|node| node.sent_messages).sum());
        }
        highest
    }

    /// Returns whether every running node has applied the last note.
    pub(crate) fn is_last_note_applied(&self) -> bool {
        let last = self.submitted_notes as u64;
        self.nodes
            .iter()
            .all(|node| !node.is_up || node.applied_number == last)
    }

    /// Returns the number of running nodes in whose tables `id` is dead or missing.
    pub(crate) fn count_nodes_seeing_dead(&self, id: InstanceId) -> usize {
        let running = self.nodes.iter().filter(|node| node.is_up);
        running
            .filter(|node| {
                let condition = node.member.condition(id);
                condition.is_none_or(|condition| condition == PeerCondition::Dead)
            })
            .count()
    }

    /// Returns the number of table entries, over all running nodes, in which another running node
    /// is dead.
    pub(crate) fn count_false_deaths(&self) -> usize {
        let running: BTreeSet<InstanceId> = self
            .nodes
            .iter()
            .filter(|node| node.is_up && node.frozen_until <= self.now)
            .map(|node| node.peer.id)
            .collect();
        self.nodes
            .iter()
            .filter(|node| node.is_up)
            .flat_map(|node| node.member.peer_statuses())
            .filter(|status| status.condition == PeerCondition::Dead)
            .filter(|status| running.contains(&status.peer.id))
            .count()
    }
}
