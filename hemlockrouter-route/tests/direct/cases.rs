//! Tests the reaction of a dispatcher to single events.

use hemlockrouter_route::direct::CallOutcome;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Instances;
use hemlockrouter_route::direct::RequestResult;
use hemlockrouter_types::routing::TargetServices;
use hemlockrouter_types::routing::WeightedService;

use crate::fixture::failure;
use crate::fixture::instance;
use crate::fixture::rejected;
use crate::fixture::route;
use crate::fixture::routes;
use crate::fixture::success;
use crate::fixture::upstream;
use crate::fixture::Fixture;
use crate::fixture::BOOK_PATH;
use crate::fixture::LOOK_UP_PATH;
use crate::fixture::SEARCH_PATH;
use crate::fixture::SHARD_COUNT;

fn record(byte: u8) -> Vec<u8> {
    vec![byte; 16]
}

#[test]
fn a_search_merges_the_greatest_records_of_all_parts() {
    let mut fixture = Fixture::new();
    let id = fixture.start(SEARCH_PATH);
    let sent = fixture.take_sent_calls();
    assert_eq!(sent.len(), SHARD_COUNT);
    for (index, (call, _)) in sent.into_iter().enumerate() {
        let index = index as u8;
        let mut body = [record(index), record(10 + index)].concat();
        // An incomplete record at the end is ignored.
        body.extend([255; 7]);
        fixture.end_call(call, success(&format!("stamp-{index}"), &body));
    }
    let Some(RequestResult::Merged {
        body,
        signatures: stamps,
        missing,
    }) = fixture.take_result(id)
    else {
        panic!("the search has ended with a merged answer");
    };
    assert_eq!(body, [record(13), record(12), record(11)].concat());
    assert_eq!((stamps.len(), missing), (SHARD_COUNT, 0));
}

#[test]
fn a_search_returns_a_partial_answer_when_a_shard_is_late() {
    let mut fixture = Fixture::new();
    let id = fixture.start(SEARCH_PATH);
    let sent = fixture.take_sent_calls();
    for (call, _) in &sent[1..] {
        fixture.end_call(*call, success(&call.to_string(), &record(1)));
    }
    assert!(
        fixture.take_result(id).is_none(),
        "the last part may still be answered"
    );
    fixture.advance(129);
    let Some(RequestResult::Merged {
        signatures: stamps,
        missing,
        ..
    }) = fixture.take_result(id)
    else {
        panic!("the search has ended with a merged answer");
    };
    assert_eq!((stamps.len(), missing), (SHARD_COUNT - 1, 1));
    assert_eq!(fixture.dispatcher.pending_requests(), 0);
}

#[test]
fn a_search_that_can_not_reach_its_minimum_coverage_is_refused_at_once() {
    let mut fixture = Fixture::new();
    for zone in ["north-a", "south-b"] {
        fixture.dispatcher.upstreams_mut().evacuate(zone, true);
    }
    let id = fixture.start(SEARCH_PATH);
    assert!(fixture.take_sent_calls().is_empty());
    let Some(RequestResult::NotRun { retry_after_ms, .. }) = fixture.take_result(id) else {
        panic!("the search must be refused as not run");
    };
    assert!(retry_after_ms > 0);
}

#[test]
fn an_unanswered_part_is_hedged_at_another_upstream() {
    let mut fixture = Fixture::new();
    let id = fixture.start(SEARCH_PATH);
    let sent = fixture.take_sent_calls();
    for (call, _) in &sent[1..] {
        fixture.end_call(*call, success(&call.to_string(), &record(1)));
    }
    fixture.advance(70);
    let hedges = fixture.take_sent_calls();
    assert_eq!(hedges.len(), 1);
    assert_ne!(hedges[0].1, sent[0].1);
    fixture.end_call(hedges[0].0, success("hedge", &record(2)));
    assert!(matches!(
        fixture.take_result(id),
        Some(RequestResult::Merged { missing: 0, .. })
    ));
    let is_dropped = |command: &Command| match command {
        Command::Release { call } | Command::Cancel { call } => *call == sent[0].0,
        _ => false,
    };
    assert!(fixture.commands.iter().any(is_dropped));
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_did_not_run() {
    for (end, is_repeated) in [
        (rejected(), true),
        (CallOutcome::NotSent, true),
        (CallOutcome::Lost, false),
        (failure(), false),
    ] {
        let mut fixture = Fixture::new();
        let id = fixture.start(BOOK_PATH);
        let (call, _) = fixture.take_sent_calls().remove(0);
        fixture.end_call(call, end.clone());
        assert_eq!(
            fixture.take_sent_calls().len(),
            usize::from(is_repeated),
            "{end:?}"
        );
        assert_eq!(fixture.take_result(id).is_none(), is_repeated, "{end:?}");
        fixture.advance(300);
        assert!(fixture.take_sent_calls().is_empty(), "{end:?}: hedged");
    }
}

#[test]
fn a_request_ends_as_not_run_only_if_no_upstream_ran_it() {
    let mut fixture = Fixture::new();
    let id = fixture.start(BOOK_PATH);
    let mut sends = 0;
    while let Some((call, _)) = fixture.take_sent_calls().pop() {
        sends += 1;
        fixture.end_call(call, rejected());
    }
    assert!(sends >= 2);
    assert!(matches!(
        fixture.take_result(id),
        Some(RequestResult::NotRun { .. })
    ));
    let id = fixture.start(BOOK_PATH);
    let (call, _) = fixture.take_sent_calls().remove(0);
    fixture.end_call(call, CallOutcome::Lost);
    assert!(matches!(
        fixture.take_result(id),
        Some(RequestResult::Failed { .. })
    ));
}

#[test]
fn the_last_upstreams_failure_is_passed_on_unchanged() {
    let mut fixture = Fixture::new();
    let id = fixture.start(LOOK_UP_PATH);
    while let Some((call, _)) = fixture.take_sent_calls().pop() {
        fixture.end_call(call, failure());
    }
    let Some(RequestResult::Forwarded(reply)) = fixture.take_result(id) else {
        panic!("the upstream's failure is the answer");
    };
    assert_eq!((reply.status, &reply.body[..]), (500, &b"failed"[..]));
}

#[test]
fn a_route_limited_to_one_upstream_retries_only_there() {
    let mut routes = routes();
    routes[2].attempts_max = 1;
    let mut fixture = Fixture::with_routes("me", routes);
    fixture.start(LOOK_UP_PATH);
    let (call, first_upstream) = fixture.take_sent_calls().remove(0);
    fixture.end_call(call, CallOutcome::Lost);
    let (_, second_upstream) = fixture.take_sent_calls().remove(0);
    assert_eq!(first_upstream, second_upstream);
}

#[test]
fn a_route_restricted_to_regions_uses_no_upstream_elsewhere() {
    let mut routes = routes();
    routes[2].regions = vec![String::from("south")];
    let mut fixture = Fixture::with_routes("me", routes);
    for _ in 0..10 {
        fixture.start(LOOK_UP_PATH);
        let (call, upstream_id) = fixture.take_sent_calls().remove(0);
        assert_eq!(upstream_id, "ledger@south-b");
        fixture.end_call(call, rejected());
        let retries = fixture.take_sent_calls();
        assert!(retries
            .iter()
            .all(|(_, upstream_id)| upstream_id == "ledger@south-b"));
        fixture.answer_all(retries);
    }
}

#[test]
fn a_draining_upstream_is_avoided_and_then_no_longer_used() {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    let mut draining_entry = upstream("ledger", "north-a");
    draining_entry.draining = true;
    fixture
        .dispatcher
        .upstreams_mut()
        .register(now, draining_entry);
    fixture.start(LOOK_UP_PATH);
    assert_eq!(fixture.take_sent_calls()[0].1, "ledger@south-b");
    // Until it must not be used any more, the leaving upstream serves requests if no other upstream
    // is available.
    fixture.dispatcher.upstreams_mut().evacuate("south-b", true);
    fixture.start(LOOK_UP_PATH);
    assert_eq!(fixture.take_sent_calls()[0].1, "ledger@north-a");
    fixture.advance(1_500);
    let id = fixture.start(LOOK_UP_PATH);
    assert!(fixture.take_sent_calls().is_empty());
    assert!(matches!(
        fixture.take_result(id),
        Some(RequestResult::NotRun { .. })
    ));
}

/// Guards against an upstream that receives requests after its drain time: the instance had no
/// contact with the registry when the upstream announced its shutdown.
#[test]
fn an_upstream_whose_shutdown_is_learned_late_is_used_only_briefly() {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    let upstreams = fixture.dispatcher.upstreams_mut();
    upstreams.evacuate("south-b", true);
    upstreams.set_registry_silence_ms(2_500);
    let mut draining_entry = upstream("ledger", "north-a");
    draining_entry.draining = true;
    upstreams.register(now, draining_entry);
    fixture.start(LOOK_UP_PATH);
    assert_eq!(fixture.take_sent_calls()[0].1, "ledger@north-a");
    // The upstream may have announced its shutdown 2.5 s ago, and drains for 3 s.
    fixture.advance(300);
    let id = fixture.start(LOOK_UP_PATH);
    assert!(fixture.take_sent_calls().is_empty());
    assert!(matches!(
        fixture.take_result(id),
        Some(RequestResult::NotRun { .. })
    ));
}

#[test]
fn upstreams_whose_registrations_lapse_in_an_outage_are_used_for_the_linger_time() {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    fixture
        .dispatcher
        .upstreams_mut()
        .set_registry_silence_ms(9_000);
    for zone in ["north-a", "south-b"] {
        let id = upstream("ledger", zone).id;
        fixture.dispatcher.upstreams_mut().unregister(now, &id);
    }
    fixture.advance(1_000);
    fixture.start(LOOK_UP_PATH);
    assert_eq!(fixture.take_sent_calls().len(), 1);
}

#[test]
fn a_briefly_lapsed_registration_does_not_stop_requests() {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    for zone in ["north-a", "south-b"] {
        let id = upstream("ledger", zone).id;
        fixture.dispatcher.upstreams_mut().unregister(now, &id);
    }
    fixture.advance(1_000);
    fixture.start(LOOK_UP_PATH);
    assert_eq!(fixture.take_sent_calls().len(), 1);
    let now = fixture.now;
    let restored_entry = upstream("ledger", "south-b");
    fixture
        .dispatcher
        .upstreams_mut()
        .register(now, restored_entry);
    fixture.advance(5_000);
    fixture.start(LOOK_UP_PATH);
    assert_eq!(fixture.take_sent_calls()[0].1, "ledger@south-b");
}

#[test]
fn a_cold_upstream_gets_no_more_than_this_instances_share() {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    for zone in ["north-a", "south-b"] {
        let mut cold_entry = upstream("ledger", zone);
        cold_entry.cold_ms = 60_000;
        fixture.dispatcher.upstreams_mut().register(now, cold_entry);
    }
    let mut sent = 0;
    for _ in 0..100 {
        fixture.start(LOOK_UP_PATH);
        fixture.advance(10);
        let calls = fixture.take_sent_calls();
        sent += calls.len();
        fixture.answer_all(calls);
    }
    // The rate limit of each of the two upstreams is 6 per second. Half of that and 5 more are
    // tolerated on top.
    assert!((8..=28).contains(&sent), "{sent}");
}

/// Guards against instances that take themselves for the only one after an outage of the registry in
/// which all were restarted, and overload a cold upstream together.
#[test]
fn a_cold_upstream_gets_nothing_until_the_list_of_instances_was_complete() {
    let mut fixture = Fixture::new();
    *fixture.dispatcher.upstreams_mut().instances_mut() = Instances::default();
    for zone in ["north-a", "south-b"] {
        let mut cold_entry = upstream("ledger", zone);
        cold_entry.cold_ms = 60_000;
        let now = fixture.now;
        fixture.dispatcher.upstreams_mut().register(now, cold_entry);
    }
    let sent_within = |fixture: &mut Fixture, ms: u64| {
        let mut sent = 0;
        for _ in 0..ms / 100 {
            fixture.start(LOOK_UP_PATH);
            let calls = fixture.take_sent_calls();
            sent += calls.len();
            fixture.answer_all(calls);
            fixture.advance(100);
        }
        sent
    };
    let list = |fixture: &mut Fixture, name: &str| {
        let now = fixture.now;
        let instances = fixture.dispatcher.upstreams_mut().instances_mut();
        instances.add_instance(now, instance(name, "north-a"));
    };
    assert_eq!(sent_within(&mut fixture, 2_000), 0, "no instance is known");
    list(&mut fixture, "me");
    assert_eq!(sent_within(&mut fixture, 2_900), 0, "the list still grows");
    assert!(sent_within(&mut fixture, 2_000) > 0, "the list is complete");
    list(&mut fixture, "another");
    assert!(
        sent_within(&mut fixture, 2_000) > 0,
        "the list was complete before"
    );
}

#[test]
fn a_split_distributes_requests_by_weight() {
    let part = |service: &str, weight| WeightedService {
        service: String::from(service),
        weight,
    };
    let parts = vec![part("shard-0", 3.0), part("shard-1", 1.0)];
    let split_route = vec![route(
        "split",
        "/look-up/",
        TargetServices::Split(parts),
        true,
    )];
    let mut fixture = Fixture::with_routes("me", split_route);
    let mut first_service_count = 0;
    for _ in 0..200 {
        fixture.start(LOOK_UP_PATH);
        let sent = fixture.take_sent_calls();
        let first_service_calls = sent
            .iter()
            .filter(|(_, upstream_id)| upstream_id.starts_with("shard-0"));
        first_service_count += first_service_calls.count();
        fixture.answer_all(sent);
    }
    assert!(
        (146..=154).contains(&first_service_count),
        "{first_service_count} of 200"
    );
}

#[test]
fn a_disconnected_caller_cancels_only_idempotent_requests() {
    let mut fixture = Fixture::new();
    let search = fixture.start(SEARCH_PATH);
    let booking = fixture.start(BOOK_PATH);
    fixture.take_sent_calls();
    let (now, commands) = (fixture.now, &mut fixture.commands);
    assert!(fixture
        .dispatcher
        .handle_caller_disconnect(now, search, commands));
    let cancelled = commands
        .iter()
        .filter(|command| matches!(command, Command::Cancel { .. }));
    assert_eq!(cancelled.count(), SHARD_COUNT);
    commands.clear();
    assert!(!fixture
        .dispatcher
        .handle_caller_disconnect(now, booking, commands));
    assert!(commands.is_empty());
    assert_eq!(fixture.dispatcher.pending_requests(), 1);
}

#[test]
fn a_search_with_unreachable_shards_is_refused_except_for_periodic_probes() {
    let mut fixture = Fixture::new();
    // Half of the shards are unreachable because of a network partition.
    let is_unreachable = |upstream_id: &str| {
        upstream_id.starts_with("shard-0") || upstream_id.starts_with("shard-1")
    };
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..100 {
        let id = fixture.start(SEARCH_PATH);
        let calls = fixture.take_sent_calls();
        if calls.is_empty() {
            refused += 1;
            assert!(matches!(
                fixture.take_result(id),
                Some(RequestResult::NotRun { .. })
            ));
        } else {
            sent += 1;
        }
        let mut open_calls = calls;
        while let Some((call, upstream_id)) = open_calls.pop() {
            let end = if is_unreachable(&upstream_id) {
                CallOutcome::NotSent
            } else {
                success(&call.to_string(), &record(1))
            };
            fixture.end_call(call, end);
            open_calls.extend(fixture.take_sent_calls());
        }
        fixture.advance(50);
    }
    assert!(refused > 60, "{refused} refused, {sent} sent");
    assert!(sent > 15, "too few probes of the unreachable shards");
    // Searches are served again once the shards are reachable.
    fixture.advance(1_600);
    let id = fixture.start(SEARCH_PATH);
    for (call, _) in fixture.take_sent_calls() {
        fixture.end_call(call, success(&call.to_string(), &record(1)));
    }
    assert!(matches!(
        fixture.take_result(id),
        Some(RequestResult::Merged { missing: 0, .. })
    ));
}

/// Load pattern: the registrations of most upstreams have lapsed during an outage of the store, and
/// return one by one while callers wait.
#[test]
fn a_search_without_registered_upstreams_is_refused_and_never_sent() {
    let mut fixture = Fixture::new();
    let now = fixture.now;
    for service in ["shard-0", "shard-1"] {
        for zone in ["north-a", "south-b"] {
            let upstreams = fixture.dispatcher.upstreams_mut();
            upstreams.unregister(now, &upstream(service, zone).id);
        }
    }
    fixture.advance(2_000);
    for _ in 0..5 {
        let id = fixture.start(SEARCH_PATH);
        assert!(fixture.take_sent_calls().is_empty());
        let request_result = fixture.take_result(id);
        let is_refused = matches!(request_result, Some(RequestResult::NotRun { .. }));
        assert!(is_refused, "{request_result:?}");
        fixture.advance(300);
    }
}

/// Load pattern: an upstream of the own region is slightly slower by chance than one of another
/// region. Sending the request there would move its complete answer across regions.
#[test]
fn a_single_request_stays_in_its_region_while_its_target_latency_allows() {
    let mut fixture = Fixture::new();
    for _ in 0..5 {
        fixture.start(LOOK_UP_PATH);
        let sent = fixture.take_sent_calls();
        assert_eq!(sent[0].1, "ledger@north-a");
        fixture.advance(60);
        let hedges = fixture.take_sent_calls();
        fixture.answer_all(sent);
        fixture.answer_all(hedges);
    }
    // A failing upstream of the own region is no longer preferred.
    for _ in 0..2 {
        fixture.start(LOOK_UP_PATH);
        while let Some((call, upstream_id)) = fixture.take_sent_calls().pop() {
            let end = match upstream_id.as_str() {
                "ledger@north-a" => failure(),
                _ => success("stamp", b""),
            };
            fixture.end_call(call, end);
        }
    }
    fixture.start(LOOK_UP_PATH);
    assert_eq!(fixture.take_sent_calls()[0].1, "ledger@south-b");
}
