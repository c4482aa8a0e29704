//! Checks the catalogue that results from a note.
//!
//! The catalogue before the note satisfied all of these rules, so an entry that violates a rule was
//! added, changed or withdrawn by this note, and the error can name its line.

use std::collections::BTreeMap;

use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::prelude::*;

use super::Entry;
use super::Note;
use crate::error::Error;
use crate::error::ErrorKind;

/// The withdrawn entries of a note, by their former keys.
#[derive(Default)]
pub(super) struct WithdrawnByKey<'n> {
    pub(super) zones: BTreeMap<ZoneKey, &'n Entry<()>>,
    pub(super) upstreams: BTreeMap<UpstreamKey, &'n Entry<()>>,
    pub(super) customers: BTreeMap<CustomerKey, &'n Entry<()>>,
}

pub(super) fn check_catalog(
    note: &Note,
    catalog: &Catalog,
    withdrawn_by_key: &WithdrawnByKey<'_>,
) -> Result<(), Error> {
    for (_, upstream) in catalog.upstreams.iter() {
        check_zone_not_withdrawn(note, upstream, withdrawn_by_key)?;
    }
    for (_, search) in catalog.searches.iter() {
        let referrer = ReferringEntry {
            kind: "search",
            name: &search.name,
            customer: search.customer,
        };
        check_customer_not_withdrawn(note, referrer, withdrawn_by_key)?;
        for shard in &search.shards {
            check_upstreams_not_withdrawn(note, referrer, &shard.upstreams, withdrawn_by_key)?;
        }
    }
    for (_, operation) in catalog.operations.iter() {
        let referrer = ReferringEntry {
            kind: "operation",
            name: &operation.name,
            customer: operation.customer,
        };
        check_customer_not_withdrawn(note, referrer, withdrawn_by_key)?;
        check_upstreams_not_withdrawn(note, referrer, &operation.upstreams, withdrawn_by_key)?;
    }
    check_addresses_unique(note, catalog)?;
    check_customer_keys_unique(note, catalog)?;
    check_cold_slots(note, catalog)
}

/// A search or an operation that uses a customer and upstreams.
#[derive(Clone, Copy)]
struct ReferringEntry<'c> {
    kind: &'static str,
    name: &'c str,
    customer: CustomerKey,
}

fn check_zone_not_withdrawn(
    note: &Note,
    upstream: &Upstream,
    withdrawn_by_key: &WithdrawnByKey<'_>,
) -> Result<(), Error> {
    let Some(entry) = withdrawn_by_key.zones.get(&upstream.zone) else {
        return Ok(());
    };
    let message = format!("upstream \"{}\" is still in the zone", upstream.name);
    Err(in_use_error(note, "zones", entry, message))
}

fn check_customer_not_withdrawn(
    note: &Note,
    referrer: ReferringEntry<'_>,
    withdrawn_by_key: &WithdrawnByKey<'_>,
) -> Result<(), Error> {
    let Some(entry) = withdrawn_by_key.customers.get(&referrer.customer) else {
        return Ok(());
    };
    let message = format!(
        "the customer still has the {} \"{}\"",
        referrer.kind, referrer.name
    );
    Err(in_use_error(note, "customers", entry, message))
}

fn check_upstreams_not_withdrawn(
    note: &Note,
    referrer: ReferringEntry<'_>,
    upstreams: &[UpstreamKey],
    withdrawn_by_key: &WithdrawnByKey<'_>,
) -> Result<(), Error> {
    let Some(entry) = upstreams
        .iter()
        .find_map(|key| withdrawn_by_key.upstreams.get(key))
    else {
        return Ok(());
    };
    let message = format!(
        "the {} \"{}\" still uses the upstream",
        referrer.kind, referrer.name
    );
    Err(in_use_error(note, "upstreams", entry, message))
}

fn in_use_error(note: &Note, section: &str, entry: &Entry<()>, message: String) -> Error {
    let field = format!("withdrawn.{section}.{}", entry.name);
    note.error(ErrorKind::InUse, entry.line, field, message)
}

fn check_addresses_unique(note: &Note, catalog: &Catalog) -> Result<(), Error> {
    let mut seen = BTreeMap::new();
    for (_, upstream) in catalog.upstreams.iter() {
        let Some(other) = seen.insert(upstream.address, upstream) else {
            continue;
        };
        return Err(upstream_conflict_error(
            note,
            [upstream, other],
            "address",
            |other| format!("upstream \"{}\" has the same address", other.name),
        ));
    }
    Ok(())
}

fn check_cold_slots(note: &Note, catalog: &Catalog) -> Result<(), Error> {
    for (_, upstream) in catalog.upstreams.iter() {
        if upstream.cold_slots > upstream.slots {
            return Err(upstream_conflict_error(
                note,
                [upstream, upstream],
                "cold_slots",
                |checked_upstream| {
                    format!(
                        "expected at most slots ({}), found {}",
                        checked_upstream.slots, checked_upstream.cold_slots
                    )
                },
            ));
        }
    }
    Ok(())
}

/// Returns a conflict error at the line of the upstream that the note adds or changes, of two
/// upstreams.
fn upstream_conflict_error<M>(note: &Note, pair: [&Upstream; 2], field: &str, message: M) -> Error
where
    M: Fn(&Upstream) -> String,
{
    let added = ("added", &note.added.upstreams);
    let changed = ("changed", &note.changed.upstreams);
    for (index, upstream) in pair.iter().enumerate() {
        for (section, entries) in [added, changed] {
            if let Some(entry) = entries.iter().find(|entry| entry.name == upstream.name) {
                let field = format!("{section}.upstreams.{}.{field}", entry.name);
                let message = message(pair[1 - index]);
                return note.error(ErrorKind::Conflict, entry.line, field, message);
            }
        }
    }
    note.error(ErrorKind::Conflict, 0, "", message(pair[1]))
}

fn check_customer_keys_unique(note: &Note, catalog: &Catalog) -> Result<(), Error> {
    let mut seen = BTreeMap::new();
    for (_, customer) in catalog.customers.iter() {
        if let Some(other) = seen.insert(customer.key_sha256, customer) {
            return Err(customer_conflict_error(note, [customer, other]));
        }
    }
    Ok(())
}

/// Returns a conflict error at the line of the customer that the note adds or changes, of two
/// customers with the same key.
fn customer_conflict_error(note: &Note, pair: [&Customer; 2]) -> Error {
    let added = ("added", &note.added.customers);
    let changed = ("changed", &note.changed.customers);
    for (index, customer) in pair.iter().enumerate() {
        for (section, entries) in [added, changed] {
            if let Some(entry) = entries.iter().find(|entry| entry.name == customer.name) {
                let field = format!("{section}.customers.{}.key_sha256", entry.name);
                let message = format!("customer \"{}\" has the same key", pair[1 - index].name);
                return note.error(ErrorKind::Conflict, entry.line, field, message);
            }
        }
    }
    note.error(
        ErrorKind::Conflict,
        0,
        "",
        String::from("two customers have the same key"),
    )
}
