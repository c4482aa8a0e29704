//! Scenarios with one fault each and a known outcome. [`SimulatedNetwork`] checks its invariants in
//! all of them.

use hemlockrouter_member::Command;
use hemlockrouter_member::Config;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::lease::LeaseMessage;
use hemlockrouter_wire::Message;

use crate::net::SimulatedNetwork;

/// Time within which a zone must have recovered from a fault, in milliseconds.
const RECOVERY_TIME_MS: u64 = 20_000;

fn all_owned(net: &SimulatedNetwork) -> bool {
    let upstreams = net.upstreams();
    upstreams
        .iter()
        .all(|upstream| net.holder(*upstream).is_some())
}

/// Tests that three instances that start at once, with each other as seeds, come to own all
/// upstreams.
#[test]
fn seed_instances_own_all_upstreams() {
    let mut net = SimulatedNetwork::new(Config::default(), 1, 12, 1);
    for address in 0..3 {
        net.start(0, address, &[0, 1, 2]);
    }
    net.run_for(RECOVERY_TIME_MS);
    assert!(all_owned(&net));
}

/// Tests that members that receive no rumours still agree on the owners of upstreams. Rumours are
/// sent only a few times, and in a small zone all of them can be sent to other members.
#[test]
fn members_without_rumours_agree_on_owners() {
    let config = Config::default()
        .rumours_per_message(0)
        .compare_interval_ms(600_000);
    let mut net = SimulatedNetwork::new(config, 1, 12, 1);
    for address in 0..3 {
        net.start(0, address, &[0, 1, 2]);
    }
    net.run_for(RECOVERY_TIME_MS);
    for upstream in net.upstreams() {
        let holder = net.holder(upstream).map(|node| net.nodes[node].peer.id);
        for node in &net.nodes {
            assert_eq!(node.member.owner_of(upstream), holder, "{upstream}");
        }
    }
}

/// Tests that two new instances that are not on the platform's list yet wait for it, although all
/// seeds refuse connections. An instance that assumed it was the only one would own every upstream.
#[test]
fn unlisted_new_instances_own_nothing() {
    let mut net = SimulatedNetwork::new(Config::default(), 1, 12, 2);
    net.faults.list_lag_ms = 30_000;
    net.run_for(500);
    for address in [8, 9] {
        net.start(0, address, &[0, 1, 2]);
    }
    net.run_for(30_000);
    let owned = net
        .upstreams()
        .iter()
        .any(|upstream| net.holder(*upstream).is_some());
    assert!(!owned, "an instance that is not listed owns an upstream");
    net.run_for(2 * RECOVERY_TIME_MS);
    assert!(all_owned(&net));
}

/// Tests that a restarted instance gets the lease on an upstream for which it ranks first, even if
/// it promised that upstream to another instance while it was joining.
#[test]
fn restarted_instance_gets_upstreams_it_had_promised() {
    for seed in 0..8 {
        let mut net = SimulatedNetwork::new(Config::default(), 1, 12, seed);
        for address in 0..2 {
            net.start(0, address, &[0, 1]);
        }
        net.run_for(RECOVERY_TIME_MS);
        net.nodes[0].is_up = false;
        net.start(0, 0, &[0, 1]);
        net.run_for(2 * RECOVERY_TIME_MS);
        for upstream in net.upstreams() {
            let holder = net.holder(upstream).map(|holder| net.nodes[holder].peer.id);
            let wanted = net.nodes[1].member.owner_of(upstream);
            assert!(
                holder.is_some() && holder == wanted,
                "seed {seed}, upstream {upstream}"
            );
        }
    }
}

/// Tests that a frozen owner has no lease when it resumes, and that it later gets leases again.
#[test]
fn frozen_owner_resumes_without_a_lease() {
    for frozen_ms in [3_000, 10_000, 60_000] {
        let mut net = SimulatedNetwork::new(Config::default(), 1, 12, 5);
        net.start_established(1, 3);
        net.nodes[0].frozen_until = net.now + frozen_ms;
        net.run_for(frozen_ms + RECOVERY_TIME_MS);
        assert!(all_owned(&net));
        let owns = |upstream| net.holder(upstream) == Some(0);
        assert!(
            net.upstreams().into_iter().any(owns),
            "frozen for {frozen_ms} ms"
        );
    }
}

/// Tests that an instance that has ended gracefully does not delay the joining of a new instance.
#[test]
fn ended_instance_does_not_delay_joining() {
    let mut net = SimulatedNetwork::new(Config::default(), 1, 12, 6);
    net.start_established(1, 3);
    net.call_member(0, |member, now, out| member.leave(now, out));
    net.run_for(1_000);
    net.start(0, 7, &[]);
    net.run_for(RECOVERY_TIME_MS);
    let new_node = net.nodes.len() - 1;
    let owns = |upstream| net.holder(upstream) == Some(new_node);
    assert!(net.upstreams().into_iter().any(owns));
}

/// Tests that a lease runs from when the request was sent: an answer that took two seconds does not
/// extend the lease.
#[test]
fn slow_answer_does_not_extend_the_lease() {
    let mut net = SimulatedNetwork::new(Config::default(), 1, 12, 9);
    net.start_established(1, 3);
    let mut member = net.replacement_member(0);
    let ids: Vec<InstanceId> = net.nodes.iter().map(|node| node.peer.id).collect();
    let mut out = Vec::new();
    let mut now = Time::ZERO;
    let requested = loop {
        now = now + 100;
        assert!(
            now < Time::from_ms(RECOVERY_TIME_MS),
            "no lease request was sent"
        );
        for id in &ids[1..] {
            member.record_heartbeat(now, *id);
        }
        out.clear();
        member.tick(now, &mut out);
        if let Some(requested) = out.iter().find_map(requested_upstreams) {
            break requested;
        }
    };
    let answer = LeaseMessage::Answer {
        sent_at: now,
        config: ConfigNumber(1),
        granted: requested,
        refused: Vec::new(),
    };
    out.clear();
    member.receive_lease(now + 2_000, ids[1], answer, &mut out);
    let lease_ends: Vec<Time> = out.iter().filter_map(held_until).collect();
    assert!(!lease_ends.is_empty());
    assert!(
        lease_ends.iter().all(|end| *end == now + 6_500),
        "{lease_ends:?}"
    );
}

/// Tests that a release that arrives after a later request of the same sender does not end the
/// later promise.
#[test]
fn late_release_does_not_end_a_newer_promise() {
    let mut net = SimulatedNetwork::new(Config::default(), 1, 12, 10);
    net.start_established(1, 3);
    let mut guard = net.replacement_member(0);
    let (first, second) = (net.nodes[1].peer.id, net.nodes[2].peer.id);
    let upstreams = vec![net.upstreams()[0]];
    let config = ConfigNumber(1);
    let request = |sent_ms| LeaseMessage::Ask {
        sent_at: Time::from_ms(sent_ms),
        config,
        upstreams: upstreams.clone(),
    };
    let release = LeaseMessage::Release {
        sent_at: Time::from_ms(200),
        config,
        upstreams: upstreams.clone(),
    };
    let now = Time::from_ms(1_000);
    let mut out = Vec::new();
    guard.receive_lease(now, first, request(100), &mut out);
    guard.receive_lease(now, first, request(300), &mut out);
    guard.receive_lease(now, first, release, &mut out);
    out.clear();
    guard.receive_lease(now, second, request(400), &mut out);
    let is_refused = out.iter().any(|command| match command {
        Command::Send {
            message: Message::Lease(LeaseMessage::Answer { refused, .. }),
            ..
        } => refused.iter().any(|refusal| refusal.holder == first),
        _ => false,
    });
    assert!(is_refused, "{out:?}");
}

fn requested_upstreams(command: &Command) -> Option<Vec<UpstreamKey>> {
    match command {
        Command::Send {
            message: Message::Lease(LeaseMessage::Ask { upstreams, .. }),
            ..
        } => Some(upstreams.clone()),
        _ => None,
    }
}

fn held_until(command: &Command) -> Option<Time> {
    match command {
        Command::HoldLease { until, .. } => Some(*until),
        _ => None,
    }
}
