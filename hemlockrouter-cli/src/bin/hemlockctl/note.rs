//! The `note` commands, which check, submit, list and show release notes.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_config::Note;
use serde_json::json;

use crate::answer::InForce;
use crate::answer::NoteRow;
use crate::answer::NoteRows;
use crate::answer::Number;
use crate::answer::Refusal;
use crate::answer::Status;
use crate::client::Answer;
use crate::client::Client;
use crate::client::Lost;
use crate::end::End;

/// The interval between two status calls while `submit` waits for a note to be in force.
const POLL_EVERY_MS: u64 = 250;

pub(crate) fn check(client: &Client, file: &Path) -> End {
    let note = match read(client, file) {
        Ok(note) => note,
        Err(end) => return end,
    };
    let answer = match client.post("/v1/notes/check", note.bytes()) {
        Ok(answer) if answer.status == 422 => return invalid(client, file, &answer),
        answer => answer,
    };
    client.show(answer, |Number { number }| {
        println!("{}: checks against configuration {number}", file.display());
    })
}

pub(crate) fn submit(client: &Client, file: &Path, wait_ms: u64) -> End {
    let note = match read(client, file) {
        Ok(note) => note,
        Err(end) => return end,
    };
    let answer = match client.post("/v1/notes", note.bytes()) {
        Ok(answer) => answer,
        Err(lost) => return not_answered(client, file, &lost),
    };
    match answer.status {
        200 => {}
        409 => return conflict(client, &answer),
        422 => return invalid(client, file, &answer),
        503 => return store_down(client, file, &answer),
        500..=599 => {
            client.refused(&answer);
            return unsettled(file);
        }
        _ => return client.refused(&answer),
    }
    let Ok(Number { number }) = serde_json::from_value(answer.body) else {
        eprintln!("hemlockctl: the instance's answer names no number");
        return unsettled(file);
    };
    if !client.json() {
        println!("accepted as number {number}");
    }
    in_force(client, number, wait_ms)
}

/// Waits until the note is in force on every known instance or `wait_ms` have passed. Prints the
/// number of instances that have the note in force.
fn in_force(client: &Client, number: u64, wait_ms: u64) -> End {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut seen = None;
    loop {
        if let Some(status) = status(client) {
            let in_force = status.in_force(number);
            if in_force.everywhere() || Instant::now() >= until {
                return tell(client, number, Some(in_force));
            }
            seen = Some(in_force);
        }
        if Instant::now() >= until {
            return tell(client, number, seen);
        }
        thread::sleep(Duration::from_millis(POLL_EVERY_MS));
    }
}

fn status(client: &Client) -> Option<Status> {
    let answer = client.get("/v1/status").ok()?;
    serde_json::from_value(answer.body).ok()
}

fn tell(client: &Client, number: u64, in_force: Option<InForce>) -> End {
    let (reached, known) = match in_force {
        Some(in_force) => (Some(in_force.reached), Some(in_force.known)),
        None => (None, None),
    };
    if client.json() {
        println!(
            "{}",
            json!({"number": number, "in_force": reached, "instances": known})
        );
    } else if let Some(InForce { reached, known }) = in_force {
        println!("in force on {reached} of {known} instances");
    } else {
        println!("in force: unknown, the instance gives no status");
    }
    match in_force {
        Some(in_force) if in_force.everywhere() => End::Done,
        _ => End::NotEverywhere,
    }
}

pub(crate) fn list(client: &Client) -> End {
    client.show(client.get("/v1/notes"), |rows: NoteRows| {
        for note in rows.notes {
            println!("{:>8}  {}  by {}", note.number, note.id, note.author);
        }
    })
}

pub(crate) fn show(client: &Client, name: &str) -> End {
    let answer = client.get(&format!("/v1/notes/{name}"));
    client.show(answer, |note: NoteRow| {
        println!("// number {}, {} by {}", note.number, note.id, note.author);
        match note.document {
            Some(document) => println!("{document}"),
            None => println!("// the text is no longer kept"),
        }
    })
}

/// Reads and parses the note in a file, so that an invalid note is rejected without a call to an
/// instance.
fn read(client: &Client, file: &Path) -> Result<Note, End> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|err| {
        eprintln!("hemlockctl: can't read {name}: {err}");
        End::Usage
    })?;
    Note::parse(&text, &name).map_err(|err| {
        if client.json() {
            let message = format!("{}: {}", err.field(), err.message());
            println!(
                "{}",
                json!({"code": "invalid", "message": message, "line": err.line()})
            );
        }
        eprintln!("{err}");
        End::Refused
    })
}

fn invalid(client: &Client, file: &Path, answer: &Answer) -> End {
    print_json(client, answer);
    let refusal = Refusal::read(&answer.body);
    let message = refusal.message.unwrap_or(refusal.code);
    match refusal.line {
        Some(line) if line > 0 => eprintln!("{}:{line}: {message}", file.display()),
        _ => eprintln!("{}: {message}", file.display()),
    }
    End::Refused
}

fn conflict(client: &Client, answer: &Answer) -> End {
    print_json(client, answer);
    let refusal = Refusal::read(&answer.body);
    let number = refusal.number.unwrap_or_default();
    let id = refusal.id.unwrap_or_default();
    let author = refusal.author.unwrap_or_default();
    eprintln!("hemlockctl: not accepted: number {number}, {id} by {author}, came first");
    eprintln!("See 'hemlockctl note show {number}', then submit again if the note still fits.");
    End::Refused
}

fn store_down(client: &Client, file: &Path, answer: &Answer) -> End {
    if Refusal::read(&answer.body).maybe {
        print_json(client, answer);
        eprintln!("hemlockctl: the platform's store did not answer");
        return unsettled(file);
    }
    client.refused(answer)
}

fn not_answered(client: &Client, file: &Path, lost: &Lost) -> End {
    let end = client.unreachable(lost);
    if lost.maybe {
        return unsettled(file);
    }
    end
}

fn unsettled(file: &Path) -> End {
    eprintln!("The note may have been accepted. Submit the same file again, which is safe:");
    eprintln!("  hemlockctl note submit {}", file.display());
    End::Unsettled
}

fn print_json(client: &Client, answer: &Answer) {
    if client.json() {
        println!("{}", answer.body);
    }
}
