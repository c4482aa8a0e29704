//! Settings files that change during the soak test, with and without a signal.

use rand::rngs::StdRng;
use rand::RngExt;
use serde_json::json;
use serde_json::Value;

use super::DAEMON_COUNT;
use crate::deployment::Deployment;

/// The share of steps at which the settings file of an instance changes.
const CHANGE_PROBABILITY: f64 = 0.3;

/// The bounds that change, each with its default in the unit of its name. The bounds on repeats, which the soak
/// checks, stay the same.
const BOUNDS: [(&str, f64); 5] = [
    ("in_force_ms", 3_000.0),
    ("evacuate_ms", 5_000.0),
    ("drain_ms", 3_000.0),
    ("catch_up_ms", 5_000.0),
    ("shutdown_s", 3.0),
];

/// Changes of settings files.
pub(super) struct SettingsChanges {
    pub(super) rng: StdRng,
}

impl SettingsChanges {
    /// At random, writes another figure into the settings file of an instance: one near the default,
    /// in any notation, or one that can't be used. Later starts of the instance find it too.
    pub(super) fn step(&mut self, deployment: &mut Deployment) {
        if !self.rng.random_bool(CHANGE_PROBABILITY) {
            return;
        }
        let (name, default) = BOUNDS[self.rng.random_range(0..BOUNDS.len())];
        let value = self.figure(default);
        let dir = deployment.dir.clone();
        let daemon = &mut deployment.daemons[self.rng.random_range(0..DAEMON_COUNT)];
        daemon.set_bound(name, value);
        daemon.write_settings(&dir);
        if self.rng.random_bool(0.3) {
            daemon.signal("HUP");
        }
    }

    fn figure(&mut self, default: f64) -> Value {
        match self.rng.random_range(0..6) {
            0 => json!(false),
            1 => Value::Null,
            2 => json!("soon"),
            3 => json!(-default),
            4 => json!(default),
            _ => json!(default * self.rng.random_range(0.9..1.1)),
        }
    }
}
