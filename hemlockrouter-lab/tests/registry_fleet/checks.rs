//! The invariants of a simulated fleet.

use hemlockrouter_member::RegistryCall;

use crate::fleet::Fleet;
use crate::node::Node;

/// Maximum sum of all instances' shares of the bound. The sum may be 2, since instances hand out
/// only half of the bound.
const MAX_SHARE_SUM: f64 = 2.0;

/// Maximum number of instances through which registry data may be relayed.
const MAX_RELAY_STEPS: usize = 4;

/// Maximum number of instances described in the message of a failed check.
const MAX_DESCRIBED_INSTANCES: usize = 20;

/// Time without a fault at an instance and at the registry after which the age bound must hold
/// there, in milliseconds.
const MIN_FAULT_FREE_MS: u64 = 5_000;

impl Fleet {
    /// Checks the sum of the shares that all instances may hand out within a window, including
    /// instances that were killed in it.
    pub(crate) fn check_share_sum(&mut self) {
        let now = self.now;
        let mut sum = 0.0;
        for node in &mut self.nodes {
            if node.is_running(now) {
                node.record_share(now);
            }
            sum += node.spent_share_sum(now);
        }
        assert!(sum <= MAX_SHARE_SUM + 1e-9, "{now}: {sum} parts");
    }

    /// Checks that no instance's view of the registry is older than the bound, as long as the registry
    /// answers at least one instance.
    pub(crate) fn check_view_ages(&mut self) {
        let now = self.now;
        let registry_answers_any = (0..self.nodes.len())
            .any(|index| self.nodes[index].is_running(now) && self.reaches_registry(index));
        if !registry_answers_any {
            self.last_fault_at = now;
        }
        for node in &self.nodes {
            let name = &node.entry.name;
            assert!(
                node.path.len() <= MAX_RELAY_STEPS,
                "{name}: {:?}",
                node.path
            );
        }
        if now.ms_since(self.last_fault_at) < MIN_FAULT_FREE_MS {
            return;
        }
        for node in self.running() {
            if now.ms_since(node.last_fault_at) < MIN_FAULT_FREE_MS {
                continue;
            }
            let (_, registry_seen_at) = node.view.expect("it has read");
            let age_ms = now.ms_since(registry_seen_at);
            let name = &node.entry.name;
            assert!(
                age_ms <= self.shape.bound_ms,
                "{now}: {name}: {age_ms} ms\n{}",
                self.describe_instances()
            );
        }
    }

    /// Describes the view, the pending calls and the faults of each instance.
    pub(crate) fn describe_instances(&self) -> String {
        let mut describe_instances = String::new();
        for (index, node) in self.nodes.iter().enumerate().take(MAX_DESCRIBED_INSTANCES) {
            let calls: Vec<RegistryCall> = node.calls.iter().map(|pending| pending.call).collect();
            let known = node
                .view
                .map(|(_, registry_seen_at)| self.now.ms_since(registry_seen_at));
            let refusal = self.refusal(index);
            let name = &node.entry.name;
            let path = node.path.join(" ");
            let reads = self.registry_access(index).reads_registry;
            let line = format!(
                "{name} {known:?} ms [{path}] reads {reads} refused {refusal:?} {calls:?}\n"
            );
            describe_instances.push_str(&line);
        }
        describe_instances
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_running(self.now))
    }

    pub(crate) fn check_views_are_fresh(&self, age_max_ms: u64) {
        for node in self.running() {
            let (_, registry_seen_at) = node.view.expect("it has read");
            let age_ms = self.now.ms_since(registry_seen_at);
            assert!(age_ms <= age_max_ms, "{}: {age_ms} ms", node.entry.name);
        }
    }

    pub(crate) fn check_list(&self) {
        let listed: Vec<&String> = self.registry.list.keys().collect();
        let mut running: Vec<&String> = self.running().map(|node| &node.entry.name).collect();
        running.sort();
        assert_eq!(listed, running);
    }
}
