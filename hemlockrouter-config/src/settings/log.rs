//! What is logged.

use derive_more::Display;

use crate::document::Table;
use crate::error::Error;

/// What is logged. Lines are JSON on standard error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// The least severe level that is logged. Default: `info`.
    pub level: Level,
    /// A filter by module, for example `hemlockrouter_route=debug`, which goes before `level`.
    pub filter: Option<String>,
}

/// A log level.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Level {
    /// Nothing works without attention.
    #[display("error")]
    Error,
    /// Something failed and was handled.
    #[display("warn")]
    Warn,
    /// Decisions and changes of state.
    #[display("info")]
    Info,
    /// Details of single requests.
    #[display("debug")]
    Debug,
    /// Everything.
    #[display("trace")]
    Trace,
}

impl Log {
    pub(crate) fn read(settings: &Table<'_, '_>) -> Result<Log, Error> {
        let mut log = Log {
            level: Level::Info,
            filter: None,
        };
        let Some(field) = settings.get("log") else {
            return Ok(log);
        };
        let table = field.table(&["level", "filter"])?;
        if let Some(field) = table.get("level") {
            let what = "error, warn, info, debug or trace";
            log.level = match field.text(what)? {
                "error" => Level::Error,
                "warn" => Level::Warn,
                "info" => Level::Info,
                "debug" => Level::Debug,
                "trace" => Level::Trace,
                _ => return Err(field.expected(what)),
            };
        }
        if let Some(field) = table.get("filter") {
            log.filter = Some(String::from(field.text("a filter by module")?));
        }
        Ok(log)
    }
}
