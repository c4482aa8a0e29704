//! Parses the command line of `hemlockd`.

use eyre::eyre;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// The text of `--help`.
pub(crate) const HELP: &str = "\
Runs one instance of the hemlockrouter query tier.

Usage: hemlockd (--settings FILE | --settings-env NAME) [--check]

Options:
  --settings FILE  the settings of this instance, JSON with comments
  --settings-env NAME  the environment variable that names the settings file
  --check          check the settings and the keys, then exit
  --help           show this text
  --version        show the version

Signals:
  SIGTERM, SIGINT  shut down gracefully: readiness off, hand over, finish what was accepted
  SIGHUP           with direct dispatch, read the settings again, which otherwise happens once a
                   second; ignored with dispatch through owners

Exit codes:
  0  shut down gracefully, or the settings are in order
  1  the time for the shutdown ran out with work under way
  2  wrong usage
  3  the settings or the keys are not in order
  4  a port can't be bound, or a thread can't be started
";

/// A parsed command line.
#[derive(Debug)]
pub(crate) enum Args {
    Help,
    Version,
    Run { settings: String },
    Check { settings: String },
}

impl Args {
    /// Parses the command line.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown option, a missing `--settings`, or an environment variable
    /// that can't be read.
    pub(crate) fn parse() -> eyre::Result<Args> {
        let mut settings = None;
        let mut check = false;
        let mut parser = Parser::from_env();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("help") | Arg::Short('h') => return Ok(Args::Help),
                Arg::Long("version") | Arg::Short('V') => return Ok(Args::Version),
                Arg::Long("settings") => settings = Some(parser.value()?.string()?),
                Arg::Long("settings-env") => {
                    settings = Some(settings_path_from_env(&parser.value()?.string()?)?)
                }
                Arg::Long("check") => check = true,
                _ => return Err(eyre!("{}; see --help", arg.unexpected())),
            }
        }
        let settings = settings.ok_or_else(|| eyre!("--settings is missing; see --help"))?;
        Ok(if check {
            Args::Check { settings }
        } else {
            Args::Run { settings }
        })
    }
}

/// Returns the path of the settings file, from the environment variable `name`.
fn settings_path_from_env(name: &str) -> eyre::Result<String> {
    std::env::var(name).map_err(|err| eyre!("--settings-env {name}: {err}"))
}
