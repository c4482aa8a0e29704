//! The `note` commands, which check, submit, list and show release notes.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_config::Note;
use serde_json::json;

use crate::client::CallError;
use crate::client::Client;
use crate::client::HttpResponse;
use crate::outcome::Outcome;
use crate::response::AcceptedNote;
use crate::response::AcceptedNotes;
use crate::response::ErrorResponse;
use crate::response::InForceCount;
use crate::response::NoteNumber;
use crate::response::Status;

/// The interval between two status calls while `submit` waits for a note to be in force.
const POLL_INTERVAL_MS: u64 = 250;

pub(crate) fn check(client: &Client, file: &Path) -> Outcome {
    let note = match read(client, file) {
        Ok(note) => note,
        Err(outcome) => return outcome,
    };
    let response = match client.post("/v1/notes/check", note.bytes()) {
        Ok(response) if response.status == 422 => {
            return print_invalid_note(client, file, &response)
        }
        response => response,
    };
    client.show(response, |NoteNumber { number }| {
        println!("{}: checks against configuration {number}", file.display());
    })
}

pub(crate) fn submit(client: &Client, file: &Path, wait_ms: u64) -> Outcome {
    let note = match read(client, file) {
        Ok(note) => note,
        Err(outcome) => return outcome,
    };
    let response = match client.post("/v1/notes", note.bytes()) {
        Ok(response) => response,
        Err(call_error) => return print_not_answered(client, file, &call_error),
    };
    match response.status {
        200 => {}
        409 => return print_conflict(client, &response),
        422 => return print_invalid_note(client, file, &response),
        503 => return print_store_down(client, file, &response),
        500..=599 => {
            client.print_error_response(&response);
            return print_maybe_accepted(file);
        }
        _ => return client.print_error_response(&response),
    }
    let Ok(NoteNumber { number }) = serde_json::from_value(response.body) else {
        eprintln!("hemlockctl: the instance's response has no number");
        return print_maybe_accepted(file);
    };
    if !client.json() {
        println!("accepted as number {number}");
    }
    wait_until_in_force(client, number, wait_ms)
}

/// Waits until the note is in force on every known instance or `wait_ms` have passed. Prints the
/// number of instances that have the note in force.
fn wait_until_in_force(client: &Client, number: u64, wait_ms: u64) -> Outcome {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut last_count = None;
    loop {
        if let Some(status) = fetch_status(client) {
            let in_force = status.in_force_count(number);
            if in_force.is_everywhere() || Instant::now() >= deadline {
                return print_in_force(client, number, Some(in_force));
            }
            last_count = Some(in_force);
        }
        if Instant::now() >= deadline {
            return print_in_force(client, number, last_count);
        }
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

fn fetch_status(client: &Client) -> Option<Status> {
    let response = client.get("/v1/status").ok()?;
    serde_json::from_value(response.body).ok()
}

fn print_in_force(client: &Client, number: u64, in_force: Option<InForceCount>) -> Outcome {
    let (reached_count, known_count) = match in_force {
        Some(in_force) => (Some(in_force.reached_count), Some(in_force.known_count)),
        None => (None, None),
    };
    if client.json() {
        println!(
            "{}",
            json!({"number": number, "in_force": reached_count, "instances": known_count})
        );
    } else if let Some(InForceCount {
        reached_count,
        known_count,
    }) = in_force
    {
        println!("in force on {reached_count} of {known_count} instances");
    } else {
        println!("in force: unknown, the instance gives no status");
    }
    match in_force {
        Some(in_force) if in_force.is_everywhere() => Outcome::Succeeded,
        _ => Outcome::NotInForceEverywhere,
    }
}

pub(crate) fn list(client: &Client) -> Outcome {
    client.show(client.get("/v1/notes"), |rows: AcceptedNotes| {
        for note in rows.notes {
            println!("{:>8}  {}  by {}", note.number, note.id, note.author);
        }
    })
}

pub(crate) fn show(client: &Client, name: &str) -> Outcome {
    let response = client.get(&format!("/v1/notes/{name}"));
    client.show(response, |note: AcceptedNote| {
        println!("// number {}, {} by {}", note.number, note.id, note.author);
        match note.document {
            Some(document) => println!("{document}"),
            None => println!("// the text is no longer kept"),
        }
    })
}

/// Reads and parses the note in a file, so that an invalid note is rejected without a call to an
/// instance.
fn read(client: &Client, file: &Path) -> Result<Note, Outcome> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|err| {
        eprintln!("hemlockctl: can't read {name}: {err}");
        Outcome::UsageError
    })?;
    Note::parse(&text, &name).map_err(|err| {
        if client.json() {
            let message = format!("{}: {}", err.field_path(), err.message());
            println!(
                "{}",
                json!({"code": "invalid", "message": message, "line": err.line()})
            );
        }
        eprintln!("{err}");
        Outcome::Refused
    })
}

fn print_invalid_note(client: &Client, file: &Path, response: &HttpResponse) -> Outcome {
    print_json(client, response);
    let error_response = ErrorResponse::read(&response.body);
    let message = error_response.message.unwrap_or(error_response.code);
    match error_response.line {
        Some(line) if line > 0 => eprintln!("{}:{line}: {message}", file.display()),
        _ => eprintln!("{}: {message}", file.display()),
    }
    Outcome::Refused
}

fn print_conflict(client: &Client, response: &HttpResponse) -> Outcome {
    print_json(client, response);
    let error_response = ErrorResponse::read(&response.body);
    let number = error_response.number.unwrap_or_default();
    let id = error_response.id.unwrap_or_default();
    let author = error_response.author.unwrap_or_default();
    eprintln!("hemlockctl: not accepted: number {number}, {id} by {author}, came first");
    eprintln!("See 'hemlockctl note show {number}', then submit again if the note still fits.");
    Outcome::Refused
}

fn print_store_down(client: &Client, file: &Path, response: &HttpResponse) -> Outcome {
    if ErrorResponse::read(&response.body).maybe {
        print_json(client, response);
        eprintln!("hemlockctl: the platform's store did not answer");
        return print_maybe_accepted(file);
    }
    client.print_error_response(response)
}

fn print_not_answered(client: &Client, file: &Path, call_error: &CallError) -> Outcome {
    let outcome = client.print_unreachable(call_error);
    if call_error.may_have_arrived {
        return print_maybe_accepted(file);
    }
    outcome
}

fn print_maybe_accepted(file: &Path) -> Outcome {
    eprintln!("The note may have been accepted. Submit the same file again, which is safe:");
    eprintln!("  hemlockctl note submit {}", file.display());
    Outcome::MaybeAccepted
}

fn print_json(client: &Client, response: &HttpResponse) {
    if client.json() {
        println!("{}", response.body);
    }
}
