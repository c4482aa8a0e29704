//! The registered upstreams, and which of them a request goes to.
//!
//! What an upstream says of itself decides whether it may be used at all; how it answered this
//! instance decides whether it is preferred. Each candidate has a cost in milliseconds that is
//! added up from its recent latency, what this instance has in flight there, its recent failures
//! and its distance. Bad records fade with time, so an upstream that was slow is tried again.

mod allowance;
mod notices;
mod status;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::ServiceEntry;
use hemlockrouter_types::routing::UpstreamEntry;

use super::budget::Spending;
use super::cold::ColdSends;
use super::groups::Group;
use super::instances::Instances;
use super::notices::Departed;
use super::notices::Said;
use super::record::Record;
use super::Config;
use allowance::OwnedGroups;

/// The cost of an upstream that has failed always, in milliseconds.
const FAILING_MS: f64 = 300.0;

/// The cost of an upstream that could not be connected to a moment ago, in milliseconds.
const BARRED_MS: f64 = 500.0;

/// The cost of an upstream that is leaving or has lost its registration, in milliseconds.
const LEAVING_MS: f64 = 400.0;

/// The cost of an upstream of another region beside its latency, in milliseconds.
const OTHER_REGION_MS: f64 = 15.0;

/// The cost of an upstream of another availability zone beside its latency, in milliseconds.
const OTHER_ZONE_MS: f64 = 3.0;

/// How much the costs of equal candidates differ by turns, in milliseconds.
const TURN_MS: f64 = 2.0;

/// What the registration of an upstream changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Registered {
    /// It was not known.
    New,
    /// It is another start of a known id, or serves elsewhere.
    Restarted,
    /// Its state changed.
    Changed,
    /// Nothing changed that matters here.
    Same,
}

/// One registered upstream.
#[derive(Debug)]
pub struct Upstream {
    /// What it says of itself.
    pub entry: UpstreamEntry,
    service: ServiceKey,
    region: Option<String>,
    /// Since when it is known to be leaving or to be missing from the registry.
    leaving_since: Option<Time>,
    missing: bool,
    /// What it has said of itself beside its answers.
    said: Said,
    cold_until: Time,
    pub(super) cold_sends: ColdSends,
    pub(super) record: Record,
}

/// One service and its upstreams.
#[derive(Debug, Default)]
pub(super) struct Service {
    pub(super) name: String,
    pub(super) connections_max: u32,
    pub(super) cold_per_s: Option<f64>,
    pub(super) upstreams: Vec<UpstreamKey>,
    pub(super) spending: Spending,
    /// The group of shards that it belongs to, if searches over it are shared.
    group: Option<Group>,
}

/// Who may be chosen for a try.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted<'a> {
    pub(super) service: ServiceKey,
    /// The regions that are allowed; empty for all.
    pub(super) regions: &'a [String],
    /// Which upstreams may be taken.
    pub(super) among: Among<'a>,
}

/// Whether a service can be reached, the best last.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Reach {
    /// There is no upstream that may be used.
    Nobody,
    /// None of those that may be used could be connected to lately.
    Unreachable,
    /// One may be used, and nothing speaks against it.
    Reachable,
}

/// Which upstreams may be taken.
#[derive(Clone, Copy, Debug)]
pub(super) enum Among<'a> {
    /// All but these.
    AllBut(&'a [UpstreamKey]),
    /// None but these.
    Only(&'a [UpstreamKey]),
}

impl Among<'_> {
    fn allows(self, key: UpstreamKey) -> bool {
        match self {
            Among::AllBut(keys) => !keys.contains(&key),
            Among::Only(keys) => keys.contains(&key),
        }
    }
}

/// All registered upstreams.
#[derive(Debug)]
pub struct Upstreams {
    config: Config,
    region: Option<String>,
    upstreams: Arena<UpstreamKey, Upstream>,
    by_id: HashMap<String, UpstreamKey>,
    services: Arena<ServiceKey, Service>,
    by_name: HashMap<String, ServiceKey>,
    evacuated: BTreeSet<String>,
    departed: Departed,
    instances: Instances,
    owned_groups: OwnedGroups,
    /// When the registry was read for the first time, if this instance was on the list before: then it has
    /// started again.
    restarted_at: Option<Time>,
    turn: u32,
}

impl Upstreams {
    /// Makes an empty registry.
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
            departed: Departed::default(),
            owned_groups: OwnedGroups::default(),
            restarted_at: None,
            turn: 0,
        }
    }

    pub(super) fn reconfigure(&mut self, config: Config) {
        self.config = config;
    }

    /// Returns the key of a service, which stays the same as long as the process runs.
    pub fn service(&mut self, name: &str) -> ServiceKey {
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

    /// Takes over what is said of a service.
    pub fn describe(&mut self, entry: &ServiceEntry) {
        let key = self.service(&entry.name);
        let service = self.service_mut(key);
        service.connections_max = entry.connections_max;
        service.cold_per_s = entry.cold_per_s;
    }

    /// Takes over what an upstream says of itself.
    pub fn register(&mut self, now: Time, entry: UpstreamEntry) -> Registered {
        let Some(&key) = self.by_id.get(&entry.id) else {
            self.insert(now, entry);
            return Registered::New;
        };
        let known = self.known(key);
        let same = known.entry.incarnation == entry.incarnation
            && known.entry.address == entry.address
            && known.entry.service == entry.service;
        if !same {
            self.remove(now, key);
            self.insert(now, entry);
            return Registered::Restarted;
        }
        let upstream = self
            .upstreams
            .get_mut(key)
            .expect("the key is in the index");
        let changed = upstream.missing || upstream.entry.draining != entry.draining;
        upstream.missing = false;
        upstream.leaving_since = match (entry.draining, upstream.leaving_since) {
            (false, _) => None,
            (true, since) => since.or(Some(now)),
        };
        upstream.cold_until = now + entry.cold_ms;
        upstream.entry = entry;
        if changed {
            Registered::Changed
        } else {
            Registered::Same
        }
    }

    /// Takes over that the registration of an upstream has ended. It is used for a moment longer,
    /// since registrations also lapse while the registry is out of order.
    pub fn unregister(&mut self, now: Time, id: &str) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        let upstream = self
            .upstreams
            .get_mut(key)
            .expect("the key is in the index");
        upstream.missing = true;
        upstream.leaving_since = upstream.leaving_since.or(Some(now));
    }

    /// Takes over that only the upstreams of `ids` are registered.
    pub fn keep_only(&mut self, now: Time, ids: &BTreeSet<String>) {
        let gone: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !ids.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.unregister(now, &id);
        }
    }

    /// Removes upstreams whose registration ended some time ago.
    pub fn expire(&mut self, now: Time) -> Vec<String> {
        let linger_ms = self.config.linger_ms;
        let over = self.upstreams.iter().filter(|(_, upstream)| {
            let since = upstream.leaving_since;
            upstream.missing && since.is_some_and(|since| now.since(since) > linger_ms)
        });
        let over: Vec<UpstreamKey> = over.map(|(key, _)| key).collect();
        over.into_iter()
            .filter_map(|key| self.remove(now, key).map(|gone| gone.entry.id))
            .collect()
    }

    /// Takes an availability zone out of service, or back in.
    pub fn evacuate(&mut self, zone: &str, out: bool) {
        if out {
            self.evacuated.insert(String::from(zone));
        } else {
            self.evacuated.remove(zone);
        }
    }

    /// Takes all availability zones back into service.
    pub fn restore_zones(&mut self) {
        self.evacuated.clear();
    }

    /// Returns the instances that share the bounds.
    pub fn instances(&self) -> &Instances {
        &self.instances
    }

    /// Returns the instances that share the bounds, to take over what is learned of them.
    pub fn instances_mut(&mut self) -> &mut Instances {
        &mut self.instances
    }

    /// Takes over that the registry was read whole for the first time.
    pub fn first_read(&mut self, now: Time) {
        let was_listed = self.instances.registrar_of(&self.config.name).is_some();
        self.restarted_at = was_listed.then_some(now);
        self.instances.first_read(&self.config.name);
    }

    /// Returns how many connections to one upstream of `service` this instance may hold.
    pub fn connections_max(&self, key: UpstreamKey) -> usize {
        let Some(upstream) = self.upstreams.get(key) else {
            return 1;
        };
        let service = self.services.get(upstream.service);
        let all = service.map_or(1, |service| service.connections_max);
        (all / self.instances.count()).max(1) as usize
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether there is no upstream.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns what is known of an upstream.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the availability zone of the own region in which a service is to be asked: the own one
    /// if an upstream is there, or else another one; `None` if there is none in the region.
    pub(super) fn near_zone(&self, now: Time, wanted: &Wanted<'_>) -> Option<&str> {
        let service = self.services.get(wanted.service)?;
        let upstreams = service.upstreams.iter().filter_map(|key| self.get(*key));
        let usable = upstreams.filter(|one| self.is_usable(now, one, wanted));
        let near = usable.filter(|one| one.region == self.region);
        let zones = near.map(|one| one.entry.zone.as_str());
        zones.min_by_key(|zone| (*zone != self.config.zone, *zone))
    }

    /// Returns the region of an availability zone.
    pub(super) fn region_of(&self, zone: &str) -> Option<&str> {
        self.config.zones.get(zone).map(String::as_str)
    }

    /// Returns the key of the upstream with an id.
    pub fn key(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the name of a service.
    pub fn name(&self, key: ServiceKey) -> &str {
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

    /// Chooses an upstream for a try, and counts it if it is cold.
    pub(super) fn choose(&mut self, now: Time, wanted: &Wanted<'_>) -> Option<UpstreamKey> {
        self.turn = self.turn.wrapping_add(1);
        let service = self.services.get(wanted.service)?;
        let cold_per_s = service.cold_per_s;
        let candidates = service.upstreams.iter().enumerate();
        let allowed = candidates.filter_map(|(at, key)| {
            let upstream = self.upstreams.get(*key)?;
            let usable = wanted.among.allows(*key) && self.is_usable(now, upstream, wanted);
            let usable = usable && self.bears_one_more(now, upstream, cold_per_s);
            usable.then(|| (self.cost_ms(now, at, upstream), *key))
        });
        let (_, key) = allowed.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let upstream = self.upstreams.get_mut(key)?;
        if upstream.cold_until > now {
            upstream.cold_sends.count(now);
        }
        Some(key)
    }

    /// Returns whether an upstream may be used and can be reached.
    pub(super) fn reach(&self, now: Time, wanted: &Wanted<'_>) -> Reach {
        let service = self.services.get(wanted.service);
        let keys = service.into_iter().flat_map(|service| &service.upstreams);
        let upstreams = keys.filter_map(|key| self.upstreams.get(*key));
        let usable = upstreams.filter(|upstream| self.is_usable(now, upstream, wanted));
        let reach = usable.map(|upstream| match upstream.record.is_unreachable(now) {
            true => Reach::Unreachable,
            false => Reach::Reachable,
        });
        reach.max().unwrap_or(Reach::Nobody)
    }

    fn is_usable(&self, now: Time, upstream: &Upstream, wanted: &Wanted<'_>) -> bool {
        let left = upstream
            .leaving_since()
            .is_some_and(|since| now.since(since) > self.config.linger_ms);
        let allowed = wanted.regions.is_empty()
            || upstream
                .region
                .as_ref()
                .is_some_and(|region| wanted.regions.contains(region));
        let is_out = left || upstream.said.rests(now);
        !is_out && allowed && !self.evacuated.contains(&upstream.entry.zone)
    }

    /// Returns whether a cold upstream bears one more request from this instance.
    fn bears_one_more(&self, now: Time, upstream: &Upstream, per_s: Option<f64>) -> bool {
        let Some(per_s) = per_s else {
            return true;
        };
        if upstream.cold_until <= now {
            return true;
        }
        let bound = per_s * self.config.cold_overage + self.config.cold_slack;
        let me = &self.config.name;
        let share = super::cold::share(self.instances.names(), me, &upstream.entry.id, bound);
        upstream.cold_sends.recent(now) < share
    }

    fn cost_ms(&self, now: Time, at: usize, upstream: &Upstream) -> f64 {
        let mut cost_ms = upstream
            .record
            .cost_ms(now, upstream.entry.slots, FAILING_MS);
        if upstream.record.is_barred(now) {
            cost_ms += BARRED_MS;
        }
        if upstream.leaving_since().is_some() {
            cost_ms += LEAVING_MS;
        }
        if upstream.entry.zone != self.config.zone {
            cost_ms += OTHER_ZONE_MS;
        }
        if upstream.region != self.region {
            cost_ms += OTHER_REGION_MS;
        }
        let turn = (at as u32).wrapping_add(self.turn) % 3;
        cost_ms + f64::from(turn) * TURN_MS / 2.0
    }

    fn known(&self, key: UpstreamKey) -> &Upstream {
        self.upstreams.get(key).expect("the key is in the index")
    }

    fn insert(&mut self, now: Time, entry: UpstreamEntry) {
        let service = self.service(&entry.service);
        let id = entry.id.clone();
        let zones: &BTreeMap<String, String> = &self.config.zones;
        let key = self.upstreams.insert(Upstream {
            service,
            region: zones.get(&entry.zone).cloned(),
            leaving_since: entry.draining.then_some(now),
            missing: false,
            said: self.departed.said(&id, entry.incarnation),
            cold_until: now + entry.cold_ms,
            cold_sends: ColdSends::default(),
            record: Record::default(),
            entry,
        });
        self.by_id.insert(id, key);
        self.service_mut(service).upstreams.push(key);
    }

    fn remove(&mut self, now: Time, key: UpstreamKey) -> Option<Upstream> {
        let upstream = self.upstreams.remove(key)?;
        self.departed.keep(
            now,
            &upstream.entry.id,
            upstream.entry.incarnation,
            upstream.said,
        );
        self.by_id.remove(&upstream.entry.id);
        let service = self.service_mut(upstream.service);
        service.upstreams.retain(|other| *other != key);
        Some(upstream)
    }
}
