//! Runs the cases of this review: starts the system's processes with stand-ins for the platform,
//! the replicas and the clients, and checks one rule.
//!
//! `standin CASE RECORD` exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
//! case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod foreign;
mod http;
mod json;
mod keys;
mod node;
mod random;
mod record;
mod repeat;
mod replica;
mod spoil;
mod stale;
mod store;

use std::path::PathBuf;

use record::Record;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What a case needs to run.
pub struct Case {
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// A directory for settings and logs, which is removed afterwards.
    pub dir: PathBuf,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let dir = std::env::temp_dir().join(format!("hemlock-review-{}", std::process::id()));
    let created = std::fs::create_dir_all(&dir);
    let (Ok(record), Ok(())) = (Record::create(record), created) else {
        eprintln!("the record or the temporary directory can't be written");
        std::process::exit(2);
    };
    let case = Case {
        record: record.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        dir: dir.clone(),
    };
    let verdict = match name.as_str() {
        "repeat" => repeat::run(&case),
        "foreign" => foreign::run(&case),
        "keys" => keys::run(&case),
        "spoil" => spoil::run(&case),
        "stale" => stale::run(&case),
        _ => Verdict::CouldNotRun(format!("no case {name}")),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("logs in {}", dir.display());
    }
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::CouldNotRun(why) => {
            record.say(&format!("the case could not run: {why}"));
            2
        }
    };
    std::process::exit(code);
}

/// Converts an error into a verdict.
impl From<std::io::Error> for Verdict {
    fn from(err: std::io::Error) -> Verdict {
        Verdict::CouldNotRun(err.to_string())
    }
}
