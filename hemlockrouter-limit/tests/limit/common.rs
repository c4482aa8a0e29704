//! Builders of catalogues, keys and sub-requests, and filters for commands.

use hemlockrouter_limit::Command;
use hemlockrouter_limit::Limiter;
use hemlockrouter_limit::SubRequest;
use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::catalog::Zone;
use hemlockrouter_types::prelude::*;

/// Builds a catalogue with `upstreams` upstreams in one zone and `customers` customers.
pub(crate) fn catalog(upstreams: usize, slots: u32, cold_slots: u32, customers: usize) -> Catalog {
    let mut catalog = Catalog::default();
    let zone = catalog.zones.insert(Zone {
        name: "a".to_owned(),
        region: "r".to_owned(),
        in_service: true,
    });
    for index in 0..upstreams {
        catalog.upstreams.insert(Upstream {
            name: format!("upstream-{index}"),
            address: ([127, 0, 0, 1], 9).into(),
            zone,
            slots,
            cold_slots,
            connections: 25,
            in_service: true,
        });
    }
    for index in 0..customers {
        catalog.customers.insert(Customer {
            name: format!("customer-{index}"),
            key_sha256: [0; 32],
            max_in_flight: 10,
            max_per_second: 100,
        });
    }
    catalog
}

pub(crate) fn ms(ms: u64) -> Time {
    Time::from_ms(ms)
}

pub(crate) fn id(seq: u64) -> SubRequestId {
    SubRequestId {
        origin: InstanceId(1),
        seq,
    }
}

pub(crate) fn upstream(index: u32) -> UpstreamKey {
    UpstreamKey::from_raw(index)
}

/// Builds a sub-request for the first upstream.
pub(crate) fn work(seq: u64, customer: u32, deadline: Time) -> SubRequest {
    SubRequest {
        id: id(seq),
        customer: CustomerKey::from_raw(customer),
        upstream: upstream(0),
        weight: 1,
        deadline,
        non_repeatable: false,
    }
}

/// Gives the limiter an unlimited lease of the first upstream, and runs the timers 250 ms later,
/// when the wait of a new owner is over.
pub(crate) fn hold_lease(limiter: &mut Limiter, now: Time, out: &mut Vec<Command>) {
    limiter.record_lease(now, upstream(0), Time::MAX, out);
    limiter.tick(now + 250, out);
}

/// Returns the sequence numbers of the dispatched sub-requests, in order.
pub(crate) fn dispatched_seqs(out: &[Command]) -> Vec<u64> {
    let seqs = out.iter().filter_map(|command| match command {
        Command::Dispatch { id, .. } => Some(id.seq),
        _ => None,
    });
    seqs.collect()
}

/// Returns the sequence numbers and refusals of the refused sub-requests, in order.
pub(crate) fn refusals(out: &[Command]) -> Vec<(u64, Refusal)> {
    let refusals = out.iter().filter_map(|command| match command {
        Command::Refuse { id, refusal } => Some((id.seq, *refusal)),
        _ => None,
    });
    refusals.collect()
}
