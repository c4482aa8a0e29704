//! Parses the command line of `hemlockctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use eyre::bail;
use eyre::eyre;
use eyre::Result;
use eyre::WrapErr;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// The default for the time that `note submit` waits until the note is in force on every instance,
/// in milliseconds.
const DEFAULT_NOTE_WAIT_MS: u64 = 15_000;

const HELP: &str = "\
Usage: hemlockctl --instance ADDR [OPTIONS] COMMAND

Commands:
  note check FILE               check a release note without submitting it
  note submit FILE [--wait-ms N]
                                submit a release note; tells where it is in force
  note list                     list the last accepted notes
  note show NUMBER|ID           show an accepted note
  status                        instances, upstreams, the configuration in force
  explain CUSTOMER SEARCH       where a search would go now, and why
  drain INSTANCE                shut an instance down gracefully

Commands with --direct, for instances that dispatch directly:
  status                        routes, instances, upstreams
  explain HOST PATH             where a request would go now, and why

Options:
  --instance ADDR   the operators' port of any instance, such as 10.0.0.7:7101
  --direct          the instance dispatches directly; ADDR is its ready or metrics
                    port, and there is no key
  --key-file FILE   file with the operators' key
                    (default: the environment variable HEMLOCK_OPERATORS_KEY)
  --timeout-ms N    how long one call may take (default: 10000)
  --wait-ms N       how long 'note submit' waits until the note is in force
                    everywhere (default: 15000)
  --json            print JSON
  --help            print this text
  --version         print the version

Exit codes:
  0  done
  1  refused: the note does not check or another came first, the key is wrong,
     or there is no such thing
  2  the command line, the key or the file can't be used; nothing was sent
  3  the instance or the store did not answer; nothing was accepted
  4  accepted, but not in force on every instance when the wait ended
  5  may have been accepted; submit the same file again, which is safe
";

/// A parsed command line.
#[derive(Debug)]
pub(crate) enum Parsed {
    /// A command to run.
    Run(Args),
    /// A text to print, for `--help` and `--version`.
    Print(String),
}

/// A command and the options of its call.
#[derive(Debug)]
pub(crate) struct Args {
    pub(crate) instance: SocketAddr,
    pub(crate) key_file: Option<PathBuf>,
    pub(crate) timeout_ms: u64,
    pub(crate) json: bool,
    pub(crate) command: Command,
}

/// A command, with its arguments.
#[derive(Debug)]
pub(crate) enum Command {
    NoteCheck { file: PathBuf },
    NoteSubmit { file: PathBuf, wait_ms: u64 },
    NoteList,
    NoteShow { name: String },
    Status,
    Explain { customer: String, search: String },
    Drain { instance: String },
    DirectStatus,
    DirectExplain { host: String, path: String },
}

impl Command {
    /// Returns whether the command's call must carry the operators' key.
    pub(crate) fn needs_key(&self) -> bool {
        !matches!(self, Command::DirectStatus | Command::DirectExplain { .. })
    }
}

/// Parses the arguments of the process.
pub(crate) fn parse() -> Result<Parsed> {
    let mut parser = Parser::from_env();
    let mut instance = None;
    let mut key_file = None;
    let mut timeout_ms = 10_000;
    let mut wait_ms = DEFAULT_NOTE_WAIT_MS;
    let mut json = false;
    let mut direct = false;
    let mut positional_args: Vec<String> = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Parsed::Print(String::from(HELP))),
            Arg::Long("version") | Arg::Short('V') => {
                let text = format!("hemlockctl {}\n", env!("CARGO_PKG_VERSION"));
                return Ok(Parsed::Print(text));
            }
            Arg::Long("instance") => instance = Some(parse_address(&parser.value()?.string()?)?),
            Arg::Long("key-file") => key_file = Some(PathBuf::from(parser.value()?)),
            Arg::Long("timeout-ms") => timeout_ms = parser.value()?.parse()?,
            Arg::Long("wait-ms") => wait_ms = parser.value()?.parse()?,
            Arg::Long("json") => json = true,
            Arg::Long("direct") => direct = true,
            Arg::Value(word) => positional_args.push(word.string()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Parsed::Run(Args {
        command: match direct {
            true => parse_direct_command(&positional_args)?,
            false => parse_command(&positional_args, wait_ms)?,
        },
        instance: instance.ok_or_else(|| eyre!("--instance is missing"))?,
        key_file,
        timeout_ms,
        json,
    }))
}

fn parse_address(text: &str) -> Result<SocketAddr> {
    text.parse()
        .wrap_err_with(|| format!("--instance {text}: expected an IP address with a port"))
}

fn parse_command(positional_args: &[String], wait_ms: u64) -> Result<Command> {
    let positional_args: Vec<&str> = positional_args.iter().map(String::as_str).collect();
    Ok(match positional_args.as_slice() {
        [] => bail!("a command is missing"),
        ["note", "check", file] => Command::NoteCheck {
            file: PathBuf::from(file),
        },
        ["note", "submit", file] => Command::NoteSubmit {
            file: PathBuf::from(file),
            wait_ms,
        },
        ["note", "list"] => Command::NoteList,
        ["note", "show", name] => Command::NoteShow {
            name: require_plain_name(name)?,
        },
        ["status"] => Command::Status,
        ["explain", customer, search] => Command::Explain {
            customer: require_plain_name(customer)?,
            search: require_plain_name(search)?,
        },
        ["drain", instance] => Command::Drain {
            instance: require_plain_name(instance)?,
        },
        _ => bail!("unknown command: {}", positional_args.join(" ")),
    })
}

fn parse_direct_command(positional_args: &[String]) -> Result<Command> {
    let positional_args: Vec<&str> = positional_args.iter().map(String::as_str).collect();
    Ok(match positional_args.as_slice() {
        [] => bail!("a command is missing"),
        ["status"] => Command::DirectStatus,
        ["explain", host, path] => Command::DirectExplain {
            host: require_plain_name(host)?,
            path: require_plain_path(path)?,
        },
        _ => bail!(
            "unknown command with --direct: {}",
            positional_args.join(" ")
        ),
    })
}

/// Checks that a path can be put into the query of a URL without escaping.
fn require_plain_path(path: &str) -> Result<String> {
    let names = path.strip_prefix('/').map(|rest| rest.split('/'));
    let is_plain = names.is_some_and(|mut names| {
        names.all(|name| name.is_empty() || require_plain_name(name).is_ok())
    });
    if !is_plain {
        bail!("\"{path}\" is not a path: expected a slash and names between slashes");
    }
    Ok(String::from(path))
}

/// Checks that a name can be put into a URL without escaping.
fn require_plain_name(name: &str) -> Result<String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if name.is_empty() || !name.bytes().all(is_allowed) {
        bail!("\"{name}\" is not a name: expected letters, digits, '.', '_' or '-'");
    }
    Ok(String::from(name))
}
