//! `hemlockd`, the daemon that runs one instance of the query tier.

mod args;
mod log_writer;
mod logging;

use std::cell::RefCell;
use std::fs;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;

use eyre::WrapErr;
use hemlockrouter::direct::Reload;
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
    let file = SettingsFile::new(path.clone());
    match file.read() {
        Ok(settings) if check_only => check_settings(&path, &settings),
        Ok(ModeSettings::Owners(settings)) => run_through_owners(settings),
        Ok(ModeSettings::Direct(settings)) => run_direct(&file, settings),
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

/// The settings file, and its text when it was read last.
struct SettingsFile {
    path: String,
    last_text: RefCell<String>,
}

impl SettingsFile {
    fn new(path: String) -> SettingsFile {
        SettingsFile {
            path,
            last_text: RefCell::default(),
        }
    }

    fn read_text(&self) -> eyre::Result<String> {
        let path = &self.path;
        fs::read_to_string(path).wrap_err_with(|| format!("can't read {path}"))
    }

    fn read(&self) -> eyre::Result<ModeSettings> {
        self.parse(self.read_text()?)
    }

    /// Reads the settings if their text is not the one that was read last.
    fn read_if_changed(&self) -> eyre::Result<Option<ModeSettings>> {
        let text = self.read_text()?;
        let is_unchanged = text == *self.last_text.borrow();
        match is_unchanged {
            true => Ok(None),
            false => self.parse(text).map(Some),
        }
    }

    fn parse(&self, text: String) -> eyre::Result<ModeSettings> {
        let settings = parse_settings(&text, &self.path);
        self.last_text.replace(text);
        settings
    }
}

fn parse_settings(text: &str, path: &str) -> eyre::Result<ModeSettings> {
    Ok(match DispatchMode::from_settings(text, path)? {
        DispatchMode::ThroughOwners => ModeSettings::Owners(Box::new(Settings::parse(text, path)?)),
        DispatchMode::Direct => ModeSettings::Direct(Box::new(DirectSettings::load(text, path)?)),
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

/// Runs an instance that dispatches to upstreams directly, and reloads its settings from `file`.
fn run_direct(file: &SettingsFile, loaded: Box<LoadedSettings>) -> ExitCode {
    let settings = &loaded.settings;
    let log = match logging::start(&settings.log) {
        Ok(log) => log,
        Err(err) => return print_failure(&err.into(), EXIT_START),
    };
    log_replaced(&loaded);
    let protocol = match settings.protocol {
        ProtocolName::Corporation => Rc::new(Corporation),
    };
    let reload = |when| {
        let settings = match when {
            Reload::Always => Some(file.read()?),
            Reload::IfChanged => file.read_if_changed()?,
        };
        settings
            .map(|settings| adopt_settings(file, settings))
            .transpose()
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

/// Returns the settings of an instance that runs already, and sets the level of its log.
fn adopt_settings(file: &SettingsFile, settings: ModeSettings) -> eyre::Result<DirectSettings> {
    match settings {
        ModeSettings::Direct(loaded) => {
            logging::set_level(&loaded.settings.log);
            log_replaced(&loaded);
            Ok(loaded.settings)
        }
        ModeSettings::Owners(_) => eyre::bail!("{}: dispatch can't be changed", file.path),
    }
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
