//! The settings for logging.

use derive_more::Display;

use crate::document::JsonObject;
use crate::error::Error;

/// The level and filter for log lines, which are JSON on standard output.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// The least severe level to log. Default: `info`.
    pub level: Level,
    /// A filter by module, for example `hemlockrouter_route=debug`, which takes precedence over
    /// `level`.
    pub filter: Option<String>,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Level {
    /// A failure that needs an operator's attention.
    #[display("error")]
    Error,
    /// A failure that the instance has handled.
    #[display("warn")]
    Warn,
    /// A decision or a change of state.
    #[display("info")]
    Info,
    /// A detail of a single request.
    #[display("debug")]
    Debug,
    /// Every event, including the most detailed ones.
    #[display("trace")]
    Trace,
}

impl Log {
    pub(crate) fn read(settings: &JsonObject<'_, '_>) -> Result<Log, Error> {
        let mut log = Log {
            level: Level::Info,
            filter: None,
        };
        let Some(field) = settings.get("log") else {
            return Ok(log);
        };
        let object = field.object(&["level", "filter"])?;
        if let Some(field) = object.get("level") {
            let expected_form = "error, warn, info, debug or trace";
            log.level = match field.text(expected_form)? {
                "error" => Level::Error,
                "warn" => Level::Warn,
                "info" => Level::Info,
                "debug" => Level::Debug,
                "trace" => Level::Trace,
                _ => return Err(field.expected(expected_form)),
            };
        }
        if let Some(field) = object.get("filter") {
            log.filter = Some(String::from(field.text("a filter by module")?));
        }
        Ok(log)
    }
}
