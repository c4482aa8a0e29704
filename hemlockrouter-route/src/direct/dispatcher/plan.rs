//! Decides which instance collects which shards of a search, and in which availability zone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use hemlockrouter_types::routing::InstanceEntry;

use super::DelegatedBatch;
use super::Dispatcher;
use crate::direct::event::Command;
use crate::direct::groups::ShardGroup;
use crate::direct::peers::assign_groups;
use crate::direct::peers::preferred_collector;
use crate::direct::peers::CollectorCandidate;
use crate::direct::table::Route;
use crate::direct::table::RouteTarget;

/// The minimum number of parts to be collected in another availability zone.
const OTHER_ZONE_PARTS_MIN: usize = 4;

/// The fraction of the best zone's coverage that an availability zone must reach to be a candidate
/// for the parts that no upstream of the own region serves.
const REMOTE_ZONE_COVERAGE_MIN_FRACTION: f64 = 0.75;

/// The interval at which this instance checks which other instances to probe, in milliseconds.
const PROBE_CHECK_INTERVAL_MS: u64 = 500;

/// The timeout of a probe of another instance, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// A filter for the other instances that are considered for collecting parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PeerFilter {
    /// Instances that have responded recently.
    Usable,
    /// Also instances that were not probed yet, or not recently.
    PossiblyUsable,
}

/// The indexes of the parts that each instance collects; the key `None` stands for this instance.
type PartsByCollector = BTreeMap<Option<SocketAddr>, Vec<usize>>;

/// The indexes of a search's parts, by the location in which they are collected.
#[derive(Debug, Default)]
struct PartsByLocation<'z> {
    /// Parts with upstreams in the own availability zone.
    own_zone_parts: Vec<usize>,
    /// Parts with upstreams in other availability zones of the own region.
    own_region_parts: BTreeMap<&'z str, Vec<usize>>,
    /// Parts without an upstream in the own region.
    other_region_parts: Vec<usize>,
}

impl Dispatcher {
    /// Returns the services of a route if other instances may collect parts of its requests. Routes
    /// that are restricted to regions are excluded, since their request bodies must not be sent to
    /// instances elsewhere.
    pub(super) fn delegatable_services<'r>(&self, route: &'r Route) -> Option<&'r [ServiceKey]> {
        let RouteTarget::Shards { services, .. } = &route.target else {
            return None;
        };
        let may_be_delegated = route.entry.idempotent && route.entry.regions.is_empty();
        may_be_delegated.then_some(services)
    }

    /// Returns whether this instance delegates parts of searches to another instance.
    pub(in crate::direct) fn is_collector(&self, now: Time, peer: SocketAddr) -> bool {
        let is_listed = self.peers().any(|(_, address)| address == peer);
        is_listed && self.peers.is_usable(now, peer)
    }

    /// Returns the instance that would collect each part of a request of `route`; `None` stands for
    /// this instance.
    pub(in crate::direct) fn collectors_of(
        &self,
        now: Time,
        route: &Route,
    ) -> Vec<Option<SocketAddr>> {
        let parts = match &route.target {
            RouteTarget::Split(parts) => parts.len(),
            RouteTarget::Shards { services, .. } => services.len(),
        };
        let mut collectors = vec![None; parts];
        if let Some(services) = self.delegatable_services(route) {
            for (collector, part_indexes) in self.assign_parts(now, services, PeerFilter::Usable) {
                for part_index in part_indexes {
                    collectors[part_index] = collector;
                }
            }
        }
        collectors
    }

    /// Returns the parts that each instance collects, by their indexes; `None` stands for this
    /// instance.
    ///
    /// Parts of a search over many shards are collected in the availability zone of their upstreams
    /// if that zone is in the own region: the delay between zones is the same, but an answer
    /// between instances is much smaller. Parts without an upstream in the own region are collected
    /// in another region, however few shards the search has: one message then replaces one answer
    /// for each shard.
    pub(super) fn assign_parts(
        &self,
        now: Time,
        services: &[ServiceKey],
        peer_filter: PeerFilter,
    ) -> Vec<(Option<SocketAddr>, Vec<usize>)> {
        let own_zone = self.config.zone.as_str();
        let is_divided = self.config.search_division.is_divided(services.len());
        let PartsByLocation {
            mut own_zone_parts,
            own_region_parts,
            other_region_parts,
        } = self.locate_parts(now, services);
        let mut by_collector = PartsByCollector::default();
        let other_region_zones =
            self.other_region_zones(now, services, &other_region_parts, peer_filter);
        match other_region_zones.len() {
            0 => own_zone_parts.extend(other_region_parts),
            zones => {
                let zone = other_region_zones[self.other_region_rotation % zones];
                self.assign_other_region(
                    now,
                    zone,
                    &other_region_parts,
                    services.len(),
                    peer_filter,
                    &mut by_collector,
                );
            }
        }
        for (zone, part_indexes) in own_region_parts {
            let candidates = self.candidates(now, zone, peer_filter);
            if candidates.is_empty() || part_indexes.len() < OTHER_ZONE_PARTS_MIN {
                own_zone_parts.extend(part_indexes);
            } else {
                self.assign_zone(
                    &candidates,
                    &part_indexes,
                    services.len(),
                    &mut by_collector,
                );
            }
        }
        if is_divided {
            let candidates = self.candidates(now, own_zone, peer_filter);
            self.assign_zone(
                &candidates,
                &own_zone_parts,
                services.len(),
                &mut by_collector,
            );
        } else {
            by_collector.entry(None).or_default().extend(own_zone_parts);
        }
        let mut by_collector: Vec<_> = by_collector.into_iter().collect();
        by_collector
            .iter_mut()
            .for_each(|(_, part_indexes)| part_indexes.sort_unstable());
        by_collector
    }

    /// Groups the parts of a search by the location in which they are collected.
    fn locate_parts(&self, now: Time, services: &[ServiceKey]) -> PartsByLocation<'_> {
        let is_divided = self.config.search_division.is_divided(services.len());
        let mut by_location = PartsByLocation::default();
        for (part_index, service) in services.iter().enumerate() {
            match self.upstreams.zone_in_own_region(now, *service) {
                Some(zone) if is_divided && zone != self.config.zone => {
                    by_location
                        .own_region_parts
                        .entry(zone)
                        .or_default()
                        .push(part_index);
                }
                Some(_) => by_location.own_zone_parts.push(part_index),
                None => by_location.other_region_parts.push(part_index),
            }
        }
        by_location
    }

    /// Returns the availability zones in which parts without an upstream in the own region may be
    /// collected. Each returned zone has upstreams for nearly as many of these parts as the best
    /// zone.
    fn other_region_zones(
        &self,
        now: Time,
        services: &[ServiceKey],
        part_indexes: &[usize],
        peer_filter: PeerFilter,
    ) -> Vec<&str> {
        if part_indexes.len() < OTHER_ZONE_PARTS_MIN {
            return Vec::new();
        }
        let mut parts_in_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for part_index in part_indexes {
            for zone in self.upstreams.zones_of_service(now, services[*part_index]) {
                *parts_in_zone.entry(zone).or_default() += 1;
            }
        }
        let most_parts = parts_in_zone.values().copied().max().unwrap_or(0);
        let min_parts = (most_parts as f64 * REMOTE_ZONE_COVERAGE_MIN_FRACTION).ceil() as usize;
        let zones = parts_in_zone
            .into_iter()
            .filter(|(_, parts)| *parts >= min_parts);
        let zones = zones.map(|(zone, _)| zone);
        zones
            .filter(|zone| !self.candidates(now, zone, peer_filter).is_empty())
            .collect()
    }

    /// Assigns parts to instances in an availability zone of another region: to one instance, or to
    /// one instance for each group if the search has many shards.
    fn assign_other_region(
        &self,
        now: Time,
        zone: &str,
        part_indexes: &[usize],
        shard_count: usize,
        peer_filter: PeerFilter,
        by_collector: &mut PartsByCollector,
    ) {
        let candidates = self.candidates(now, zone, peer_filter);
        if self.config.search_division.is_divided(shard_count) {
            self.assign_zone(&candidates, part_indexes, shard_count, by_collector);
        } else if let Some(collector) = preferred_collector(&self.config.name, &candidates) {
            let parts = by_collector.entry(collector.address).or_default();
            parts.extend(part_indexes);
        }
    }

    /// Divides parts of a search over `shard_count` shards among the instances of an availability
    /// zone.
    fn assign_zone(
        &self,
        candidates: &[CollectorCandidate<'_>],
        part_indexes: &[usize],
        shard_count: usize,
        by_collector: &mut PartsByCollector,
    ) {
        let group_size = self.config.search_division.shards_per_instance;
        let group_count = ShardGroup::of_shard(0, shard_count, group_size).count;
        let collectors = assign_groups(candidates, group_count);
        for part_index in part_indexes {
            let group = ShardGroup::of_shard(*part_index, shard_count, group_size);
            let collector = collectors[group.index];
            by_collector.entry(collector).or_default().push(*part_index);
        }
    }

    /// Returns the instances that may collect parts in an availability zone.
    fn candidates<'d>(
        &'d self,
        now: Time,
        zone: &'d str,
        peer_filter: PeerFilter,
    ) -> Vec<CollectorCandidate<'d>> {
        let zone_peers = self.peers().filter(|(entry, _)| entry.zone == zone);
        let usable_peers = zone_peers.filter(|(_, address)| match peer_filter {
            PeerFilter::Usable => self.peers.is_usable(now, *address),
            PeerFilter::PossiblyUsable => self.peers.is_possibly_usable(now, *address),
        });
        let mut candidates: Vec<CollectorCandidate<'_>> = usable_peers
            .map(|(entry, address)| CollectorCandidate {
                name: &entry.name,
                address: Some(address),
            })
            .collect();
        if zone == self.config.zone {
            candidates.push(CollectorCandidate {
                name: &self.config.name,
                address: None,
            });
        }
        candidates
    }

    /// Returns the other instances, each with the address at which it accepts batches.
    fn peers(&self) -> impl Iterator<Item = (&InstanceEntry, SocketAddr)> {
        let others = self.upstreams.instances().callable_entries();
        let others = others.filter(|entry| entry.name != self.config.name);
        others.filter_map(|entry| Some((entry, entry.relay?)))
    }

    /// Probes the instances that would collect parts of searches but are not known to respond.
    /// Other instances are not probed, since most instances of a large availability zone collect
    /// nothing for this one.
    pub(super) fn probe_due_peers(&mut self, now: Time, commands: &mut Vec<Command>) {
        if now.ms_since(self.peers_checked_at) < PROBE_CHECK_INTERVAL_MS {
            return;
        }
        self.peers_checked_at = now;
        self.peers.remove_stale(now);
        let table = Rc::clone(&self.table);
        let mut peers_to_probe: BTreeSet<SocketAddr> = BTreeSet::new();
        for services in table.searches() {
            let by_collector = self.assign_parts(now, services, PeerFilter::PossiblyUsable);
            peers_to_probe.extend(
                by_collector
                    .into_iter()
                    .filter_map(|(collector, _)| collector),
            );
            let mut by_collector = PartsByCollector::default();
            let other_region_parts = self.locate_parts(now, services).other_region_parts;
            for zone in self.other_region_zones(
                now,
                services,
                &other_region_parts,
                PeerFilter::PossiblyUsable,
            ) {
                let shard_count = services.len();
                self.assign_other_region(
                    now,
                    zone,
                    &other_region_parts,
                    shard_count,
                    PeerFilter::PossiblyUsable,
                    &mut by_collector,
                );
            }
            if self.config.search_division.is_divided(services.len()) {
                // If the other availability zones fail or are evacuated, all parts are collected in
                // this zone.
                let part_indexes: Vec<usize> = (0..services.len()).collect();
                let own_zone_candidates =
                    self.candidates(now, &self.config.zone, PeerFilter::PossiblyUsable);
                self.assign_zone(
                    &own_zone_candidates,
                    &part_indexes,
                    services.len(),
                    &mut by_collector,
                );
            }
            peers_to_probe.extend(by_collector.into_keys().flatten());
        }
        for peer in peers_to_probe {
            if self.peers.start_probe_if_due(now, peer) {
                self.probe_peer(now, peer, commands);
            }
        }
    }

    /// Probes whether an instance responds.
    fn probe_peer(&mut self, now: Time, peer: SocketAddr, commands: &mut Vec<Command>) {
        let batch = Batch {
            route: String::new(),
            version: self.table.version(),
            attempts_max: 0,
            target_latency_ms: 0,
            records_max: 0,
            parts: Vec::new(),
        };
        let delegated = DelegatedBatch {
            request_id: None,
            peer,
            sent: now,
            part_indexes: Vec::new(),
            has_reported: false,
        };
        let call = self.next_call();
        let deadline = now + PROBE_TIMEOUT_MS;
        self.send_batch(call, delegated, batch, deadline, commands);
    }
}
