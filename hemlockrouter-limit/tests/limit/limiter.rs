//! The limiter, event by event.

use hemlockrouter_limit::Command;
use hemlockrouter_limit::Config;
use hemlockrouter_limit::Ended;
use hemlockrouter_limit::Limiter;
use hemlockrouter_types::prelude::*;

use crate::common::catalog;
use crate::common::dispatched;
use crate::common::hold;
use crate::common::id;
use crate::common::ms;
use crate::common::refused;
use crate::common::upstream;
use crate::common::work;

fn answered(served_ms: u32, start: u64) -> Ended {
    Ended::Answered {
        served_ms,
        start: Some(StartId(start)),
        leaving: false,
    }
}

#[test]
fn cold_upstream_gets_one_at_a_time_until_it_answers() {
    let mut out: Vec<Command> = Vec::new();
    let mut limiter = Limiter::new(Config::new().window(4));
    limiter.configure(ms(0), &catalog(1, 6, 2, 1), &mut out);
    hold(&mut limiter, ms(0), &mut out);
    for seq in 1..=20 {
        limiter.offer(ms(250), work(seq, 0, ms(10_000)), &mut out);
    }
    assert_eq!(dispatched(&out), [1]);
    for seq in 1..=4 {
        limiter.finish(ms(250 + seq * 6), id(seq), answered(6, 1), &mut out);
    }
    assert_eq!(limiter.in_flight(upstream(0)), 2);
    assert_eq!(limiter.status(upstream(0)).unwrap().queued, 14);
}

#[test]
fn once_work_is_not_dispatched_again_when_its_offer_is_doubled() {
    let mut out = Vec::new();
    let mut limiter = Limiter::new(Config::new());
    limiter.configure(ms(0), &catalog(1, 6, 2, 1), &mut out);
    hold(&mut limiter, ms(0), &mut out);
    let mut booking = work(1, 0, ms(450));
    booking.once = true;
    limiter.offer(ms(250), booking, &mut out);
    limiter.finish(ms(256), booking.id, Ended::Failed, &mut out);
    booking.deadline = ms(650);
    limiter.offer(ms(257), booking, &mut out);
    assert_eq!(dispatched(&out), [1]);
    assert!(refused(&out).is_empty());
}
