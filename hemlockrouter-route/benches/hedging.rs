//! Compares hedging configurations in simulated time, at loads up to overload.
//!
//! The figures are the same in every run, since nothing here depends on the machine.

use hemlockrouter_route::Config;

use crate::support::sim;
use crate::support::sim::Fault;
use crate::support::sim::Scenario;

#[path = "../tests/support/mod.rs"]
mod support;

/// Hedging configuration to compare.
struct Choice {
    name: &'static str,
    tune: fn(Config) -> Config,
}

fn choice(name: &'static str, tune: fn(Config) -> Config) -> Choice {
    Choice { name, tune }
}

fn main() {
    let choices = [
        choice("defaults", |config| config),
        choice("no hedging", |config| config.hedge_share(0.0)),
        choice("one hedge a shard", |config| config.hedges_per_shard(1)),
        choice("quantile 0.95", |config| config.hedge_quantile(0.95)),
        choice("quantile 0.96", |config| config.hedge_quantile(0.96)),
        choice("quantile 0.97", |config| config.hedge_quantile(0.97)),
        choice("quantile 0.98", |config| config.hedge_quantile(0.98)),
        choice("quantile 0.99", |config| config.hedge_quantile(0.99)),
        choice("budget of 1 %", |config| config.hedge_share(0.01)),
    ];
    let mut runs = Vec::new();
    for choice in &choices {
        for straggler_share in [0.0, 0.01, 0.03] {
            let name = format!("{}, {:.0} %", choice.name, 100.0 * straggler_share);
            let scenario = Scenario {
                tune: choice.tune,
                straggler_share,
                ..base(270, 4_000)
            };
            runs.push((name, scenario));
        }
    }
    for load in [0.3, 0.6, 0.7, 0.8, 1.0, 1.5] {
        let scenario = Scenario {
            load,
            straggler_share: 0.01,
            ..base(50, 10_000)
        };
        runs.push((format!("50 shards, load {load}"), scenario));
    }
    print(runs);
}

fn base(shards: u32, queries: u64) -> Scenario {
    Scenario {
        shards,
        queries,
        load: 0.3,
        straggler_share: 0.0,
        cold_ms: 0,
        deadline_ms: 500,
        tune: |config| config,
        fault: Fault::Nothing,
    }
}

/// Runs the scenarios in parallel and prints a line for each.
fn print(runs: Vec<(String, Scenario)>) {
    let mut text = String::new();
    std::thread::scope(|scope| {
        let start = |(name, scenario)| (name, scope.spawn(move || sim::run(scenario)));
        let started: Vec<_> = runs.into_iter().map(start).collect();
        for (name, report) in started {
            let report = report.join().expect("a scenario runs to its end");
            report.line(&name, &mut text);
        }
    });
    println!("{text}");
}
