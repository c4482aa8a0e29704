//! Reads a note from the syntax tree of its JSON text.

use super::check_name;
use super::AddedEntries;
use super::CustomerChange;
use super::Entry;
use super::Note;
use super::OperationChange;
use super::SearchChange;
use super::UpstreamChange;
use super::WithdrawnEntries;
use super::ZoneChange;
use crate::document::Field;
use crate::document::JsonObject;
use crate::error::Error;
use crate::error::ErrorKind;

const ENTRY_KINDS: &[&str] = &["zones", "upstreams", "customers", "searches", "operations"];

/// The largest length of a note's explanation, in characters.
const EXPLANATION_MAX_CHARS: usize = 4_096;

/// The largest value of an upstream's or a customer's limits.
const UPSTREAM_OR_CUSTOMER_LIMIT_MAX: u32 = 1_000_000;

/// The largest weight of a search or an operation in the queues of upstreams.
const QUEUE_WEIGHT_MAX: u32 = 1_000;

/// The kind of a section, which determines whether required fields may be absent.
#[derive(Clone, Copy, Eq, PartialEq)]
enum SectionKind {
    Additions,
    Changes,
}

pub(super) fn read_note(root: Field<'_, '_>, text: &str, file: &str) -> Result<Note, Error> {
    let object = root.object(&["id", "author", "text", "added", "changed", "withdrawn"])?;
    let id = object.require("id", "a name for the note, new for each")?;
    let note = Note {
        id: read_name(id)?,
        id_line: id.line(),
        author: read_name(object.require("author", "who wrote the note")?)?,
        text: read_explanation(&object)?,
        file: String::from(file),
        document: text.as_bytes().to_vec(),
        added: read_section(&object, "added", SectionKind::Additions)?,
        changed: read_section(&object, "changed", SectionKind::Changes)?,
        withdrawn: read_withdrawn(&object)?,
    };
    if note.added == AddedEntries::default()
        && note.changed == AddedEntries::default()
        && note.withdrawn == WithdrawnEntries::default()
    {
        let message = String::from("expected something added, changed or withdrawn");
        return Err(root.error(ErrorKind::MissingField, message));
    }
    Ok(note)
}

fn read_explanation(object: &JsonObject<'_, '_>) -> Result<String, Error> {
    let Some(field) = object.get("text") else {
        return Ok(String::new());
    };
    let text = field.text("why the note was written")?;
    if text.chars().count() > EXPLANATION_MAX_CHARS {
        let message = format!("expected at most {EXPLANATION_MAX_CHARS} characters");
        return Err(field.error(ErrorKind::InvalidValue, message));
    }
    Ok(String::from(text))
}

fn read_section(
    note: &JsonObject<'_, '_>,
    name: &str,
    section_kind: SectionKind,
) -> Result<AddedEntries, Error> {
    let Some(field) = note.get(name) else {
        return Ok(AddedEntries::default());
    };
    let object = field.object(ENTRY_KINDS)?;
    Ok(AddedEntries {
        zones: read_entries(&object, "zones", check_name, |field| {
            read_zone(field, section_kind)
        })?,
        upstreams: read_entries(&object, "upstreams", check_name, |field| {
            read_upstream(field, section_kind)
        })?,
        customers: read_entries(&object, "customers", check_name, |field| {
            read_customer(field, section_kind)
        })?,
        searches: read_entries(&object, "searches", check_owned_name, |field| {
            read_search(field, section_kind)
        })?,
        operations: read_entries(&object, "operations", check_owned_name, |field| {
            read_operation(field, section_kind)
        })?,
    })
}

fn read_entries<T, C, R>(
    object: &JsonObject<'_, '_>,
    name: &str,
    check: C,
    read: R,
) -> Result<Vec<Entry<T>>, Error>
where
    C: Fn(&str) -> Result<(), &'static str>,
    R: Fn(&Field<'_, '_>) -> Result<T, Error>,
{
    let Some(field) = object.get(name) else {
        return Ok(Vec::new());
    };
    let mut entries = Vec::new();
    for (name, field) in field.entries("an object, by name")? {
        check(name).map_err(|expected_form| {
            let message = format!("expected {expected_form}");
            field.error(ErrorKind::InvalidValue, message)
        })?;
        entries.push(Entry {
            name: String::from(name),
            line: field.line(),
            value: read(&field)?,
        });
    }
    Ok(entries)
}

fn read_withdrawn(note: &JsonObject<'_, '_>) -> Result<WithdrawnEntries, Error> {
    let Some(field) = note.get("withdrawn") else {
        return Ok(WithdrawnEntries::default());
    };
    let object = field.object(ENTRY_KINDS)?;
    Ok(WithdrawnEntries {
        zones: read_names(&object, "zones")?,
        upstreams: read_names(&object, "upstreams")?,
        customers: read_names(&object, "customers")?,
        searches: read_names(&object, "searches")?,
        operations: read_names(&object, "operations")?,
    })
}

fn read_names(object: &JsonObject<'_, '_>, name: &str) -> Result<Vec<Entry<()>>, Error> {
    let Some(field) = object.get(name) else {
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

fn read_zone(field: &Field<'_, '_>, section_kind: SectionKind) -> Result<ZoneChange, Error> {
    let object = field.object(&["region", "in_service"])?;
    Ok(ZoneChange {
        region: read_field_required_in_additions(
            &object,
            "region",
            section_kind,
            "the name of a region",
            read_name,
        )?,
        in_service: object.get("in_service").map(Field::boolean).transpose()?,
    })
}

fn read_upstream(
    field: &Field<'_, '_>,
    section_kind: SectionKind,
) -> Result<UpstreamChange, Error> {
    let object = field.object(&[
        "address",
        "zone",
        "slots",
        "cold_slots",
        "connections",
        "in_service",
    ])?;
    let address = "an IP address with a port";
    Ok(UpstreamChange {
        address: read_field_required_in_additions(
            &object,
            "address",
            section_kind,
            address,
            read_connectable_address,
        )?,
        zone: read_field_required_in_additions(
            &object,
            "zone",
            section_kind,
            "the name of a zone",
            read_name,
        )?,
        slots: read_field_required_in_additions(
            &object,
            "slots",
            section_kind,
            "a whole number",
            read_limit,
        )?,
        cold_slots: object.get("cold_slots").map(read_limit).transpose()?,
        connections: read_field_required_in_additions(
            &object,
            "connections",
            section_kind,
            "a whole number",
            read_limit,
        )?,
        in_service: object.get("in_service").map(Field::boolean).transpose()?,
    })
}

fn read_customer(
    field: &Field<'_, '_>,
    section_kind: SectionKind,
) -> Result<CustomerChange, Error> {
    let object = field.object(&["key_sha256", "max_in_flight", "max_per_second"])?;
    Ok(CustomerChange {
        key_sha256: read_field_required_in_additions(
            &object,
            "key_sha256",
            section_kind,
            KEY_HASH_FORMAT,
            read_hash,
        )?,
        max_in_flight: read_field_required_in_additions(
            &object,
            "max_in_flight",
            section_kind,
            "a whole number",
            read_limit,
        )?,
        max_per_second: read_field_required_in_additions(
            &object,
            "max_per_second",
            section_kind,
            "a whole number",
            read_limit,
        )?,
    })
}

fn read_search(field: &Field<'_, '_>, section_kind: SectionKind) -> Result<SearchChange, Error> {
    let object = field.object(&["weight", "map", "shards"])?;
    Ok(SearchChange {
        weight: object.get("weight").map(read_weight).transpose()?,
        map: object.get("map").map(read_map).transpose()?,
        shards: read_field_required_in_additions(
            &object,
            "shards",
            section_kind,
            "the shards, by name",
            read_shards,
        )?,
    })
}

fn read_operation(
    field: &Field<'_, '_>,
    section_kind: SectionKind,
) -> Result<OperationChange, Error> {
    let object = field.object(&["weight", "upstreams"])?;
    Ok(OperationChange {
        weight: object.get("weight").map(read_weight).transpose()?,
        upstreams: read_field_required_in_additions(
            &object,
            "upstreams",
            section_kind,
            "names of upstreams",
            read_replicas,
        )?,
    })
}

/// Reads a field that is required in an addition and optional in a change.
fn read_field_required_in_additions<T, R>(
    object: &JsonObject<'_, '_>,
    name: &str,
    section_kind: SectionKind,
    expected_form: &str,
    read: R,
) -> Result<Option<T>, Error>
where
    R: Fn(&Field<'_, '_>) -> Result<T, Error>,
{
    match section_kind {
        SectionKind::Additions => Ok(Some(read(object.require(name, expected_form)?)?)),
        SectionKind::Changes => object.get(name).map(read).transpose(),
    }
}

fn read_name(field: &Field<'_, '_>) -> Result<String, Error> {
    let text = field.text("a name")?;
    check_name(text).map_err(|expected_form| field.expected(expected_form))?;
    Ok(String::from(text))
}

/// Checks a name of the form `customer/name`.
fn check_owned_name(name: &str) -> Result<(), &'static str> {
    let parts = name.split_once('/');
    let is_valid =
        |(customer, own): (&str, &str)| check_name(customer).is_ok() && check_name(own).is_ok();
    if !parts.is_some_and(is_valid) {
        return Err("a name of the form \"customer/name\"");
    }
    Ok(())
}

fn read_connectable_address(field: &Field<'_, '_>) -> Result<std::net::SocketAddr, Error> {
    let address = field.address()?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(field.expected("an address and a port that instances can connect to"));
    }
    Ok(address)
}

fn read_limit(field: &Field<'_, '_>) -> Result<u32, Error> {
    field.number(1, UPSTREAM_OR_CUSTOMER_LIMIT_MAX)
}

fn read_weight(field: &Field<'_, '_>) -> Result<u32, Error> {
    field.number(1, QUEUE_WEIGHT_MAX)
}

fn read_map(field: &Field<'_, '_>) -> Result<u32, Error> {
    field.number(1, u32::MAX)
}

const KEY_HASH_FORMAT: &str = "the SHA-256 hash of the customer's key, as 64 hexadecimal digits";

fn read_hash(field: &Field<'_, '_>) -> Result<[u8; 32], Error> {
    // The error omits the value, because an operator may have entered the key itself by mistake.
    let invalid_hash_error = || {
        field.error(
            ErrorKind::InvalidValue,
            format!("expected {KEY_HASH_FORMAT}"),
        )
    };
    let text = field
        .text(KEY_HASH_FORMAT)
        .map_err(|_| invalid_hash_error())?;
    parse_hash(text).ok_or_else(invalid_hash_error)
}

fn parse_hash(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut hash = [0; 32];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}

fn read_shards(field: &Field<'_, '_>) -> Result<Vec<Entry<Vec<String>>>, Error> {
    let mut shards = Vec::new();
    for (name, shard) in field.entries("an object: a list of upstreams for each shard")? {
        check_name(name).map_err(|expected_form| {
            let message = format!("expected {expected_form}");
            shard.error(ErrorKind::InvalidValue, message)
        })?;
        shards.push(Entry {
            name: String::from(name),
            line: shard.line(),
            value: read_replicas(&shard)?,
        });
    }
    if shards.is_empty() || shards.len() > usize::from(u16::MAX) {
        return Err(field.error(
            ErrorKind::InvalidValue,
            format!("expected 1 to {} shards", u16::MAX),
        ));
    }
    Ok(shards)
}

fn read_replicas(field: &Field<'_, '_>) -> Result<Vec<String>, Error> {
    let mut names: Vec<String> = Vec::new();
    for replica in field.list("names of upstreams")? {
        let name = replica.text("the name of an upstream")?;
        if names.iter().any(|known| known == name) {
            return Err(replica.error(ErrorKind::Conflict, String::from("is given twice")));
        }
        names.push(String::from(name));
    }
    if names.is_empty() {
        return Err(field.error(
            ErrorKind::InvalidValue,
            String::from("expected at least one upstream"),
        ));
    }
    Ok(names)
}
