//! Tracks the registered upstreams, and chooses among them.
//!
//! The state that an upstream announces decides whether it may be used at all; the statistics of
//! its answers to this instance decide whether it is preferred (see `choose`).

mod allowance;
mod choose;
mod notices;
mod status;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::ServiceEntry;
use hemlockrouter_types::routing::UpstreamEntry;

use super::budget::RepeatBudget;
use super::cold::ColdSends;
use super::groups::ShardGroup;
use super::instances::Instances;
use super::notices::AnnouncedState;
use super::notices::RememberedNotices;
use super::record::UpstreamStats;
use super::Config;
use allowance::OwnedGroupsCache;

pub(super) use choose::CandidateFilter;
pub(super) use choose::Choice;
pub(super) use choose::Criteria;
pub(super) use choose::Reachability;

/// The fraction of the drain time after which an upstream that is shutting down receives no new
/// requests. The rest of the time is left for requests that are already in transit.
const DRAIN_CUTOFF_FRACTION: f64 = 0.9;

/// The effect of registering an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationChange {
    /// The upstream was not known before.
    New,
    /// The upstream has restarted, or its address or service has changed.
    Restarted,
    /// The upstream's state has changed.
    Changed,
    /// Nothing relevant to routing has changed.
    Same,
}

/// A registered upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The registration of the upstream.
    pub entry: UpstreamEntry,
    service: ServiceKey,
    region: Option<String>,
    /// When the upstream was first known to be shutting down or to be missing from the registry.
    leaving_since: Option<Time>,
    registration_ended: bool,
    /// The notices that the upstream has sent along with its answers.
    announced: AnnouncedState,
    cold_until: Time,
    pub(super) cold_sends: ColdSends,
    pub(super) stats: UpstreamStats,
}

/// A service and its upstreams.
#[derive(Debug, Default)]
pub(super) struct Service {
    pub(super) name: String,
    pub(super) connections_max: u32,
    pub(super) cold_per_s: Option<f64>,
    pub(super) upstreams: Vec<UpstreamKey>,
    pub(super) repeat_budget: RepeatBudget,
    /// The number of parts of requests that wait for capacity at an upstream.
    pub(super) waiting_parts: usize,
    /// The service's group of shards, if the service is a shard of searches that are divided among
    /// instances.
    group: Option<ShardGroup>,
}

impl Service {
    /// Returns how long an additional part would wait at a throughput of `throughput_per_ms`
    /// requests per millisecond, in milliseconds.
    fn queue_wait_ms(&self, throughput_per_ms: f64) -> f64 {
        (self.waiting_parts + 1) as f64 / throughput_per_ms
    }
}

/// All registered upstreams, and what is known about their services.
#[derive(Debug)]
pub struct Upstreams {
    config: Config,
    region: Option<String>,
    upstreams: Arena<UpstreamKey, Upstream>,
    by_id: HashMap<String, UpstreamKey>,
    services: Arena<ServiceKey, Service>,
    by_name: HashMap<String, ServiceKey>,
    evacuated: BTreeSet<String>,
    /// The time between the last contact with the registry and the changes that are being applied,
    /// in milliseconds.
    registry_silence_ms: u64,
    remembered_notices: RememberedNotices,
    instances: Instances,
    owned_groups: OwnedGroupsCache,
    /// When the registry was first read completely, if the instance was already listed then. A
    /// listed instance has restarted.
    restarted_at: Option<Time>,
    rotation: u32,
}

impl Upstreams {
    /// Creates an empty set of upstreams.
    pub fn new(config: Config) -> Upstreams {
        Upstreams {
            region: config.zones.get(&config.zone).cloned(),
            instances: Instances::default(),
            config,
            upstreams: Arena::new(),
            by_id: HashMap::new(),
            services: Arena::new(),
            by_name: HashMap::new(),
            evacuated: BTreeSet::new(),
            registry_silence_ms: 0,
            remembered_notices: RememberedNotices::default(),
            owned_groups: OwnedGroupsCache::default(),
            restarted_at: None,
            rotation: 0,
        }
    }

    pub(super) fn reconfigure(&mut self, config: Config) {
        self.config = config;
    }

    /// Returns the key of a service. The key stays valid as long as the process runs.
    pub fn service_key(&mut self, name: &str) -> ServiceKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = self.services.insert(Service {
            name: String::from(name),
            ..Service::default()
        });
        self.by_name.insert(String::from(name), key);
        key
    }

    /// Updates the limits of a service from its description in the route document.
    pub fn update_service_limits(&mut self, entry: &ServiceEntry) {
        let key = self.service_key(&entry.name);
        let service = self.service_mut(key);
        service.connections_max = entry.connections_max;
        service.cold_per_s = entry.cold_per_s;
    }

    /// Records that the following changes arrive `ms` milliseconds after the last contact with the
    /// registry. The changes may be up to that old.
    pub fn set_registry_silence_ms(&mut self, ms: u64) {
        self.registry_silence_ms = ms;
    }

    /// Adds or updates an upstream from its registration.
    pub fn register(&mut self, now: Time, entry: UpstreamEntry) -> RegistrationChange {
        let Some(&key) = self.by_id.get(&entry.id) else {
            self.insert(now, entry);
            return RegistrationChange::New;
        };
        let registered = self.expect_upstream(key);
        let is_same_start = registered.entry.incarnation == entry.incarnation
            && registered.entry.address == entry.address
            && registered.entry.service == entry.service;
        if !is_same_start {
            self.remove(now, key);
            self.insert(now, entry);
            return RegistrationChange::Restarted;
        }
        let leaving_start = self.leaving_start(now);
        let upstream = self
            .upstreams
            .get_mut(key)
            .expect("the key is in the index");
        let changed = upstream.registration_ended || upstream.entry.draining != entry.draining;
        upstream.registration_ended = false;
        upstream.leaving_since = match (entry.draining, upstream.leaving_since) {
            (false, _) => None,
            (true, since) => since.or(Some(leaving_start)),
        };
        upstream.cold_until = now + entry.cold_ms;
        upstream.entry = entry;
        if changed {
            RegistrationChange::Changed
        } else {
            RegistrationChange::Same
        }
    }

    /// Marks the registration of an upstream as ended. The upstream may be used a little longer,
    /// since registrations also lapse while the registry is down.
    pub fn unregister(&mut self, now: Time, id: &str) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        let leaving_start = match self.registry_silence_ms > self.config.drain_ms {
            // Registrations lapse during an outage of the registry, and return afterwards.
            true => now,
            false => self.leaving_start(now),
        };
        let upstream = self
            .upstreams
            .get_mut(key)
            .expect("the key is in the index");
        upstream.registration_ended = true;
        upstream.leaving_since = upstream.leaving_since.or(Some(leaving_start));
    }

    /// Returns the time from which an upstream that is now known to be shutting down counts as
    /// leaving. If the announcement may be old, the time lies in the past, so that the upstream
    /// still stops receiving requests within its drain time.
    fn leaving_start(&self, now: Time) -> Time {
        let cutoff_ms = (self.config.drain_ms as f64 * DRAIN_CUTOFF_FRACTION) as u64;
        let excess_ms =
            (self.registry_silence_ms + self.config.linger_ms).saturating_sub(cutoff_ms);
        now.minus_ms(excess_ms)
    }

    /// Marks the registrations of all upstreams except `ids` as ended.
    pub fn retain_registered(&mut self, now: Time, ids: &BTreeSet<String>) {
        let removed: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !ids.contains(*id))
            .cloned()
            .collect();
        for id in removed {
            self.unregister(now, &id);
        }
    }

    /// Removes the upstreams whose registration ended long enough ago, and returns their ids.
    pub fn remove_expired(&mut self, now: Time) -> Vec<String> {
        let linger_ms = self.config.linger_ms;
        let expired = self.upstreams.iter().filter(|(_, upstream)| {
            let since = upstream.leaving_since;
            upstream.registration_ended
                && since.is_some_and(|since| now.ms_since(since) > linger_ms)
        });
        let expired: Vec<UpstreamKey> = expired.map(|(key, _)| key).collect();
        expired
            .into_iter()
            .filter_map(|key| self.remove(now, key).map(|removed| removed.entry.id))
            .collect()
    }

    /// Takes an availability zone out of service or back into service.
    pub fn evacuate(&mut self, zone: &str, out_of_service: bool) {
        if out_of_service {
            self.evacuated.insert(String::from(zone));
        } else {
            self.evacuated.remove(zone);
        }
    }

    /// Takes all evacuated availability zones back into service.
    pub fn restore_all_zones(&mut self) {
        self.evacuated.clear();
    }

    /// Returns the instances among which the bounds are divided.
    pub fn instances(&self) -> &Instances {
        &self.instances
    }

    /// Returns the instances for updates from the registry.
    pub fn instances_mut(&mut self) -> &mut Instances {
        &mut self.instances
    }

    /// Records that the registry was read completely for the first time.
    pub fn record_first_read(&mut self, now: Time) {
        let was_listed = self.instances.registrar_of(&self.config.name).is_some();
        self.restarted_at = was_listed.then_some(now);
        self.instances.record_first_read(&self.config.name);
    }

    /// Returns the maximum number of connections that this instance may hold to one upstream.
    pub fn connections_max(&self, key: UpstreamKey) -> usize {
        let Some(upstream) = self.upstreams.get(key) else {
            return 1;
        };
        let service = self.services.get(upstream.service);
        let all = service.map_or(1, |service| service.connections_max);
        (all / self.instances.count()).max(1) as usize
    }

    /// Returns the number of registered upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether no upstream is registered.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns an upstream by its key.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the availability zone of the own region in which a service is called: the own zone
    /// if the service has an upstream there, otherwise another zone; `None` if the region has no
    /// upstream of the service.
    pub(super) fn zone_in_own_region(&self, now: Time, service: ServiceKey) -> Option<&str> {
        let in_own_region = self.usable_upstreams(now, service);
        let in_own_region = in_own_region.filter(|upstream| upstream.region == self.region);
        let zones = in_own_region.map(|upstream| upstream.entry.zone.as_str());
        zones.min_by_key(|zone| (*zone != self.config.zone, *zone))
    }

    /// Returns the availability zones of the upstreams of a service.
    pub(super) fn zones_of_service(&self, now: Time, service: ServiceKey) -> BTreeSet<&str> {
        let zones = self.usable_upstreams(now, service);
        zones.map(|upstream| upstream.entry.zone.as_str()).collect()
    }

    fn usable_upstreams(&self, now: Time, service: ServiceKey) -> impl Iterator<Item = &Upstream> {
        let criteria = Criteria {
            service,
            regions: &[],
            candidate_filter: CandidateFilter::AllBut(&[]),
            other_region_cost_ms: 0.0,
        };
        let service = self.services.get(service);
        let keys = service.into_iter().flat_map(|service| &service.upstreams);
        let upstreams = keys.filter_map(|key| self.get(*key));
        upstreams.filter(move |upstream| self.is_usable(now, upstream, &criteria))
    }

    /// Returns the key of the upstream with a given id.
    pub fn key_by_id(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the name of a service.
    pub fn service_name(&self, key: ServiceKey) -> &str {
        self.services.get(key).map_or("", |service| &service.name)
    }

    pub(super) fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    pub(super) fn service_mut(&mut self, key: ServiceKey) -> &mut Service {
        self.services
            .get_mut(key)
            .expect("services are never removed")
    }

    fn expect_upstream(&self, key: UpstreamKey) -> &Upstream {
        self.upstreams.get(key).expect("the key is in the index")
    }

    fn insert(&mut self, now: Time, entry: UpstreamEntry) {
        let leaving_start = self.leaving_start(now);
        let service = self.service_key(&entry.service);
        let id = entry.id.clone();
        let zones: &BTreeMap<String, String> = &self.config.zones;
        let key = self.upstreams.insert(Upstream {
            service,
            region: zones.get(&entry.zone).cloned(),
            leaving_since: entry.draining.then_some(leaving_start),
            registration_ended: false,
            announced: self
                .remembered_notices
                .announced_state(&id, entry.incarnation),
            cold_until: now + entry.cold_ms,
            cold_sends: ColdSends::default(),
            stats: UpstreamStats::default(),
            entry,
        });
        self.by_id.insert(id, key);
        self.service_mut(service).upstreams.push(key);
    }

    fn remove(&mut self, now: Time, key: UpstreamKey) -> Option<Upstream> {
        let upstream = self.upstreams.remove(key)?;
        self.remembered_notices.remember(
            now,
            &upstream.entry.id,
            upstream.entry.incarnation,
            upstream.announced,
        );
        self.by_id.remove(&upstream.entry.id);
        let service = self.service_mut(upstream.service);
        service.upstreams.retain(|other| *other != key);
        Some(upstream)
    }
}
