//! `hemlockctl`, the command-line client for operators of hemlockrouter.
//!
//! The client calls the operators' port of one instance. Results go to standard output, errors go
//! to standard error, and the exit code tells scripts how the command ended.

mod args;
mod client;
mod direct;
mod explain;
mod note;
mod outcome;
mod response;
mod status;

use std::process::ExitCode;

use crate::args::Args;
use crate::args::Command;
use crate::args::Parsed;
use crate::client::Client;
use crate::outcome::Outcome;

fn main() -> ExitCode {
    let outcome = match args::parse() {
        Ok(Parsed::Run(args)) => run(&args),
        Ok(Parsed::Print(text)) => {
            print!("{text}");
            Outcome::Succeeded
        }
        Err(err) => {
            eprintln!("hemlockctl: {err:#}");
            eprintln!("Try 'hemlockctl --help'.");
            Outcome::UsageError
        }
    };
    ExitCode::from(outcome.code())
}

fn run(args: &Args) -> Outcome {
    let client = match Client::new(args) {
        Ok(client) => client,
        Err(err) => {
            eprintln!("hemlockctl: {err:#}");
            return Outcome::UsageError;
        }
    };
    match &args.command {
        Command::NoteCheck { file } => note::check(&client, file),
        Command::NoteSubmit { file, wait_ms } => note::submit(&client, file, *wait_ms),
        Command::NoteList => note::list(&client),
        Command::NoteShow { name } => note::show(&client, name),
        Command::Status => status::show(&client),
        Command::Explain { customer, search } => explain::show(&client, customer, search),
        Command::Drain { instance } => status::drain(&client, instance),
        Command::DirectStatus => direct::status(&client),
        Command::DirectExplain { host, path } => direct::explain(&client, host, path),
    }
}
