//! Explains to operators which upstreams a search would use now.

use hemlockrouter_types::prelude::*;

use super::dispatch::SnapshotAvailability;
use super::snapshot;
use super::RejectedUpstream;
use super::Searcher;
use super::ShardChoice;
use crate::choose::Unavailability;

impl Searcher {
    /// Returns the upstream that a query of `customer` would be sent to now for each shard, with
    /// the reason.
    ///
    /// A query draws at random between replicas that are equally near. This method instead returns
    /// the one with the lower expected cost. The list is empty if the customer has no such search.
    pub fn explain(&self, now: Time, customer: CustomerKey, search: SearchKey) -> Vec<ShardChoice> {
        let search_entry = self.catalog.searches.get(search);
        let Some(search_entry) =
            search_entry.filter(|search_entry| search_entry.customer == customer)
        else {
            return Vec::new();
        };
        let best = snapshot::best_snapshot(&self.upstreams, &search_entry.shards);
        let snapshot = best.map(|best| best.snapshot);
        let mut choices = Vec::with_capacity(search_entry.shards.len());
        for (index, shard) in search_entry.shards.iter().enumerate() {
            let mut choice = ShardChoice {
                shard: ShardNo(index as u16),
                name: shard.name.clone(),
                snapshot,
                chosen: None,
                why: "no upstream can be asked".to_owned(),
                passed_over: Vec::new(),
            };
            self.choose_and_explain(now, customer, &shard.upstreams, &mut choice);
            choices.push(choice);
        }
        choices
    }

    fn choose_and_explain(
        &self,
        now: Time,
        customer: CustomerKey,
        replicas: &[UpstreamKey],
        choice: &mut ShardChoice,
    ) {
        let mut best: Option<(UpstreamKey, f64)> = None;
        let mut others = Vec::new();
        for key in replicas {
            if let Some(why) = self.unavailable_reason(now, customer, *key, choice.snapshot) {
                let upstream = *key;
                choice.passed_over.push(RejectedUpstream { upstream, why });
                continue;
            }
            let cost = self.ordering_cost(now, *key);
            match best {
                Some((_, least)) if least <= cost => others.push(*key),
                _ => others.extend(best.replace((*key, cost)).map(|(key, _)| key)),
            }
        }
        let Some((chosen, _)) = best else {
            return;
        };
        choice.chosen = Some(chosen);
        choice.why = self.describe_upstream(now, chosen);
        for upstream in others {
            let why = format!("costs more: {}", self.describe_upstream(now, upstream));
            choice.passed_over.push(RejectedUpstream { upstream, why });
        }
    }

    fn unavailable_reason(
        &self,
        now: Time,
        customer: CustomerKey,
        key: UpstreamKey,
        snapshot: Option<Snapshot>,
    ) -> Option<String> {
        match self.upstreams.unavailability(now, customer, key) {
            Some(Unavailability::OutOfService) => return Some("out of service".to_owned()),
            Some(Unavailability::Backoff(until)) => {
                let left_ms = until.remaining_ms(now);
                return Some(format!("backing off for {left_ms} ms"));
            }
            None => (),
        }
        match self.snapshot_availability(key, snapshot) {
            SnapshotAvailability::Available => None,
            SnapshotAvailability::NotYet => Some("does not have the snapshot yet".to_owned()),
            SnapshotAvailability::Dropped => Some("has dropped the snapshot".to_owned()),
        }
    }

    /// Returns the weighted cost with a surcharge that puts every suspect upstream after all
    /// others.
    fn ordering_cost(&self, now: Time, key: UpstreamKey) -> f64 {
        let cost = self.upstreams.weighted_cost(now, key);
        match self.upstreams.is_suspect(now, key) {
            true => cost + f64::from(u32::MAX),
            false => cost,
        }
    }

    fn describe_upstream(&self, now: Time, key: UpstreamKey) -> String {
        let zone_label = match self.upstreams.is_in_own_zone(key) {
            true => "own zone",
            false => "another zone",
        };
        let cost_ms = self.upstreams.cost(now, key);
        let in_flight = self.upstreams.in_flight(key);
        let suspect_label = match self.upstreams.is_suspect(now, key) {
            true => ", failed lately",
            false => "",
        };
        format!("{zone_label}, {cost_ms:.0} ms expected, {in_flight} in flight{suspect_label}")
    }
}
