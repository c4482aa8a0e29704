//! Reads a note from the syntax tree of its JSON text.

use super::check_name;
use super::Added;
use super::CustomerChange;
use super::Entry;
use super::Note;
use super::OperationChange;
use super::SearchChange;
use super::UpstreamChange;
use super::Withdrawn;
use super::ZoneChange;
use crate::document::Field;
use crate::document::Table;
use crate::error::Error;
use crate::error::ErrorKind;

const SECTIONS: &[&str] = &["zones", "upstreams", "customers", "searches", "operations"];

/// The largest length of a note's explanation, in characters.
const TEXT_MAX_CHARS: usize = 4_096;

/// The largest value of an upstream's or a customer's limits.
const LIMIT_MAX: u32 = 1_000_000;

/// The largest weight of a search or an operation in the queues of upstreams.
const WEIGHT_MAX: u32 = 1_000;

/// The kind of a section, which determines whether required fields may be absent.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Mode {
    Add,
    Change,
}

pub(super) fn note(root: Field<'_, '_>, text: &str, file: &str) -> Result<Note, Error> {
    let table = root.table(&["id", "author", "text", "added", "changed", "withdrawn"])?;
    let id = table.need("id", "a name for the note, new for each")?;
    let note = Note {
        id: named(id)?,
        id_line: id.line(),
        author: named(table.need("author", "who wrote the note")?)?,
        text: explanation(&table)?,
        file: String::from(file),
        document: text.as_bytes().to_vec(),
        added: section(&table, "added", Mode::Add)?,
        changed: section(&table, "changed", Mode::Change)?,
        withdrawn: withdrawn(&table)?,
    };
    if note.added == Added::default()
        && note.changed == Added::default()
        && note.withdrawn == Withdrawn::default()
    {
        let message = String::from("expected something added, changed or withdrawn");
        return Err(root.error(ErrorKind::Missing, message));
    }
    Ok(note)
}

fn explanation(table: &Table<'_, '_>) -> Result<String, Error> {
    let Some(field) = table.get("text") else {
        return Ok(String::new());
    };
    let text = field.text("why the note was written")?;
    if text.chars().count() > TEXT_MAX_CHARS {
        let message = format!("expected at most {TEXT_MAX_CHARS} characters");
        return Err(field.error(ErrorKind::Value, message));
    }
    Ok(String::from(text))
}

fn section(note: &Table<'_, '_>, name: &str, mode: Mode) -> Result<Added, Error> {
    let Some(field) = note.get(name) else {
        return Ok(Added::default());
    };
    let table = field.table(SECTIONS)?;
    Ok(Added {
        zones: entries(&table, "zones", check_name, |field| zone(field, mode))?,
        upstreams: entries(&table, "upstreams", check_name, |field| {
            upstream(field, mode)
        })?,
        customers: entries(&table, "customers", check_name, |field| {
            customer(field, mode)
        })?,
        searches: entries(&table, "searches", check_owned_name, |field| {
            search(field, mode)
        })?,
        operations: entries(&table, "operations", check_owned_name, |field| {
            operation(field, mode)
        })?,
    })
}

fn entries<T, C, R>(
    table: &Table<'_, '_>,
    name: &str,
    check: C,
    read: R,
) -> Result<Vec<Entry<T>>, Error>
where
    C: Fn(&str) -> Result<(), &'static str>,
    R: Fn(&Field<'_, '_>) -> Result<T, Error>,
{
    let Some(field) = table.get(name) else {
        return Ok(Vec::new());
    };
    let mut entries = Vec::new();
    for (name, field) in field.entries("an object, by name")? {
        check(name).map_err(|what| {
            let message = format!("expected {what}");
            field.error(ErrorKind::Value, message)
        })?;
        entries.push(Entry {
            name: String::from(name),
            line: field.line(),
            value: read(&field)?,
        });
    }
    Ok(entries)
}

fn withdrawn(note: &Table<'_, '_>) -> Result<Withdrawn, Error> {
    let Some(field) = note.get("withdrawn") else {
        return Ok(Withdrawn::default());
    };
    let table = field.table(SECTIONS)?;
    Ok(Withdrawn {
        zones: names(&table, "zones")?,
        upstreams: names(&table, "upstreams")?,
        customers: names(&table, "customers")?,
        searches: names(&table, "searches")?,
        operations: names(&table, "operations")?,
    })
}

fn names(table: &Table<'_, '_>, name: &str) -> Result<Vec<Entry<()>>, Error> {
    let Some(field) = table.get(name) else {
        return Ok(Vec::new());
    };
    let mut entries = Vec::new();
    for field in field.list("names")? {
        entries.push(Entry {
            name: String::from(field.text("a name")?),
            line: field.line(),
            value: (),
        });
    }
    Ok(entries)
}

fn zone(field: &Field<'_, '_>, mode: Mode) -> Result<ZoneChange, Error> {
    let table = field.table(&["region", "in_service"])?;
    Ok(ZoneChange {
        region: given(&table, "region", mode, "the name of a region", named)?,
        in_service: table.get("in_service").map(Field::flag).transpose()?,
    })
}

fn upstream(field: &Field<'_, '_>, mode: Mode) -> Result<UpstreamChange, Error> {
    let table = field.table(&[
        "address",
        "zone",
        "slots",
        "cold_slots",
        "connections",
        "in_service",
    ])?;
    let address = "an IP address with a port";
    Ok(UpstreamChange {
        address: given(&table, "address", mode, address, endpoint)?,
        zone: given(&table, "zone", mode, "the name of a zone", named)?,
        slots: given(&table, "slots", mode, "a whole number", limit)?,
        cold_slots: table.get("cold_slots").map(limit).transpose()?,
        connections: given(&table, "connections", mode, "a whole number", limit)?,
        in_service: table.get("in_service").map(Field::flag).transpose()?,
    })
}

fn customer(field: &Field<'_, '_>, mode: Mode) -> Result<CustomerChange, Error> {
    let table = field.table(&["key_sha256", "max_in_flight", "max_per_second"])?;
    Ok(CustomerChange {
        key_sha256: given(&table, "key_sha256", mode, HASH, hash)?,
        max_in_flight: given(&table, "max_in_flight", mode, "a whole number", limit)?,
        max_per_second: given(&table, "max_per_second", mode, "a whole number", limit)?,
    })
}

fn search(field: &Field<'_, '_>, mode: Mode) -> Result<SearchChange, Error> {
    let table = field.table(&["weight", "map", "shards"])?;
    Ok(SearchChange {
        weight: table.get("weight").map(weight).transpose()?,
        map: table.get("map").map(map).transpose()?,
        shards: given(&table, "shards", mode, "the shards, by name", shards)?,
    })
}

fn operation(field: &Field<'_, '_>, mode: Mode) -> Result<OperationChange, Error> {
    let table = field.table(&["weight", "upstreams"])?;
    Ok(OperationChange {
        weight: table.get("weight").map(weight).transpose()?,
        upstreams: given(&table, "upstreams", mode, "names of upstreams", replicas)?,
    })
}

/// Reads a field that is required in an addition and optional in a change.
fn given<T, R>(
    table: &Table<'_, '_>,
    name: &str,
    mode: Mode,
    what: &str,
    read: R,
) -> Result<Option<T>, Error>
where
    R: Fn(&Field<'_, '_>) -> Result<T, Error>,
{
    match mode {
        Mode::Add => Ok(Some(read(table.need(name, what)?)?)),
        Mode::Change => table.get(name).map(read).transpose(),
    }
}

fn named(field: &Field<'_, '_>) -> Result<String, Error> {
    let text = field.text("a name")?;
    check_name(text).map_err(|what| field.expected(what))?;
    Ok(String::from(text))
}

/// Checks a name of the form `customer/name`.
fn check_owned_name(name: &str) -> Result<(), &'static str> {
    let parts = name.split_once('/');
    let fits =
        |(customer, own): (&str, &str)| check_name(customer).is_ok() && check_name(own).is_ok();
    if !parts.is_some_and(fits) {
        return Err("a name of the form \"customer/name\"");
    }
    Ok(())
}

fn endpoint(field: &Field<'_, '_>) -> Result<std::net::SocketAddr, Error> {
    let address = field.address()?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(field.expected("an address and a port that instances can connect to"));
    }
    Ok(address)
}

fn limit(field: &Field<'_, '_>) -> Result<u32, Error> {
    field.number(1, LIMIT_MAX)
}

fn weight(field: &Field<'_, '_>) -> Result<u32, Error> {
    field.number(1, WEIGHT_MAX)
}

fn map(field: &Field<'_, '_>) -> Result<u32, Error> {
    field.number(1, u32::MAX)
}

const HASH: &str = "the SHA-256 hash of the customer's key, as 64 hexadecimal digits";

fn hash(field: &Field<'_, '_>) -> Result<[u8; 32], Error> {
    // The error omits the value, because an operator may have entered the key itself by mistake.
    let wrong = || field.error(ErrorKind::Value, format!("expected {HASH}"));
    let text = field.text(HASH).map_err(|_| wrong())?;
    parse_hash(text).ok_or_else(wrong)
}

fn parse_hash(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut hash = [0; 32];
    for (at, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(hash)
}

fn shards(field: &Field<'_, '_>) -> Result<Vec<Entry<Vec<String>>>, Error> {
    let mut shards = Vec::new();
    for (name, shard) in field.entries("an object: a list of upstreams for each shard")? {
        check_name(name).map_err(|what| {
            let message = format!("expected {what}");
            shard.error(ErrorKind::Value, message)
        })?;
        shards.push(Entry {
            name: String::from(name),
            line: shard.line(),
            value: replicas(&shard)?,
        });
    }
    if shards.is_empty() || shards.len() > usize::from(u16::MAX) {
        return Err(field.error(
            ErrorKind::Value,
            format!("expected 1 to {} shards", u16::MAX),
        ));
    }
    Ok(shards)
}

fn replicas(field: &Field<'_, '_>) -> Result<Vec<String>, Error> {
    let mut names: Vec<String> = Vec::new();
    for replica in field.list("names of upstreams")? {
        let name = replica.text("the name of an upstream")?;
        if names.iter().any(|known| known == name) {
            return Err(replica.error(ErrorKind::Conflict, String::from("stands twice")));
        }
        names.push(String::from(name));
    }
    if names.is_empty() {
        return Err(field.error(
            ErrorKind::Value,
            String::from("expected at least one upstream"),
        ));
    }
    Ok(names)
}
