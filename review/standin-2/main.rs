//! Cases of the second review, each with its own small deployment on loopback addresses.
//!
//! `cases NAME FOLDER` runs a case and writes `record.txt` into the folder. The exit status is 1 if
//! the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod client;
mod cold;
mod config;
mod daemon;
mod earlier_start;
mod history;
mod http;
mod json;
mod record;
mod removed_entry;
mod replica;
mod slow_link;
mod stale_config;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let verdict = std::panic::catch_unwind(|| match name.as_str() {
        "history" => history::run(folder, has_trouble),
        "stale-config" => stale_config::run(folder, has_trouble),
        "removed-entry" => removed_entry::run(folder, has_trouble),
        "slow-link" => slow_link::run(folder, has_trouble),
        "cold" => cold::run(folder, has_trouble),
        "earlier-start" => earlier_start::run(folder, has_trouble),
        _ => Verdict::NotRun,
    });
    ExitCode::from(match verdict.unwrap_or(Verdict::NotRun) {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
