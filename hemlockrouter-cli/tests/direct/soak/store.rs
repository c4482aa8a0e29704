//! What happens to the store during the soak test, besides its faults: restores, other writers, late
//! writes, stale pages and series of large configurations; and upstreams that repeat responses.

use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::StoreCopy;
use rand::rngs::StdRng;
use rand::RngExt;
use serde_json::json;

use super::fault::Fault;
use crate::deployment::Deployment;
use crate::deployment::ZONES;
use crate::memory::add_searches;
use crate::repeating_proxy::RepeatingProxy;

/// The share of steps at which the store is copied, if no copy exists.
const COPY_PROBABILITY: f64 = 0.2;

/// The share of steps at which the store is restored, if a copy exists.
const RESTORE_PROBABILITY: f64 = 0.4;

/// The number of entries of another writer, with which the store's content takes several pages.
const OTHER_ENTRIES: usize = 60;

/// Parts of the other writer's keys: plain text, and characters that have a meaning in a request.
const OTHER_KEYS: [&str; 5] = ["plain", "a b", "a?b&after=c", "a#b%20", "a\"\u{fc}"];

/// The share of steps at which stale reads begin to return the current content, except for their
/// first page, which is always current.
const STALE_PAGES_PROBABILITY: f64 = 0.3;

/// The share of steps at which another writer leaves an incomplete entry.
const INCOMPLETE_ENTRY_PROBABILITY: f64 = 0.3;

/// The share of steps at which an earlier write of an upstream that drains or has left is executed.
const LATE_WRITE_PROBABILITY: f64 = 0.3;

/// The time until the upstream whose key has the incomplete entry writes its own entry again.
const UNTIL_NEXT_WRITE: Duration = Duration::from_millis(100);

/// The fields that an incomplete entry may lack: those that a decoder could do without.
const OPTIONAL_LOOKING_FIELDS: [&str; 4] = ["version", "warmupLeftMs", "sequence", "born"];

/// The share of steps at which a series of versions of a large configuration is written, the number
/// of versions, and the pause between them.
const LARGE_VERSIONS_PROBABILITY: f64 = 0.15;
const LARGE_VERSIONS_COUNT: usize = 5;
const LARGE_VERSIONS_PAUSE: Duration = Duration::from_millis(60);

/// The share of responses that some upstreams send twice.
const REPEATED_RESPONSE_SHARE: f64 = 0.05;

/// The state of the copies from which the store is restored.
pub(super) struct StoreRestores {
    pub(super) rng: StdRng,
    pub(super) copy: Option<StoreCopy>,
}

impl StoreRestores {
    /// At random, copies the store if no copy exists, or restores the store from the copy.
    pub(super) fn step(&mut self, deployment: &mut Deployment, active_faults: &[(Instant, Fault)]) {
        if self.copy.is_none() {
            let copies = self.rng.random_bool(COPY_PROBABILITY);
            self.copy = copies.then(|| deployment.store.copy());
        } else if self.rng.random_bool(RESTORE_PROBABILITY) {
            let copy = self.copy.take().expect("there is one");
            deployment.store.restore(&copy);
            repeat_writes(deployment, active_faults);
        }
    }
}

/// Another client of the store, whose entries fill pages, and the age of the pages.
pub(super) struct OtherWriter {
    pub(super) rng: StdRng,
}

impl OtherWriter {
    /// Writes the entries.
    pub(super) fn fill_pages(&mut self, deployment: &Deployment) {
        for number in 0..OTHER_ENTRIES {
            let prefix = ["servers", "zz"][number % 2];
            let text = OTHER_KEYS[self.rng.random_range(0..OTHER_KEYS.len())];
            let key = format!("{prefix}/{text}{number:02}");
            deployment.store.put(&key, b"filler");
        }
    }

    /// At random, lets the pages of stale reads differ in age from now on.
    pub(super) fn step(&mut self, deployment: &Deployment) {
        if self.rng.random_bool(STALE_PAGES_PROBABILITY) {
            deployment.store.freeze_stale_pages();
        }
    }
}

/// Registers the upstreams of one availability zone behind proxies that repeat responses. An
/// upstream that registers again after a fault does so without its proxy.
pub(super) fn start_repeating_proxies(deployment: &Deployment) -> Vec<RepeatingProxy> {
    let upstreams = deployment.upstreams.iter().step_by(ZONES.len());
    upstreams
        .map(|upstream| {
            let address = upstream.address();
            let proxy = RepeatingProxy::start_with_share(address, 1, REPEATED_RESPONSE_SHARE);
            upstream.register_with_proxy_address(&deployment.store, proxy.address());
            proxy
        })
        .collect()
}

/// Another writer that leaves incomplete entries under the keys of upstreams.
pub(super) struct IncompleteEntries {
    pub(super) rng: StdRng,
}

impl IncompleteEntries {
    /// At random, lets an entry that lacks a field name an upstream for another service, until the
    /// upstream writes its own entry again.
    pub(super) fn step(&mut self, deployment: &Deployment, active_faults: &[(Instant, Fault)]) {
        if !self.rng.random_bool(INCOMPLETE_ENTRY_PROBABILITY) {
            return;
        }
        let index = self.rng.random_range(0..deployment.upstreams.len());
        let upstream = &deployment.upstreams[index];
        let service = match upstream.service() {
            "ledger" => "shard-0",
            _ => "ledger",
        };
        let mut entry = json!({
            "service": service, "address": upstream.address(), "zone": ZONES[0], "version": "v1",
            "capacity": 2, "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": 1,
        });
        let field =
            OPTIONAL_LOOKING_FIELDS[self.rng.random_range(0..OPTIONAL_LOOKING_FIELDS.len())];
        let fields = entry.as_object_mut().expect("it is an object");
        fields.remove(field);
        let key = format!("servers/{}", upstream.id());
        deployment.store.put(&key, entry.to_string().as_bytes());
        std::thread::sleep(UNTIL_NEXT_WRITE);
        let has_left = active_faults
            .iter()
            .any(|(_, fault)| matches!(fault, Fault::Replace(other) if *other == index));
        let is_draining = active_faults
            .iter()
            .any(|(_, fault)| matches!(fault, Fault::Drain(other) if *other == index));
        match has_left {
            true => upstream.unregister(&deployment.store),
            false => upstream.register(&deployment.store, is_draining),
        }
    }
}

/// Writes of upstreams that the store executes late.
pub(super) struct LateWrites {
    pub(super) rng: StdRng,
    /// Random numbers for heartbeats, which came later than the other kinds of writes.
    pub(super) heartbeat_rng: StdRng,
}

impl LateWrites {
    /// At random, lets the store execute an earlier write of an upstream that drains or has left.
    pub(super) fn step(&mut self, deployment: &Deployment, active_faults: &[(Instant, Fault)]) {
        for (_, fault) in active_faults {
            if let Fault::Drain(index) | Fault::Replace(index) = fault {
                let upstream = &deployment.upstreams[*index];
                if self.rng.random_bool(LATE_WRITE_PROBABILITY) {
                    upstream.register_late(&deployment.store);
                }
                let has_left = matches!(fault, Fault::Replace(_));
                if has_left && self.heartbeat_rng.random_bool(LATE_WRITE_PROBABILITY) {
                    upstream.heartbeat_late(&deployment.store);
                }
            }
        }
    }
}

/// Series of versions of a large configuration.
pub(super) struct LargeVersions {
    pub(super) rng: StdRng,
}

impl LargeVersions {
    /// At random, writes a series of versions in quick succession.
    pub(super) fn step(&mut self, deployment: &mut Deployment) {
        if !self.rng.random_bool(LARGE_VERSIONS_PROBABILITY) {
            return;
        }
        for _ in 0..LARGE_VERSIONS_COUNT {
            deployment.write_config(add_searches);
            std::thread::sleep(LARGE_VERSIONS_PAUSE);
        }
    }
}

/// Repeats the writes of operators and upstreams that the restored store lacks.
fn repeat_writes(deployment: &mut Deployment, active_faults: &[(Instant, Fault)]) {
    for upstream in &deployment.upstreams {
        upstream.register(&deployment.store, false);
    }
    for zone in ZONES {
        deployment.store.evacuate(zone, false);
    }
    deployment.write_config(|_| {});
    for (_, fault) in active_faults {
        if matches!(
            fault,
            Fault::Replace(_) | Fault::Drain(_) | Fault::Evacuate(_)
        ) {
            fault.inject(deployment);
        }
    }
}
