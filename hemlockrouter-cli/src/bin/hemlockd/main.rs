//! `hemlockd`, the daemon that runs one instance of the query tier.

mod args;
mod log_writer;
mod logging;

use std::fs;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;

use eyre::WrapErr;
use hemlockrouter::Instance;
use hemlockrouter::ShutdownOutcome;
use hemlockrouter_config::DirectSettings;
use hemlockrouter_config::DispatchMode;
use hemlockrouter_config::LoadedSettings;
use hemlockrouter_config::ProtocolName;
use hemlockrouter_config::Settings;
use hemlockrouter_corporation::Corporation;
use log::info;
use log::warn;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::args::Args;

/// The exit codes of `hemlockd`, which `docs/OPERATIONS.md` documents.
const EXIT_TIMED_OUT: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_SETTINGS: u8 = 3;
const EXIT_START: u8 = 4;
const EXIT_FAILED: u8 = 5;

fn main() -> ExitCode {
    ignore_early_reloads();
    let args = match Args::parse() {
        Ok(args) => args,
        Err(err) => return print_failure(&err, EXIT_USAGE),
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
    match read_settings(&path) {
        Ok(settings) if check_only => check_settings(&path, &settings),
        Ok(ModeSettings::Owners(settings)) => run_through_owners(settings),
        Ok(ModeSettings::Direct(settings)) => run_direct(&path, settings),
        Err(err) => print_failure(&err, EXIT_SETTINGS),
    }
}

/// The settings of an instance, in the format of its dispatch mode.
enum ModeSettings {
    Owners(Box<Settings>),
    Direct(Box<LoadedSettings>),
}

/// Keeps a SIGHUP that arrives before the instance waits for signals from ending the process.
fn ignore_early_reloads() {
    let early_reload = Arc::new(AtomicBool::new(false));
    if let Err(err) = signal_hook::flag::register(SIGHUP, early_reload) {
        eprintln!("hemlockd: can't handle SIGHUP yet: {err}");
    }
}

fn read_settings(path: &str) -> eyre::Result<ModeSettings> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("can't read {path}"))?;
    Ok(match DispatchMode::from_settings(&text, path)? {
        DispatchMode::ThroughOwners => {
            ModeSettings::Owners(Box::new(Settings::parse(&text, path)?))
        }
        DispatchMode::Direct => ModeSettings::Direct(Box::new(DirectSettings::load(&text, path)?)),
    })
}

/// Checks that every value of the settings can be used and that the keys can be loaded, and prints
/// the result.
fn check_settings(path: &str, settings: &ModeSettings) -> ExitCode {
    match settings {
        ModeSettings::Owners(settings) => {
            if let Err(err) = settings.load_keys() {
                return print_failure(&err.into(), EXIT_SETTINGS);
            }
        }
        ModeSettings::Direct(loaded) if !loaded.replaced.is_empty() => {
            for replaced in &loaded.replaced {
                eprintln!("hemlockd: {}; {} is used", replaced.error, replaced.used);
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
        ModeSettings::Direct(_) => {}
    }
    println!("{path}: the settings are in order");
    ExitCode::SUCCESS
}

/// Logs which values of the settings were replaced.
fn log_replaced(loaded: &LoadedSettings) {
    for replaced in &loaded.replaced {
        let why = replaced.error.to_string();
        warn!(target: "process", why = why, used = replaced.used.as_str(); "setting replaced");
    }
}

/// Runs an instance that dispatches through the owners of upstreams.
fn run_through_owners(settings: Box<Settings>) -> ExitCode {
    let keys = match settings.load_keys() {
        Ok(keys) => keys,
        Err(err) => return print_failure(&err.into(), EXIT_SETTINGS),
    };
    let log = match logging::start(&settings.log) {
        Ok(log) => log,
        Err(err) => return print_failure(&err.into(), EXIT_START),
    };
    let code = match Instance::start(*settings, keys) {
        Ok(instance) => run_until_signal(instance),
        Err(err) => print_failure(&err, EXIT_START),
    };
    log.flush_all();
    code
}

/// Runs an instance that dispatches to upstreams directly, and reloads its settings from `path`.
fn run_direct(path: &str, loaded: Box<LoadedSettings>) -> ExitCode {
    let settings = &loaded.settings;
    let log = match logging::start(&settings.log) {
        Ok(log) => log,
        Err(err) => return print_failure(&err.into(), EXIT_START),
    };
    log_replaced(&loaded);
    let protocol = match settings.protocol {
        ProtocolName::Corporation => Rc::new(Corporation),
    };
    let reload = || match read_settings(path)? {
        ModeSettings::Direct(loaded) => {
            logging::set_level(&loaded.settings.log);
            log_replaced(&loaded);
            Ok(loaded.settings)
        }
        ModeSettings::Owners(_) => eyre::bail!("{path}: dispatch can't be changed"),
    };
    // The instance itself notices tasks that fail.
    logging::watch_panics(|| {});
    let code = match hemlockrouter::direct::run(loaded.settings, protocol, reload) {
        Ok(ended) => exit_code(ended),
        Err(err) => print_failure(&err, EXIT_START),
    };
    log.flush_all();
    code
}

/// Runs the instance until SIGTERM or SIGINT shuts it down.
fn run_until_signal(instance: Instance) -> ExitCode {
    info!(
        instance = instance.id().to_string(),
        callers = instance.callers_address().to_string(),
        operators = instance.operators_address().to_string(),
        instances = instance.instances_address().to_string();
        "started"
    );
    let has_panicked = Arc::new(AtomicBool::new(false));
    let panic_flag = Arc::clone(&has_panicked);
    let shutdown_handle = instance.shutdown_handle();
    logging::watch_panics(move || {
        // A thread that has ended is not replaced.
        panic_flag.store(true, Ordering::Relaxed);
        shutdown_handle.stop();
    });
    let shutdown_handle = instance.shutdown_handle();
    let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(err) => return print_failure(&err.into(), EXIT_START),
    };
    thread::spawn(move || {
        for signal in signals.forever() {
            match signal {
                // Settings are read only at the start. Release notes change the configuration of
                // running instances.
                SIGHUP => info!("SIGHUP is ignored; restart the instance to read its settings"),
                _ => shutdown_handle.stop(),
            }
        }
    });
    let ended = instance.run();
    match has_panicked.load(Ordering::Relaxed) {
        true => exit_code(ShutdownOutcome::Failed),
        false => exit_code(ended),
    }
}

fn exit_code(ended: ShutdownOutcome) -> ExitCode {
    match ended {
        ShutdownOutcome::Finished => ExitCode::SUCCESS,
        ShutdownOutcome::TimedOut => ExitCode::from(EXIT_TIMED_OUT),
        ShutdownOutcome::Failed => ExitCode::from(EXIT_FAILED),
    }
}

fn print_failure(err: &eyre::Report, code: u8) -> ExitCode {
    eprintln!("hemlockd: {err:#}");
    ExitCode::from(code)
}
