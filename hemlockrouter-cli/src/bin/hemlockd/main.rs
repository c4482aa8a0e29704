//! `hemlockd`, the daemon: one instance of the tier, in every role.

mod args;
mod logging;

use std::fs;
use std::process::ExitCode;
use std::thread;

use eyre::WrapErr;
use hemlockrouter::Ended;
use hemlockrouter::Instance;
use hemlockrouter_config::Settings;
use log::info;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::args::Args;

/// Exit codes, as documented in `docs/OPERATING.md`.
const EXIT_TIMED_OUT: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_SETTINGS: u8 = 3;
const EXIT_START: u8 = 4;

fn main() -> ExitCode {
    let args = match Args::parse() {
        Ok(args) => args,
        Err(err) => return fail(&err, EXIT_USAGE),
    };
    let (path, check_only) = match args {
        Args::Help => {
            print!("{}", args::HELP);
            return ExitCode::SUCCESS;
        }
        Args::Version => {
            println!("hemlockd {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Args::Run { settings } => (settings, false),
        Args::Check { settings } => (settings, true),
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(err) => return fail(&err, EXIT_SETTINGS),
    };
    let keys = match settings.load_keys() {
        Ok(keys) => keys,
        Err(err) => return fail(&err.into(), EXIT_SETTINGS),
    };
    if check_only {
        println!("{path}: the settings are in order");
        return ExitCode::SUCCESS;
    }
    logging::start(&settings.log);
    match Instance::start(settings, keys) {
        Ok(instance) => run(instance),
        Err(err) => fail(&err, EXIT_START),
    }
}

fn read_settings(path: &str) -> eyre::Result<Settings> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("can't read {path}"))?;
    Ok(Settings::parse(&text, path)?)
}

/// Runs the instance until a signal ends it.
fn run(instance: Instance) -> ExitCode {
    info!(
        instance = instance.id().to_string(),
        callers = instance.callers_address().to_string(),
        operators = instance.operators_address().to_string(),
        instances = instance.instances_address().to_string();
        "started"
    );
    let stopper = instance.stopper();
    let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(err) => return fail(&err.into(), EXIT_START),
    };
    thread::spawn(move || {
        for signal in signals.forever() {
            match signal {
                // Settings are read once: what changes while instances run is a release note.
                SIGHUP => info!("SIGHUP is ignored; restart the instance to read its settings"),
                _ => stopper.stop(),
            }
        }
    });
    match instance.run() {
        Ended::Finished => ExitCode::SUCCESS,
        Ended::TimedOut => ExitCode::from(EXIT_TIMED_OUT),
    }
}

fn fail(err: &eyre::Report, code: u8) -> ExitCode {
    eprintln!("hemlockd: {err:#}");
    ExitCode::from(code)
}
