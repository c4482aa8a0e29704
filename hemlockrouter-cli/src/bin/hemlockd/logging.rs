//! Logging to standard output, with one JSON object per line.

use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use env_logger::Builder;
use env_logger::Target;
use hemlockrouter_config::settings::Level;
use hemlockrouter_config::settings::Log;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use log::LevelFilter;
use log::Record;
use serde_json::Map;

use crate::log_writer::LogWriter;

/// Starts logging with the level and filter of the settings. Returns the log writer, which must be
/// flushed before the process ends.
///
/// # Errors
///
/// Returns an error if the writing thread can't be started.
pub(crate) fn start(log: &Log) -> std::io::Result<LogWriter> {
    let writer = LogWriter::start()?;
    let mut builder = Builder::new();
    // Without a filter, only the global maximum level limits the log. With a filter, `level`
    // applies to the modules that the filter does not name.
    builder.filter_level(LevelFilter::Trace);
    if let Some(filter) = &log.filter {
        builder.filter_level(level_filter(log.level));
        builder.parse_filters(filter);
    }
    builder.target(Target::Pipe(Box::new(writer.clone())));
    builder.format(|out, record| writeln!(out, "{}", json_line(record)));
    builder.init();
    set_level(log);
    Ok(writer)
}

/// Logs every panic, besides the message on standard error, and calls `on_panic`.
pub(crate) fn watch_panics<F>(on_panic: F)
where
    F: Fn() + Send + Sync + 'static,
{
    let print_panic = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        let thread_name = thread.name().unwrap_or("unknown");
        log::error!(target: "process", why = panic.to_string(), thread = thread_name; "panic");
        print_panic(panic);
        on_panic();
    }));
}

/// Sets the least severe level to log. Has no effect if the settings have a filter by module, which
/// takes precedence.
pub(crate) fn set_level(log: &Log) {
    if log.filter.is_none() {
        log::set_max_level(level_filter(log.level));
    }
}

fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
        Level::Trace => LevelFilter::Trace,
    }
}

/// Returns a log record as one JSON object.
fn json_line(record: &Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    fields.insert_field(
        "time_ms",
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
    );
    fields.insert_field("level", record.level().as_str().to_lowercase());
    fields.insert_field("target", record.target());
    fields.insert_field("message", record.args().to_string());
    // If a value can't be represented in JSON, only its field is left out.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0)
}

/// The fields of a log line, collected from the key-value pairs of a record.
struct Fields(Map<String, serde_json::Value>);

impl Fields {
    fn insert_field<V>(&mut self, name: &str, value: V)
    where
        V: Into<serde_json::Value>,
    {
        self.0.insert(name.to_owned(), value.into());
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        if let Ok(value) = serde_json::to_value(&value) {
            self.0.insert(key.as_str().to_owned(), value);
        }
        Ok(())
    }
}
