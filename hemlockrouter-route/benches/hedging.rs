//! Compares hedging configurations in simulated time, at loads up to overload.
//!
//! The figures are the same in every run, since nothing here depends on the machine.

use hemlockrouter_route::SearcherConfig;

use crate::support::sim;
use crate::support::sim::Fault;
use crate::support::sim::Scenario;

#[path = "../tests/support/mod.rs"]
mod support;

/// Hedging configuration to compare.
struct HedgingVariant {
    name: &'static str,
    adjust_config: fn(SearcherConfig) -> SearcherConfig,
}

fn variant(
    name: &'static str,
    adjust_config: fn(SearcherConfig) -> SearcherConfig,
) -> HedgingVariant {
    HedgingVariant {
        name,
        adjust_config,
    }
}

fn main() {
    let variants = [
        variant("defaults", |config| config),
        variant("no hedging", |config| config.max_hedge_share(0.0)),
        variant("one hedge a shard", |config| config.max_hedges_per_shard(1)),
        variant("quantile 0.95", |config| config.hedge_quantile(0.95)),
        variant("quantile 0.96", |config| config.hedge_quantile(0.96)),
        variant("quantile 0.97", |config| config.hedge_quantile(0.97)),
        variant("quantile 0.98", |config| config.hedge_quantile(0.98)),
        variant("quantile 0.99", |config| config.hedge_quantile(0.99)),
        variant("budget of 1 %", |config| config.max_hedge_share(0.01)),
    ];
    let mut runs = Vec::new();
    for variant in &variants {
        for straggler_share in [0.0, 0.01, 0.03] {
            let name = format!("{}, {:.0} %", variant.name, 100.0 * straggler_share);
            let scenario = Scenario {
                adjust_config: variant.adjust_config,
                straggler_share,
                ..base_scenario(270, 4_000)
            };
            runs.push((name, scenario));
        }
    }
    for load in [0.3, 0.6, 0.7, 0.8, 1.0, 1.5] {
        let scenario = Scenario {
            load,
            straggler_share: 0.01,
            ..base_scenario(50, 10_000)
        };
        runs.push((format!("50 shards, load {load}"), scenario));
    }
    run_and_print(runs);
}

fn base_scenario(shards: u32, queries: u64) -> Scenario {
    Scenario {
        shards,
        queries,
        load: 0.3,
        straggler_share: 0.0,
        cold_ms: 0,
        deadline_ms: 500,
        adjust_config: |config| config,
        fault: Fault::None,
    }
}

/// Runs the scenarios in parallel and prints a line for each.
fn run_and_print(runs: Vec<(String, Scenario)>) {
    let mut text = String::new();
    std::thread::scope(|scope| {
        let start = |(name, scenario)| (name, scope.spawn(move || sim::run(scenario)));
        let started: Vec<_> = runs.into_iter().map(start).collect();
        for (name, report) in started {
            let report = report.join().expect("a scenario runs to its end");
            report.write_line(&name, &mut text);
        }
    });
    println!("{text}");
}
