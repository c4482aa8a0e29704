//! Logs: one JSON object a line, on standard output.

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

/// Starts to log as the settings say, and returns what writes the last lines at the end.
///
/// # Errors
///
/// Returns that the thread that writes can't be started.
pub(crate) fn start(log: &Log) -> std::io::Result<LogWriter> {
    let writer = LogWriter::start()?;
    let mut builder = Builder::new();
    // The level is the limit for all modules, unless a filter names levels for some.
    builder.filter_level(LevelFilter::Trace);
    if let Some(filter) = &log.filter {
        builder.filter_level(level(log.level));
        builder.parse_filters(filter);
    }
    builder.target(Target::Pipe(Box::new(writer.clone())));
    builder.format(|out, record| writeln!(out, "{}", line(record)));
    builder.init();
    set_level(log);
    Ok(writer)
}

/// Sets the least severe level that is logged. Where a filter goes before it, it stays as it is.
pub(crate) fn set_level(log: &Log) {
    if log.filter.is_none() {
        log::set_max_level(level(log.level));
    }
}

fn level(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
        Level::Trace => LevelFilter::Trace,
    }
}

/// Writes a record as one JSON object.
fn line(record: &Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    fields.put(
        "time_ms",
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
    );
    fields.put("level", record.level().as_str().to_lowercase());
    fields.put("target", record.target());
    fields.put("message", record.args().to_string());
    // A value that can't be represented leaves out its field, not the line.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0)
}

/// Collects the fields of a line.
struct Fields(Map<String, serde_json::Value>);

impl Fields {
    fn put<V>(&mut self, name: &str, value: V)
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
