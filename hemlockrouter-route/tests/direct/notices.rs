//! Tests the handling of upstreams that announce a shutdown or ask for a pause.

use std::net::SocketAddr;

use hemlockrouter_route::direct::BatchOutcome;
use hemlockrouter_route::direct::BatchReport;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::CallOutcome;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Notice;
use hemlockrouter_route::direct::PeerNotice;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_route::direct::RequestResult;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use hemlockrouter_types::routing::BatchPart;
use hemlockrouter_types::routing::ShardTarget;
use hemlockrouter_types::routing::TargetServices;

use crate::fixture::instance;
use crate::fixture::rejected;
use crate::fixture::route;
use crate::fixture::success;
use crate::fixture::upstream;
use crate::fixture::Fixture;
use crate::fixture::LOOK_UP_PATH;
use crate::fixture::SEARCH_PATH;
use crate::fixture::SHARD_COUNT;

/// The time after which an upstream that announced its shutdown is no longer used, in milliseconds:
/// 1 ms more than the fixture's setting.
const AFTER_LINGER_MS: u64 = 1_201;

/// The length of the pauses that upstreams ask for in these tests, in milliseconds.
const PAUSE_MS: u64 = 3_000;

/// The time between two values of the clock, in milliseconds. A pause may end by this much later.
const CLOCK_STEP_MS: u64 = 1;

/// The number of shards of the search that is sent in bursts.
const MANY_SHARD_COUNT: usize = 270;

const LEAVING_NOTICE: Notice = Notice {
    leaving: true,
    rest_ms: 0,
    malformed_header: None,
};

const PAUSE_NOTICE: Notice = Notice {
    leaving: false,
    rest_ms: PAUSE_MS,
    malformed_header: None,
};

impl Fixture {
    /// Delivers a notice from the upstream of a call.
    fn deliver_notice(&mut self, call: CallId, upstream: UpstreamKey, notice: Notice) {
        let commands = &mut self.commands;
        self.dispatcher
            .handle_notice(self.now, call, upstream, &notice, commands);
    }

    /// Removes the commands that send calls, and returns the calls with the keys of their
    /// upstreams.
    fn take_sent_call_keys(&mut self) -> Vec<(CallId, UpstreamKey)> {
        let mut sent = Vec::new();
        self.commands.retain(|command| {
            let Command::Send { call, upstream, .. } = command else {
                return true;
            };
            sent.push((*call, *upstream));
            false
        });
        sent
    }

    fn id(&self, key: UpstreamKey) -> String {
        let upstream = self.dispatcher.upstreams().get(key);
        upstream
            .expect("the upstream is registered")
            .entry
            .id
            .clone()
    }

    /// Sends a lookup, delivers `notice` from its upstream, ends the call with `end`, and returns
    /// the upstream's id.
    fn look_up_with_notice(&mut self, notice: Notice, end: CallOutcome) -> String {
        self.start(LOOK_UP_PATH);
        let (call, key) = self.take_sent_call_keys()[0];
        let id = self.id(key);
        self.deliver_notice(call, key, notice);
        self.end_call(call, end);
        self.commands.clear();
        id
    }

    /// Sends `count` lookups, and returns the ids of their upstreams.
    fn look_up_upstreams(&mut self, count: usize) -> Vec<String> {
        let mut used_upstreams = Vec::new();
        for _ in 0..count {
            self.start(LOOK_UP_PATH);
            let sent = self.take_sent_calls();
            used_upstreams.extend(sent.iter().map(|(_, id)| id.clone()));
            self.answer_all(sent);
        }
        self.commands.clear();
        used_upstreams
    }
}

#[test]
fn an_announced_shutdown_overrides_the_registry_until_the_upstream_restarts() {
    let mut fixture = Fixture::new();
    let leaving = fixture.look_up_with_notice(LEAVING_NOTICE, success("stamp", b""));
    assert!(
        !fixture.look_up_upstreams(20).contains(&leaving),
        "another upstream is available"
    );
    fixture.advance(AFTER_LINGER_MS);
    let zone = leaving
        .split_once('@')
        .expect("upstream ids contain the zone")
        .1;
    let entry = upstream("ledger", zone);
    let now = fixture.now;
    let upstreams = fixture.dispatcher.upstreams_mut();
    upstreams.register(now, entry.clone());
    upstreams.evacuate(
        if zone == "north-a" {
            "south-b"
        } else {
            "north-a"
        },
        true,
    );
    assert!(
        fixture.look_up_upstreams(5).is_empty(),
        "the registration was renewed"
    );
    fixture.dispatcher.upstreams_mut().unregister(now, &leaving);
    fixture.advance(AFTER_LINGER_MS);
    fixture.advance(AFTER_LINGER_MS);
    assert!(fixture.dispatcher.upstreams().len() < 2 * (SHARD_COUNT + 1));
    let now = fixture.now;
    fixture
        .dispatcher
        .upstreams_mut()
        .register(now, entry.clone());
    assert!(
        fixture.look_up_upstreams(5).is_empty(),
        "the registration lapsed and returned"
    );
    let mut restarted = entry;
    restarted.incarnation += 1;
    fixture.dispatcher.upstreams_mut().register(now, restarted);
    assert_eq!(
        fixture.look_up_upstreams(5),
        vec![leaving; 5],
        "the upstream restarted"
    );
}

#[test]
fn a_notice_on_a_dropped_call_is_still_applied() {
    let mut fixture = Fixture::new();
    let id = fixture.start(LOOK_UP_PATH);
    let (call, key) = fixture.take_sent_call_keys()[0];
    let leaving = fixture.id(key);
    let (now, commands) = (fixture.now, &mut fixture.commands);
    assert!(fixture
        .dispatcher
        .handle_caller_disconnect(now, id, commands));
    fixture.deliver_notice(call, key, LEAVING_NOTICE);
    assert!(!fixture.look_up_upstreams(20).contains(&leaving));
}

#[test]
fn an_upstream_receives_no_requests_during_a_pause_it_asked_for() {
    let mut fixture = Fixture::new();
    let paused_upstream = fixture.look_up_with_notice(PAUSE_NOTICE, rejected());
    fixture.advance(PAUSE_MS - 1);
    assert!(!fixture.look_up_upstreams(20).contains(&paused_upstream));
    fixture.advance(2);
    fixture.advance(20_000);
    assert!(
        fixture.look_up_upstreams(20).contains(&paused_upstream),
        "the pause has ended"
    );
}

#[test]
fn a_refusal_tells_the_caller_to_retry_when_the_first_pause_ends() {
    let mut fixture = Fixture::new();
    for _ in 0..2 {
        fixture.look_up_with_notice(PAUSE_NOTICE, rejected());
        fixture.advance(1_000);
    }
    // A repeated request is refused with the same retry time, and is not sent as a probe.
    for _ in 0..2 {
        let id = fixture.start(LOOK_UP_PATH);
        assert!(fixture.take_sent_calls().is_empty());
        let Some(RequestResult::NotRun { retry_after_ms, .. }) = fixture.take_result(id) else {
            panic!("the request was not run");
        };
        assert_eq!(retry_after_ms, PAUSE_MS + CLOCK_STEP_MS - 2_000);
    }
}

/// Guards against a request that arrives up to 1 ms before the pause of an upstream ends, since the
/// notice came late in a millisecond of the clock.
#[test]
fn a_pause_lasts_for_its_full_length() {
    let mut fixture = Fixture::new();
    for _ in 0..2 {
        fixture.look_up_with_notice(PAUSE_NOTICE, rejected());
        fixture.advance(1_000);
    }
    fixture.advance(PAUSE_MS - 2_000);
    fixture.start(LOOK_UP_PATH);
    assert!(fixture.take_sent_calls().is_empty(), "sent too early");
    fixture.advance(CLOCK_STEP_MS);
    fixture.start(LOOK_UP_PATH);
    assert!(!fixture.take_sent_calls().is_empty(), "not sent in time");
}

#[test]
fn a_shard_whose_upstreams_all_pause_is_reported_missing_at_once() {
    let services: Vec<String> = (0..MANY_SHARD_COUNT)
        .map(|index| format!("many-{index}"))
        .collect();
    let target = TargetServices::Shards(ShardTarget {
        services: services.clone(),
        records_max: 3,
        coverage_min: 0.95,
    });
    let mut fixture = Fixture::with_routes("me", vec![route("search", "/search/", target, true)]);
    for service in &services {
        for zone in ["north-a", "north-c", "south-b"] {
            let upstreams = fixture.dispatcher.upstreams_mut();
            upstreams.register(Time::ZERO, upstream(service, zone));
        }
    }
    let mut first_paused_burst = None;
    for burst in 0..30 {
        for _ in 0..10 {
            let id = fixture.start(SEARCH_PATH);
            let mut sent = fixture.take_sent_call_keys();
            while let Some((call, key)) = sent.pop() {
                let is_paused_shard = fixture.id(key).starts_with("many-7@");
                if is_paused_shard {
                    assert_eq!(
                        first_paused_burst, None,
                        "burst {burst}: request sent to a paused upstream"
                    );
                    fixture.deliver_notice(call, key, PAUSE_NOTICE);
                    fixture.end_call(call, rejected());
                    sent.extend(fixture.take_sent_call_keys());
                } else {
                    fixture.end_call(call, success("stamp", b""));
                }
            }
            let Some(RequestResult::Merged { missing, .. }) = fixture.take_result(id) else {
                panic!("burst {burst}: the search must be answered at once from the other shards");
            };
            assert_eq!(missing, 1);
        }
        first_paused_burst = Some(burst);
        fixture.advance(PAUSE_MS / 40);
    }
}

#[test]
fn a_collecting_instance_forwards_an_upstreams_notice() {
    let mut collector = Fixture::new();
    let batch = Batch {
        route: String::from("search"),
        version: 1,
        attempts_max: 2,
        target_latency_ms: 150,
        records_max: 3,
        parts: vec![BatchPart {
            service: String::from("shard-0"),
            upstreams: vec![upstream("shard-0", "north-a").id],
            repeats_permille: 0,
        }],
    };
    let (now, commands) = (collector.now, &mut collector.commands);
    let id = RequestId(900);
    collector
        .dispatcher
        .start_batch(now, id, batch, 800, commands);
    let (call, key) = collector.take_sent_call_keys()[0];
    collector.deliver_notice(call, key, LEAVING_NOTICE);
    let reported = collector.commands.pop();
    let Some(Command::Report { collected, .. }) = reported else {
        panic!("the notice must be reported before the answer: {reported:?}");
    };
    let expected_notice = PeerNotice {
        upstream: upstream("shard-0", "north-a").id,
        incarnation: 1,
        leaving: true,
        rest_ms: 0,
    };
    assert_eq!(collected.notices, [expected_notice]);
    assert!(collected.answers.is_empty());
}

#[test]
fn a_returned_part_is_not_sent_while_all_its_upstreams_pause() {
    let mut fixture = Fixture::dividing_searches(2, 2);
    let (call, service) = fixture.delegate_search();
    let notices = ["north-a", "south-b"].map(|zone| PeerNotice {
        upstream: upstream(&service, zone).id,
        incarnation: 1,
        leaving: false,
        rest_ms: PAUSE_MS,
    });
    let collected = BatchReport {
        answers: Vec::new(),
        unsent: vec![0],
        notices: notices.to_vec(),
    };
    let (now, commands) = (fixture.now, &mut fixture.commands);
    fixture
        .dispatcher
        .handle_batch_report(now, call, collected, commands);
    assert!(
        fixture.take_sent_calls().is_empty(),
        "both upstreams are paused"
    );
}

impl Fixture {
    /// Starts a search that is partly delegated to another instance, and returns the call to that
    /// instance and the first delegated shard.
    fn delegate_search(&mut self) -> (CallId, String) {
        let mut other = instance("other", "north-a");
        other.relay = Some(SocketAddr::from(([127, 0, 0, 1], 7)));
        let instances = self.dispatcher.upstreams_mut().instances_mut();
        instances.add_instance(Time::ZERO, other);
        self.advance(1_000);
        for (call, _) in self.delegated_calls() {
            let (now, commands) = (self.now, &mut self.commands);
            self.dispatcher
                .batch_ended(now, call, BatchOutcome::Done, commands);
        }
        self.commands.clear();
        self.start(SEARCH_PATH);
        let delegated_calls = self.delegated_calls();
        self.commands.clear();
        let (call, services) = delegated_calls
            .into_iter()
            .next()
            .expect("the search is delegated");
        (call, services[0].clone())
    }

    /// Returns the calls to other instances, each with its services.
    fn delegated_calls(&self) -> Vec<(CallId, Vec<String>)> {
        let delegated_calls = self.commands.iter().filter_map(|command| match command {
            Command::Delegate { call, batch, .. } => {
                let services = batch.parts.iter().map(|part| part.service.clone());
                Some((*call, services.collect()))
            }
            _ => None,
        });
        delegated_calls.collect()
    }
}
