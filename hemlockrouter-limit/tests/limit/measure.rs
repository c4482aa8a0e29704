//! Simulations in virtual time that compare measured results with target bounds.

use std::fmt::Write;

use hemlockrouter_limit::Config;
use hemlockrouter_limit::LimitGrowth;
use hemlockrouter_limit::QueueOrder;

use crate::fake_upstream::FakeUpstreamSpec;
use crate::simulation::CustomerLoad;
use crate::simulation::Simulation;

const SEED: u64 = 7;

/// Returns the sub-requests per second that all slots of `spec` can serve.
fn capacity_per_second(spec: &FakeUpstreamSpec) -> f64 {
    f64::from(spec.slots) * 1_000.0 / f64::from(spec.warm_ms)
}

/// Runs until the upstream is warm and the limit allows all slots.
fn warm_simulation(
    config: Config,
    spec: FakeUpstreamSpec,
    loads: &[CustomerLoad],
    seed: u64,
) -> Simulation {
    let mut simulation = Simulation::new(config, spec, loads, seed);
    simulation.run(4_000);
    assert_eq!(simulation.limit(), spec.slots, "warm after 4 s");
    simulation.clear_results();
    simulation
}

/// Target: within 500 ms after the upstream is warm again, its owner uses all slots. The upstream
/// is never overloaded meanwhile.
#[test]
fn full_limit_is_reached_within_500_ms_of_warm_up() {
    let mut table =
        String::from("slots cold growth  falls full_after_ms in_time_10s_% cold_turns\n");
    for (slots, cold_slots) in [(2, 1), (6, 2), (72, 8)] {
        for growth in [LimitGrowth::Double, LimitGrowth::Add, LimitGrowth::Jump] {
            let mut spec = FakeUpstreamSpec::new(slots, cold_slots);
            spec.capacity_ramp_answers = 20 * slots;
            let loads = [CustomerLoad::new(0.45 * capacity_per_second(&spec)); 2];
            let mut simulation = warm_simulation(Config::new().growth(growth), spec, &loads, SEED);
            simulation.fake_upstream.restart(simulation.now, 100);
            let from = simulation.now;
            let warm_ms =
                simulation.run_until_done(60_000, |simulation| !simulation.fake_upstream.is_cold());
            assert!(warm_ms.is_some(), "the fake upstream becomes warm");
            let full_limit_after_ms =
                simulation.run_until_done(9_000, |simulation| simulation.limit() == spec.slots);
            simulation.run(10_000 - simulation.now.ms_since(from));
            let in_time: u64 = simulation
                .results
                .iter()
                .map(|customer_results| customer_results.in_time)
                .sum();
            let offered: u64 = simulation
                .results
                .iter()
                .map(|customer_results| customer_results.offered)
                .sum();
            let full_limit_after =
                full_limit_after_ms.map_or("never".to_owned(), |ms| ms.to_string());
            writeln!(
                table,
                "{slots:5} {cold_slots:4} {:7} {:5} {full_limit_after:>13} {:13} {:10}",
                format!("{growth:?}"),
                simulation.fake_upstream.overloads,
                100 * in_time / offered,
                simulation.cold_starts,
            )
            .expect("a string can be written to");
            if growth == LimitGrowth::Double {
                assert_eq!(simulation.fake_upstream.overloads, 0);
                assert!(
                    full_limit_after_ms.is_some_and(|ms| ms <= 500),
                    "{full_limit_after} ms at {slots} slots"
                );
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// Target: an owner without any measurements of a warm upstream uses all slots within 3 s. If the
/// cold start takes 8 s, which is longer than the settling time, the upstream is overloaded at most
/// twice and all slots are used within 30 s.
#[test]
fn unknown_upstream_reaches_full_limit_in_time() {
    let mut table = String::from("slots cold upstream   falls full_after_ms\n");
    for (slots, cold_slots) in [(2, 1), (6, 2)] {
        for (name, warm_after_ms, overloads_max, full_limit_max_ms) in [
            ("warm", 0, 0, 3_000),
            ("cold 1 s", 1_000, 0, 3_000),
            ("cold 8 s", 8_000, 2, 30_000),
        ] {
            let mut spec = FakeUpstreamSpec::new(slots, cold_slots);
            spec.warm_after_ms = warm_after_ms;
            spec.warm_answers = if warm_after_ms == 0 { 1 } else { 10 };
            let loads = [CustomerLoad::new(0.45 * capacity_per_second(&spec)); 2];
            let mut simulation = Simulation::new(Config::new(), spec, &loads, SEED);
            let uses_all_slots = |simulation: &Simulation| {
                simulation.limit() == spec.slots && !simulation.fake_upstream.is_cold()
            };
            let full_limit_after_ms = simulation.run_until_done(60_000, uses_all_slots);
            let full_limit_after_ms =
                full_limit_after_ms.expect("an upstream gets back to all its slots");
            let overloads = simulation.fake_upstream.overloads;
            writeln!(
                table,
                "{slots:5} {cold_slots:4} {name:9} {overloads:7} {full_limit_after_ms:13}"
            )
            .expect("a string can be written to");
            assert!(
                overloads <= overloads_max && full_limit_after_ms <= full_limit_max_ms,
                "{table}"
            );
        }
    }
    insta::assert_snapshot!(table);
}

/// Target: an upstream that begins a cold start without announcing it is overloaded at most twice
/// before its owner keeps to the cold slots, for any number of customers.
#[test]
fn unannounced_cold_start_overloads_at_most_twice() {
    let mut table = String::from("slots cold customers  falls noticed_after_ms over_bound\n");
    for (slots, cold_slots) in [(2, 1), (6, 2), (72, 8)] {
        for customers in [1, 10] {
            let spec = FakeUpstreamSpec::new(slots, cold_slots);
            let loads =
                vec![
                    CustomerLoad::new(0.9 * capacity_per_second(&spec) / f64::from(customers));
                    customers as usize
                ];
            let mut simulation = warm_simulation(Config::new(), spec, &loads, SEED);
            simulation.fake_upstream.begin_cold_start(simulation.now);
            let detected_after_ms = simulation.run_until_done(10_000, Simulation::is_cold);
            let detected_after_ms = detected_after_ms.expect("the cold start is detected");
            simulation.run(900);
            let overloads = simulation.fake_upstream.overloads;
            writeln!(
                table,
                "{slots:5} {cold_slots:4} {customers:9} {overloads:6} {detected_after_ms:16} {:10}",
                simulation.dispatches_over_cold_slots,
            )
            .expect("a string can be written to");
            assert!(overloads <= 2, "{table}");
        }
    }
    insta::assert_snapshot!(table);
}

/// Target: with 1 % stragglers that take 20 times longer, a warm upstream is never treated as cold
/// in 60 s.
#[test]
fn stragglers_do_not_trigger_a_cold_start() {
    let mut table = String::from("slots  in_time_% p99_ms cold_turns\n");
    for slots in [2, 6] {
        let mut spec = FakeUpstreamSpec::new(slots, 1);
        spec.stragglers_per_mille = 10;
        let loads = [CustomerLoad::new(0.3 * capacity_per_second(&spec)); 2];
        let mut simulation = warm_simulation(Config::new(), spec, &loads, SEED);
        simulation.run(60_000);
        let customer_results = &simulation.results[0];
        writeln!(
            table,
            "{slots:5} {:10} {:6} {:10}",
            customer_results.in_time_percent(),
            customer_results.p99_ms(),
            simulation.cold_starts,
        )
        .expect("a string can be written to");
        assert_eq!(simulation.cold_starts, 0, "{table}");
    }
    insta::assert_snapshot!(table);
}

/// Target: at 150 % load, at least 95 % of the slots' time is used, and sub-requests worth at least
/// 95 % of the capacity are answered in time.
#[test]
fn overload_keeps_all_slots_busy() {
    let mut table =
        String::from("order            slots  busy_% in_time_of_capacity_% p99_ms mean_retry_ms\n");
    for order in [
        QueueOrder::FairByTime,
        QueueOrder::FairByCount,
        QueueOrder::EarliestDeadline,
        QueueOrder::FirstIn,
    ] {
        for slots in [2, 6] {
            let spec = FakeUpstreamSpec::new(slots, 1);
            let loads = [CustomerLoad::new(0.5 * capacity_per_second(&spec)); 3];
            let mut simulation = warm_simulation(Config::new().order(order), spec, &loads, SEED);
            simulation.run(20_000);
            let busy_percent = 100 * simulation.fake_upstream.busy_ms / (20_000 * u64::from(slots));
            let in_time: u64 = simulation
                .results
                .iter()
                .map(|customer_results| customer_results.in_time)
                .sum();
            let percent_of_capacity =
                (100.0 * in_time as f64 / (20.0 * capacity_per_second(&spec))) as u64;
            let customer_results = &simulation.results[0];
            writeln!(
                table,
                "{:16} {slots:5} {busy_percent:7} {percent_of_capacity:21} {:6} {:13}",
                format!("{order:?}"),
                customer_results.p99_ms(),
                customer_results.retry_delay_sum_ms / customer_results.refused.max(1),
            )
            .expect("a string can be written to");
            if order == QueueOrder::FairByTime {
                assert!(busy_percent >= 95 && percent_of_capacity >= 95, "{table}");
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// Target: a customer that needs a fifth of the capacity gets 99 of 100 answers in time while
/// another customer overloads the upstream or sends slow queries. The first customer's p99 latency
/// rises by at most two of the longest service times of the other customer.
#[test]
fn overload_of_one_customer_does_not_delay_another() {
    let mut table = String::from("order            other      in_time_% p99_ms other_in_time_%\n");
    for order in [
        QueueOrder::FairByTime,
        QueueOrder::FairByCount,
        QueueOrder::EarliestDeadline,
        QueueOrder::FirstIn,
    ] {
        let spec = FakeUpstreamSpec::new(2, 1);
        let own_load = CustomerLoad::new(0.2 * capacity_per_second(&spec));
        let other_loads = [
            ("none", CustomerLoad::new(0.000_1)),
            ("300 %", CustomerLoad::new(3.0 * capacity_per_second(&spec))),
            (
                "300 %, urgent",
                CustomerLoad {
                    deadline_ms: 100,
                    ..CustomerLoad::new(3.0 * capacity_per_second(&spec))
                },
            ),
            (
                "slow x8",
                CustomerLoad {
                    cost: 8,
                    ..CustomerLoad::new(0.5 * capacity_per_second(&spec))
                },
            ),
        ];
        let mut p99_alone_ms = None;
        for (name, other_load) in other_loads {
            let mut simulation = warm_simulation(
                Config::new().order(order),
                spec,
                &[own_load, other_load],
                SEED,
            );
            simulation.run(20_000);
            let customer_results = &simulation.results[0];
            let p99_ms = customer_results.p99_ms();
            writeln!(
                table,
                "{:16} {name:13} {:6} {p99_ms:6} {:15}",
                format!("{order:?}"),
                customer_results.in_time_percent(),
                simulation.results[1].in_time_percent(),
            )
            .expect("a string can be written to");
            let longest_ms = u64::from(spec.warm_ms * other_load.cost * 3 / 2);
            let p99_alone_ms = *p99_alone_ms.get_or_insert(p99_ms);
            if order == QueueOrder::FairByTime {
                assert!(
                    customer_results.in_time * 100 >= customer_results.offered * 99,
                    "{table}"
                );
                assert!(p99_ms <= p99_alone_ms + 2 * longest_ms, "{table}");
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// Target: under overload, sub-requests of weight 2 get twice the service of those of weight 1,
/// within 10 %.
#[test]
fn weight_two_gets_twice_the_share() {
    let mut table = String::from("slots  weight_1 weight_2\n");
    for slots in [2, 6] {
        let spec = FakeUpstreamSpec::new(slots, 1);
        let light = CustomerLoad::new(capacity_per_second(&spec));
        let heavy = CustomerLoad { weight: 2, ..light };
        let mut simulation = warm_simulation(Config::new(), spec, &[light, heavy], SEED);
        simulation.run(20_000);
        let [light, heavy] = [0, 1].map(|nth: usize| simulation.results[nth].in_time);
        writeln!(table, "{slots:5} {light:9} {heavy:8}").expect("a string can be written to");
        assert!((18..=22).contains(&(10 * heavy / light)), "{table}");
    }
    insta::assert_snapshot!(table);
}
