//! The invariants of a simulated fleet.

use hemlockrouter_member::Call;

use crate::fleet::Fleet;
use crate::node::Node;

/// Maximum sum of all instances' shares of the bound: instances hand out only half of it.
const PARTS_MAX: f64 = 2.0;

/// Maximum number of instances through which registry data may be relayed.
const STEPS_MAX: usize = 4;

/// Maximum number of instances described in the message of a failed check.
const STORY_MAX: usize = 20;

/// Time without a fault at an instance and at the registry after which the age bound must hold
/// there, in milliseconds.
const CALM_MS: u64 = 5_000;

impl Fleet {
    /// Checks the sum of the shares that all instances may hand out within a window, including
    /// instances that were killed in it.
    pub(crate) fn check_parts(&mut self) {
        let now = self.now;
        let mut sum = 0.0;
        for node in &mut self.nodes {
            if node.runs(now) {
                node.hand_out(now);
            }
            sum += node.spent(now);
        }
        assert!(sum <= PARTS_MAX + 1e-9, "{now}: {sum} parts");
    }

    /// Checks that no instance's view of the registry is older than the bound, as long as the registry
    /// answers at least one instance.
    pub(crate) fn check_ages(&mut self) {
        let now = self.now;
        let answers_any =
            (0..self.nodes.len()).any(|at| self.nodes[at].runs(now) && self.reaches_registry(at));
        if !answers_any {
            self.disturbed_at = now;
        }
        for node in &self.nodes {
            let name = &node.entry.name;
            assert!(node.path.len() <= STEPS_MAX, "{name}: {:?}", node.path);
        }
        if now.since(self.disturbed_at) < CALM_MS {
            return;
        }
        for node in self.running() {
            if now.since(node.disturbed_at) < CALM_MS {
                continue;
            }
            let (_, heard_at) = node.known.expect("it has read");
            let age_ms = now.since(heard_at);
            let name = &node.entry.name;
            assert!(
                age_ms <= self.shape.bound_ms,
                "{now}: {name}: {age_ms} ms\n{}",
                self.story()
            );
        }
    }

    /// Describes the view, the pending calls and the faults of each instance.
    pub(crate) fn story(&self) -> String {
        let mut story = String::new();
        for (at, node) in self.nodes.iter().enumerate().take(STORY_MAX) {
            let calls: Vec<Call> = node.calls.iter().map(|pending| pending.call).collect();
            let known = node.known.map(|(_, heard_at)| self.now.since(heard_at));
            let refusal = self.refusal(at);
            let name = &node.entry.name;
            let path = node.path.join(" ");
            let reads = self.reading(at).reads;
            let line = format!(
                "{name} {known:?} ms [{path}] reads {reads} refused {refusal:?} {calls:?}\n"
            );
            story.push_str(&line);
        }
        story
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.runs(self.now))
    }

    pub(crate) fn check_in_touch(&self, age_max_ms: u64) {
        for node in self.running() {
            let (_, heard_at) = node.known.expect("it has read");
            let age_ms = self.now.since(heard_at);
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
