//! Tests of the limiter with single events.

use std::ops::RangeInclusive;

use hemlockrouter_limit::Command;
use hemlockrouter_limit::Config;
use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_limit::Limiter;
use hemlockrouter_types::prelude::*;

use crate::common::catalog;
use crate::common::dispatched_seqs;
use crate::common::hold_lease;
use crate::common::id;
use crate::common::ms;
use crate::common::refusals;
use crate::common::upstream;
use crate::common::work;

fn answered(served_ms: u32, start: u64) -> DispatchOutcome {
    DispatchOutcome::Answered {
        served_ms,
        start_id: Some(StartId(start)),
        leaving: false,
    }
}

#[test]
fn cold_start_begins_with_limit_one_and_grows_after_a_window() {
    let mut out: Vec<Command> = Vec::new();
    let mut limiter = Limiter::new(Config::new().window_answers_min(4));
    limiter.configure(ms(0), &catalog(1, 6, 2, 1), &mut out);
    hold_lease(&mut limiter, ms(0), &mut out);
    for seq in 1..=20 {
        limiter.offer(ms(250), work(seq, 0, ms(10_000)), &mut out);
    }
    assert_eq!(dispatched_seqs(&out), [1]);
    for seq in 1..=4 {
        limiter.finish(ms(250 + seq * 6), id(seq), answered(6, 1), &mut out);
    }
    assert_eq!(limiter.in_flight(upstream(0)), 2);
    assert_eq!(limiter.status(upstream(0)).unwrap().queued, 14);
}

#[test]
fn duplicate_offer_of_non_repeatable_work_is_ignored() {
    let mut out = Vec::new();
    let mut limiter = Limiter::new(Config::new());
    limiter.configure(ms(0), &catalog(1, 6, 2, 1), &mut out);
    hold_lease(&mut limiter, ms(0), &mut out);
    let mut request = work(1, 0, ms(450));
    request.non_repeatable = true;
    limiter.offer(ms(250), request, &mut out);
    limiter.finish(ms(256), request.id, DispatchOutcome::Failed, &mut out);
    request.deadline = ms(650);
    limiter.offer(ms(257), request, &mut out);
    assert_eq!(dispatched_seqs(&out), [1]);
    assert!(refusals(&out).is_empty());
}

/// Builds a limiter whose only upstream has its single cold slot occupied, so that further
/// sub-requests wait.
fn limiter_with_busy_upstream(
    queue_max: usize,
    customers: usize,
    out: &mut Vec<Command>,
) -> Limiter {
    let mut limiter = Limiter::new(Config::new().queue_max(queue_max));
    limiter.configure(ms(0), &catalog(1, 2, 1, customers), out);
    hold_lease(&mut limiter, ms(0), out);
    limiter.offer(ms(250), work(1, 0, ms(10_000)), out);
    limiter
}

#[test]
fn full_queue_evicts_from_the_customer_with_the_most_waiting() {
    let mut out = Vec::new();
    let mut limiter = limiter_with_busy_upstream(4, 2, &mut out);
    for seq in 2..=5 {
        limiter.offer(ms(250), work(seq, 0, ms(10_000 - seq)), &mut out);
    }
    limiter.offer(ms(251), work(6, 1, ms(10_000)), &mut out);
    limiter.offer(ms(251), work(7, 0, ms(400)), &mut out);
    let refusals: Vec<_> = refusals(&out)
        .into_iter()
        .map(|(seq, refusal)| (seq, refusal.reason))
        .collect();
    // The sub-request of the first customer with the latest deadline is evicted. That customer's
    // next sub-request is then refused.
    assert_eq!(
        refusals,
        [
            (2, RefusalReason::Overloaded),
            (7, RefusalReason::Overloaded)
        ]
    );
}

#[test]
fn requests_of_a_customer_are_dispatched_by_earliest_deadline() {
    let mut out = Vec::new();
    let mut limiter = limiter_with_busy_upstream(9, 1, &mut out);
    for (seq, deadline) in [(2, 900), (3, 700), (4, 800)] {
        limiter.offer(ms(250), work(seq, 0, ms(deadline)), &mut out);
    }
    for seq in [1, 3, 4] {
        limiter.finish(ms(250 + 5 * seq), id(seq), answered(5, 1), &mut out);
    }
    assert_eq!(dispatched_seqs(&out), [1, 3, 4, 2]);
}

#[test]
fn expired_lease_refuses_waiting_and_lets_in_flight_finish() {
    let mut out = Vec::new();
    let mut limiter = Limiter::new(Config::new());
    limiter.configure(ms(0), &catalog(1, 2, 1, 1), &mut out);
    limiter.record_lease(ms(0), upstream(0), ms(600), &mut out);
    limiter.tick(ms(250), &mut out);
    for seq in 1..=2 {
        limiter.offer(ms(250), work(seq, 0, ms(2_000)), &mut out);
    }
    while let Some(wake) = limiter.next_wake().filter(|&wake| wake <= ms(600)) {
        limiter.tick(wake, &mut out);
    }
    assert_eq!(dispatched_seqs(&out), [1]);
    assert_eq!(refusals(&out)[0].1.reason, RefusalReason::NotOwner);
    assert_eq!(limiter.in_flight(upstream(0)), 1);
    limiter.finish(ms(700), id(1), answered(450, 1), &mut out);
    assert_eq!(limiter.in_flight(upstream(0)), 0);
}

#[test]
fn failures_of_one_customer_do_not_lower_the_limit() {
    let mut out = Vec::new();
    let mut limiter = Limiter::new(Config::new());
    limiter.configure(ms(0), &catalog(1, 2, 1, 2), &mut out);
    hold_lease(&mut limiter, ms(0), &mut out);
    let mut now = ms(250);
    for seq in 1..=2_000 {
        let customer = (seq % 2) as u32;
        limiter.offer(now, work(seq, customer, now + 200), &mut out);
        now = now + 5;
        let warm = now > ms(5_000);
        let outcome = if warm && customer == 1 {
            DispatchOutcome::Failed
        } else {
            answered(5, 1)
        };
        limiter.finish(now, id(seq), outcome, &mut out);
        let status = limiter.status(upstream(0)).unwrap();
        assert!(!warm || (!status.cold && status.limit == 2), "at {now}");
    }
}

#[test]
fn broken_connection_lowers_limit_until_an_answer_shows_the_same_start() {
    let mut out = Vec::new();
    let (mut limiter, now, last) = limiter_with_warm_upstream(&mut out);
    let broken_seq = last + 1;
    offer_all(&mut limiter, now, broken_seq..=broken_seq, &mut out);
    limiter.finish(
        now + 5,
        id(broken_seq),
        DispatchOutcome::ConnectionBroken,
        &mut out,
    );
    let status = limiter.status(upstream(0)).unwrap();
    assert_eq!((status.limit, status.cold), (3, false));
    let next_seq = broken_seq + 1;
    offer_all(&mut limiter, now + 6, next_seq..=next_seq, &mut out);
    limiter.finish(now + 11, id(next_seq), answered(5, 1), &mut out);
    assert_eq!(limiter.status(upstream(0)).unwrap().limit, 8);
}

#[test]
fn slot_of_removed_customer_is_reused_by_new_customer() {
    let mut out = Vec::new();
    let mut limiter = limiter_with_busy_upstream(9, 1, &mut out);
    limiter.offer(ms(250), work(2, 0, ms(10_000)), &mut out);
    let mut changed = catalog(1, 2, 1, 1);
    let old = CustomerKey::from_raw(0);
    let customer = changed.customers.remove(old).unwrap();
    let new = changed.customers.insert(customer);
    assert_eq!((new.slot(), new != old), (old.slot(), true));
    limiter.configure(ms(251), &changed, &mut out);
    assert_eq!(refusals(&out)[0].1.reason, RefusalReason::NotConfigured);
    limiter.offer(ms(252), work(3, new.raw(), ms(10_000)), &mut out);
    limiter.offer(ms(252), work(4, new.raw(), ms(10_000)), &mut out);
    limiter.finish(ms(255), id(1), answered(5, 1), &mut out);
    limiter.finish(ms(260), id(3), answered(5, 1), &mut out);
    assert_eq!(dispatched_seqs(&out), [1, 3, 4]);
}

/// Builds a limiter that has raised the limit of a warm upstream to all of its 8 slots, of which 3
/// are cold slots, with nothing in flight. Also returns the current time and the last sequence
/// number.
fn limiter_with_warm_upstream(out: &mut Vec<Command>) -> (Limiter, Time, u64) {
    let mut limiter = Limiter::new(Config::new());
    limiter.configure(ms(0), &catalog(1, 8, 3, 1), out);
    hold_lease(&mut limiter, ms(0), out);
    let (mut now, mut last) = (ms(250), 0);
    while limiter.status(upstream(0)).unwrap().limit < 8 {
        assert!(now < ms(20_000), "the limit does not grow");
        let first = last + 1;
        last += 8;
        offer_all(&mut limiter, now, first..=last, out);
        while limiter.in_flight(upstream(0)) > 0 {
            now = now + 5;
            let sent = dispatched_seqs(out);
            out.clear();
            sent.iter()
                .for_each(|&seq| limiter.finish(now, id(seq), answered(5, 1), out));
        }
    }
    (limiter, now, last)
}

fn offer_all(limiter: &mut Limiter, now: Time, seqs: RangeInclusive<u64>, out: &mut Vec<Command>) {
    seqs.for_each(|seq| limiter.offer(now, work(seq, 0, now + 9_000), out));
}

#[test]
fn dispatches_keep_to_cold_slots_while_all_in_flight_are_late() {
    let mut out = Vec::new();
    let (mut limiter, now, last) = limiter_with_warm_upstream(&mut out);
    offer_all(&mut limiter, now, last + 1..=last + 9, &mut out);
    assert_eq!(limiter.in_flight(upstream(0)), 8);
    while let Some(wake) = limiter.next_wake().filter(|&wake| wake <= now + 100) {
        limiter.tick(wake, &mut out);
    }
    let sent = dispatched_seqs(&out);
    out.clear();
    for &seq in &sent[..5] {
        limiter.finish(now + 100, id(seq), DispatchOutcome::Cancelled, &mut out);
    }
    assert_eq!(limiter.in_flight(upstream(0)), 3);
}

#[test]
fn upstream_back_in_service_or_idle_is_treated_as_cold() {
    for idle in [false, true] {
        let mut out = Vec::new();
        let (mut limiter, mut now, last) = limiter_with_warm_upstream(&mut out);
        if idle {
            now = now + 10_001;
        } else {
            let mut out_of_service = catalog(1, 8, 3, 1);
            out_of_service
                .upstreams
                .get_mut(upstream(0))
                .unwrap()
                .in_service = false;
            limiter.configure(now, &out_of_service, &mut out);
            limiter.configure(now + 1, &catalog(1, 8, 3, 1), &mut out);
        }
        offer_all(&mut limiter, now + 2, last + 1..=last + 9, &mut out);
        assert_eq!(limiter.in_flight(upstream(0)), 1, "idle: {idle}");
    }
}
