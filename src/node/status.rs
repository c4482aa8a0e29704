//! Status of an instance for operators, and the part of the status that other threads read.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_member::Member;
use hemlockrouter_types::prelude::*;
use serde::Serialize;

use crate::edge::tiny::HttpAnswer;

/// Maximum time for which a starting instance waits to join. After this time it reports that it is
/// ready without having joined.
const JOIN_WAIT_MAX: Duration = Duration::from_secs(30);

/// Status that the threads of the ports read without asking the node.
#[derive(Debug)]
pub(crate) struct SharedStatus {
    started_at: Instant,
    config: AtomicU64,
    leaving: AtomicBool,
    needs_list: AtomicBool,
    joined: AtomicBool,
    store_up: AtomicBool,
    callers_closed: AtomicBool,
    handed_over: AtomicBool,
    entry_pending: AtomicUsize,
    owner_pending: AtomicUsize,
}

impl SharedStatus {
    /// Creates the status of an instance that starts now.
    pub(crate) fn new() -> SharedStatus {
        SharedStatus {
            started_at: Instant::now(),
            config: AtomicU64::default(),
            leaving: AtomicBool::default(),
            needs_list: AtomicBool::default(),
            joined: AtomicBool::default(),
            store_up: AtomicBool::default(),
            callers_closed: AtomicBool::default(),
            handed_over: AtomicBool::default(),
            entry_pending: AtomicUsize::default(),
            owner_pending: AtomicUsize::default(),
        }
    }

    /// Records that the instance counts in the quorums of its availability zone.
    pub(crate) fn set_joined(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// Records the number of the configuration in force.
    pub(crate) fn set_config(&self, number: ConfigNumber) {
        self.config.store(number.0, Ordering::Relaxed);
    }

    /// Returns the number of the configuration in force.
    pub(crate) fn config(&self) -> ConfigNumber {
        ConfigNumber(self.config.load(Ordering::Relaxed))
    }

    /// Records that the instance is shutting down.
    pub(crate) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the instance is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Records whether the member needs the platform's instance list now.
    pub(crate) fn set_needs_list(&self, needs_list: bool) {
        self.needs_list.store(needs_list, Ordering::Relaxed);
    }

    /// Returns whether the member needs the platform's instance list now.
    pub(crate) fn needs_list(&self) -> bool {
        self.needs_list.load(Ordering::Relaxed)
    }

    /// Records that the callers' port is closed.
    pub(crate) fn set_callers_closed(&self) {
        self.callers_closed.store(true, Ordering::Relaxed);
    }

    /// Returns whether the callers' port is closed.
    pub(crate) fn callers_closed(&self) -> bool {
        self.callers_closed.load(Ordering::Relaxed)
    }

    /// Records whether all owned upstreams were handed over.
    pub(crate) fn set_handed_over(&self, handed_over: bool) {
        self.handed_over.store(handed_over, Ordering::Relaxed);
    }

    /// Records the number of requests that have not been answered.
    pub(crate) fn set_entry_pending(&self, pending: usize) {
        self.entry_pending.store(pending, Ordering::Relaxed);
    }

    /// Records the number of sub-requests that have not ended.
    pub(crate) fn set_owner_pending(&self, pending: usize) {
        self.owner_pending.store(pending, Ordering::Relaxed);
    }

    /// Returns whether all work has ended and all owned upstreams were handed over.
    pub(crate) fn is_idle(&self) -> bool {
        self.handed_over.load(Ordering::Relaxed)
            && self.entry_pending.load(Ordering::Relaxed) == 0
            && self.owner_pending.load(Ordering::Relaxed) == 0
    }

    /// Records whether the store answered the last call.
    pub(crate) fn set_store_up(&self, up: bool) {
        self.store_up.store(up, Ordering::Relaxed);
    }

    /// Returns whether the store answered the last call.
    pub(crate) fn store_up(&self) -> bool {
        self.store_up.load(Ordering::Relaxed)
    }

    /// Returns the reason if the instance should receive no new requests.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        if self.leaving.load(Ordering::Relaxed) {
            return Some("leaving: the instance is shutting down");
        }
        if self.config() == ConfigNumber::default() {
            return Some("no configuration: neither the store nor a peer has answered yet");
        }
        // If a joining instance reported that it is ready, a rolling restart could continue and
        // leave an availability zone without owners. An instance that can't join reports ready
        // after a timeout all the same, and serves through owners in other zones.
        let is_joining = !self.joined.load(Ordering::Relaxed);
        if is_joining && self.started_at.elapsed() < JOIN_WAIT_MAX {
            return Some("joining: the instances of the zone do not count on this one yet");
        }
        None
    }
}

/// Status of an instance, as shown to operators.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    instance: String,
    zone: String,
    config: ConfigNumber,
    ready: bool,
    store: &'static str,
    instances: Vec<InstanceRow>,
    pub(crate) upstreams: Vec<UpstreamRow>,
}

#[derive(Debug, Serialize)]
struct InstanceRow {
    instance: String,
    zone: String,
    address: String,
    condition: String,
    /// Whether the instance counts in the quorums of its availability zone.
    established: bool,
    config: Option<ConfigNumber>,
    heard_ms_ago: Option<u64>,
}

/// Entry of one upstream in a [`Status`].
#[derive(Debug, Serialize)]
pub(crate) struct UpstreamRow {
    #[serde(skip)]
    pub(crate) key: UpstreamKey,
    name: String,
    zone: String,
    owner: Option<String>,
    pub(crate) owned_here: bool,
    #[serde(flatten)]
    pub(crate) limits: Option<UpstreamLimits>,
}

/// Limits of an upstream that this instance owns.
#[derive(Debug, Serialize)]
pub(crate) struct UpstreamLimits {
    limit: u32,
    in_flight: u32,
    queued: u32,
    cold: bool,
    leaving: bool,
}

impl From<hemlockrouter_limit::LimiterStatus> for UpstreamLimits {
    fn from(status: hemlockrouter_limit::LimiterStatus) -> UpstreamLimits {
        UpstreamLimits {
            limit: status.limit,
            in_flight: status.in_flight,
            queued: status.queued,
            cold: status.cold,
            leaving: status.leaving,
        }
    }
}

impl Status {
    /// Builds the status from the member and the catalogue.
    pub(crate) fn new(
        own_id: InstanceId,
        zone: &str,
        member: &Member,
        catalog: &Catalog,
        shared: &SharedStatus,
        now: Time,
    ) -> Status {
        let instances = member.peer_statuses().map(|row| InstanceRow {
            instance: row.peer.id.to_string(),
            zone: row.peer.zone.clone(),
            address: row.peer.address.to_string(),
            condition: format!("{:?}", row.condition).to_lowercase(),
            established: row.established,
            config: row.config,
            heard_ms_ago: row.heard_ms_ago,
        });
        let upstreams = catalog.upstreams.iter().map(|(key, upstream)| UpstreamRow {
            key,
            name: upstream.name.clone(),
            zone: catalog
                .zones
                .get(upstream.zone)
                .map(|z| z.name.clone())
                .unwrap_or_default(),
            owner: member.owner_of(key).map(|owner| owner.to_string()),
            owned_here: member.lease_until(key).is_some_and(|until| until > now),
            limits: None,
        });
        Status {
            instance: own_id.to_string(),
            zone: zone.to_owned(),
            config: catalog.number,
            ready: shared.not_ready_reason().is_none(),
            store: if shared.store_up() { "up" } else { "down" },
            instances: instances.collect(),
            upstreams: upstreams.collect(),
        }
    }

    /// Encodes the status as a JSON answer.
    pub(crate) fn answer(&self) -> HttpAnswer {
        let body = serde_json::to_value(self).expect("a status can be represented in JSON");
        HttpAnswer::json(200, &body)
    }
}
