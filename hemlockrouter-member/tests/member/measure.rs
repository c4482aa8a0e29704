//! Measurements in virtual time, checked against the stated targets: a new owner within 10 s, a
//! release note in force within 11 s, and 2 KB a second of control traffic for each node.

use std::fmt::Write;

use hemlockrouter_member::Config;
use hemlockrouter_types::prelude::*;

use crate::net::SimulatedNetwork;

/// Longest time that an upstream may be without an owner, in milliseconds. Service has to be
/// restored within 10 s.
const TAKE_OVER_BOUND_MS: u64 = 10_000;

/// Longest time until a release note must be in force on every instance, in milliseconds.
const NOTE_IN_FORCE_BOUND_MS: u64 = 11_000;

/// Largest rate of control traffic that a node may send, in bytes per second.
const CONTROL_BYTES_PER_SECOND_MAX: u64 = 2_048;

/// Resolution of the measured times, in milliseconds.
const MEASUREMENT_STEP_MS: u64 = 50;

/// Fault or shutdown of the instance that owns an upstream.
#[derive(Clone, Copy, Debug)]
enum OwnerFault {
    Killed,
    HostLost,
    Frozen,
    Leaves,
}

fn established_network(
    zones: usize,
    instances_per_zone: usize,
    upstreams: usize,
    seed: u64,
) -> SimulatedNetwork {
    let mut net = SimulatedNetwork::new(Config::default(), zones, upstreams, seed);
    net.start_established(zones, instances_per_zone);
    net
}

/// Applies a fault to an owner, and returns the longest time that one of its upstreams was without
/// an owner, in milliseconds.
fn take_over_ms(net: &mut SimulatedNetwork, fault: OwnerFault) -> Option<u64> {
    let upstreams = net.upstreams();
    let node = net.holder(upstreams[0])?;
    let owned: Vec<UpstreamKey> = upstreams
        .into_iter()
        .filter(|upstream| net.holder(*upstream) == Some(node))
        .collect();
    let start = net.now;
    match fault {
        OwnerFault::Killed => net.nodes[node].is_up = false,
        OwnerFault::HostLost => {
            net.faults.dead_hosts_refuse = false;
            net.nodes[node].is_up = false;
        }
        OwnerFault::Frozen => net.nodes[node].frozen_until = start + 120_000,
        OwnerFault::Leaves => net.call_member(node, |member, now, out| member.leave(now, out)),
    }
    let is_taken_over = |net: &SimulatedNetwork, upstream: &UpstreamKey| {
        let holder = net.holder(*upstream);
        holder.is_some_and(|holder| holder != node)
    };
    while net.now < start + 100_000 {
        if owned.iter().all(|upstream| is_taken_over(net, upstream)) {
            return Some(net.now - start);
        }
        net.run_for(MEASUREMENT_STEP_MS);
    }
    None
}

/// Returns the longest take-over over five seeds, in milliseconds, or `None` if an upstream was
/// without an owner for 100 s.
fn worst_take_over_ms<F>(instances_per_zone: usize, fault: OwnerFault, prepare: F) -> Option<u64>
where
    F: Fn(&mut SimulatedNetwork),
{
    (1..=5)
        .map(|seed| {
            let mut net = established_network(1, instances_per_zone, 4 * instances_per_zone, seed);
            prepare(&mut net);
            net.run_for(1_000 + 137 * seed);
            take_over_ms(&mut net, fault)
        })
        .collect::<Option<Vec<u64>>>()?
        .into_iter()
        .max()
}

#[test]
fn upstreams_get_a_new_owner_within_ten_seconds() {
    let mut report = String::new();
    for instances_per_zone in [2, 3, 9, 27] {
        for fault in [
            OwnerFault::Killed,
            OwnerFault::HostLost,
            OwnerFault::Frozen,
            OwnerFault::Leaves,
        ] {
            let undisturbed = worst_take_over_ms(instances_per_zone, fault, |_| {});
            let late_list = worst_take_over_ms(instances_per_zone, fault, |net| {
                net.faults.list_lag_ms = 30_000;
            });
            let no_platform = worst_take_over_ms(instances_per_zone, fault, |net| {
                net.faults.is_list_up = false;
                net.faults.is_store_up = false;
            });
            writeln!(
                report,
                "{instances_per_zone} in the zone, {fault:?}: {undisturbed:?}, \
                 list 30 s behind {late_list:?}, store and list down {no_platform:?}"
            )
            .expect("writing to a string succeeds");
            // Neither of two instances can distinguish a lost host or a frozen process from a
            // partition, so only the store can break the tie.
            let is_decidable =
                instances_per_zone > 2 || matches!(fault, OwnerFault::Killed | OwnerFault::Leaves);
            for (measured, is_store_up) in
                [(undisturbed, true), (late_list, true), (no_platform, false)]
            {
                let is_in_time = measured.is_some_and(|ms| ms <= TAKE_OVER_BOUND_MS);
                assert!(is_in_time || !(is_decidable || is_store_up), "{report}");
            }
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn dead_instance_is_detected_within_ten_seconds() {
    let mut report = String::new();
    for instances_per_zone in [3, 9, 27, 103] {
        let mut net = established_network(1, instances_per_zone, 1, 7);
        net.faults.dead_hosts_refuse = false;
        net.nodes[0].is_up = false;
        let start = net.now;
        let id = net.nodes[0].peer.id;
        let mut first_ms = None;
        let mut last_ms = None;
        while last_ms.is_none() && net.now < start + 60_000 {
            net.run_for(MEASUREMENT_STEP_MS);
            let nodes_seeing_dead = net.count_nodes_seeing_dead(id);
            if nodes_seeing_dead > 0 {
                first_ms.get_or_insert(net.now - start);
            }
            if nodes_seeing_dead == instances_per_zone - 1 {
                last_ms = Some(net.now - start);
            }
        }
        writeln!(
            report,
            "{instances_per_zone} in the zone: dead for the first {first_ms:?}, for all {last_ms:?}"
        )
        .expect("writing to a string succeeds");
        assert!(
            last_ms.is_some_and(|ms| ms <= TAKE_OVER_BOUND_MS),
            "{report}"
        );
    }
    insta::assert_snapshot!(report);
}

#[test]
fn five_percent_loss_causes_no_false_deaths() {
    let mut report = String::new();
    for instances_per_zone in [3, 9, 27] {
        let mut net = established_network(1, instances_per_zone, 4 * instances_per_zone, 3);
        net.faults.loss_percent = 5;
        let take_overs_before = net.take_over_count;
        let mut samples_with_false_death = 0;
        for _ in 0..6_000 {
            net.run_for(100);
            samples_with_false_death += usize::from(net.count_false_deaths() > 0);
        }
        let take_over_count = net.take_over_count - take_overs_before;
        writeln!(
            report,
            "{instances_per_zone} in the zone, 600 s: a living one was called dead in \
             {samples_with_false_death} of 6000 samples, {take_over_count} needless take-overs"
        )
        .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn control_traffic_stays_below_two_kib_per_second() {
    let mut report = String::new();
    for (zones, instances_per_zone, upstreams) in [(3, 3, 40), (3, 9, 40), (1, 103, 430)] {
        let mut net = established_network(zones, instances_per_zone, upstreams, 11);
        net.run_for(60_000);
        let rates: Vec<u64> = net.nodes.iter().map(|node| node.sent_bytes / 60).collect();
        let mean = rates.iter().sum::<u64>() / rates.len() as u64;
        let highest = rates.iter().max().copied().unwrap_or_default();
        let messages: u64 = net.nodes.iter().map(|node| node.sent_messages).sum();
        let messages = messages as f64 / 60.0 / net.nodes.len() as f64;
        writeln!(
            report,
            "{zones} zones of {instances_per_zone}, {upstreams} upstreams each: \
             mean {mean} B/s, most {highest} B/s, {messages:.2} messages/s"
        )
        .expect("writing to a string succeeds");
        assert!(highest <= CONTROL_BYTES_PER_SECOND_MAX, "{report}");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn note_is_in_force_everywhere_within_eleven_seconds() {
    let mut report = String::new();
    let mut net = established_network(7, 103, 4, 13);
    net.faults.loss_percent = 1;
    let mut worst_ms = 0;
    for _ in 0..5 {
        net.submit_notes(1);
        let start = net.now;
        while !net.is_last_note_applied() && net.now < start + 60_000 {
            net.run_for(MEASUREMENT_STEP_MS);
        }
        worst_ms = worst_ms.max(net.now - start);
        net.run_for(5_000);
    }
    net.run_for(30_000);
    net.reset_counters();
    net.run_for(30_000);
    let rates: Vec<u64> = net.nodes.iter().map(|node| node.sent_bytes / 30).collect();
    let mean = rates.iter().sum::<u64>() / rates.len() as u64;
    let highest = rates.iter().max().copied().unwrap_or_default();
    let watchers = net.nodes.iter().filter(|node| node.member.is_watcher());
    let watchers = watchers.count();
    writeln!(
        report,
        "721 instances in 7 zones, 1 % loss, 5 notes: in force everywhere after {worst_ms} ms at \
         worst, {watchers} watchers; without leases, mean {mean} B/s, most {highest} B/s"
    )
    .expect("writing to a string succeeds");
    assert!(worst_ms <= NOTE_IN_FORCE_BOUND_MS, "{report}");
    insta::assert_snapshot!(report);
}

/// Reconnects a zone that was cut off for ten minutes, and measures the messages and take-overs
/// that follow.
#[test]
fn reconnected_zone_catches_up_within_thirty_seconds() {
    let mut net = established_network(3, 27, 40, 17);
    let undisturbed = net.messages_in_busiest_second(30);
    for node in net
        .nodes
        .iter_mut()
        .filter(|node| node.peer.zone == "zone-0")
    {
        node.partition_side = 50;
    }
    net.faults.cut_from_platform.insert("zone-0".to_owned());
    net.submit_notes(1);
    net.run_for(600_000);
    let take_overs_before = net.take_over_count;
    for node in &mut net.nodes {
        node.partition_side = 0;
    }
    net.faults.cut_from_platform.clear();
    let start = net.now;
    let after_reconnection = net.messages_in_busiest_second(30);
    let report = format!(
        "3 zones of 27, messages in the busiest second: calm {undisturbed}, \
         after the cut {after_reconnection}; take-overs {}, everyone has the note: {}",
        net.take_over_count - take_overs_before,
        net.is_last_note_applied()
    );
    assert!(
        net.is_last_note_applied() && net.now - start <= 30_000,
        "{report}"
    );
    insta::assert_snapshot!(report);
}
