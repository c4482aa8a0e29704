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
pub(super) struct Gone<'n> {
    pub(super) zones: BTreeMap<ZoneKey, &'n Entry<()>>,
    pub(super) upstreams: BTreeMap<UpstreamKey, &'n Entry<()>>,
    pub(super) customers: BTreeMap<CustomerKey, &'n Entry<()>>,
}

pub(super) fn catalog(note: &Note, catalog: &Catalog, gone: &Gone<'_>) -> Result<(), Error> {
    for (_, upstream) in catalog.upstreams.iter() {
        zone_stays(note, upstream, gone)?;
    }
    for (_, search) in catalog.searches.iter() {
        let user = Owned {
            kind: "search",
            name: &search.name,
            customer: search.customer,
        };
        customer_stays(note, user, gone)?;
        for shard in &search.shards {
            upstreams_stay(note, user, &shard.upstreams, gone)?;
        }
    }
    for (_, operation) in catalog.operations.iter() {
        let user = Owned {
            kind: "operation",
            name: &operation.name,
            customer: operation.customer,
        };
        customer_stays(note, user, gone)?;
        upstreams_stay(note, user, &operation.upstreams, gone)?;
    }
    addresses_differ(note, catalog)?;
    keys_differ(note, catalog)?;
    slots_fit(note, catalog)
}

/// A search or an operation that uses a customer and upstreams.
#[derive(Clone, Copy)]
struct Owned<'c> {
    kind: &'static str,
    name: &'c str,
    customer: CustomerKey,
}

fn zone_stays(note: &Note, upstream: &Upstream, gone: &Gone<'_>) -> Result<(), Error> {
    let Some(entry) = gone.zones.get(&upstream.zone) else {
        return Ok(());
    };
    let message = format!("upstream \"{}\" still lies in the zone", upstream.name);
    Err(in_use(note, "zones", entry, message))
}

fn customer_stays(note: &Note, user: Owned<'_>, gone: &Gone<'_>) -> Result<(), Error> {
    let Some(entry) = gone.customers.get(&user.customer) else {
        return Ok(());
    };
    let message = format!("the customer still has the {} \"{}\"", user.kind, user.name);
    Err(in_use(note, "customers", entry, message))
}

fn upstreams_stay(
    note: &Note,
    user: Owned<'_>,
    upstreams: &[UpstreamKey],
    gone: &Gone<'_>,
) -> Result<(), Error> {
    let Some(entry) = upstreams.iter().find_map(|key| gone.upstreams.get(key)) else {
        return Ok(());
    };
    let message = format!(
        "the {} \"{}\" still uses the upstream",
        user.kind, user.name
    );
    Err(in_use(note, "upstreams", entry, message))
}

fn in_use(note: &Note, section: &str, entry: &Entry<()>, message: String) -> Error {
    let field = format!("withdrawn.{section}.{}", entry.name);
    note.error(ErrorKind::InUse, entry.line, field, message)
}

fn addresses_differ(note: &Note, catalog: &Catalog) -> Result<(), Error> {
    let mut seen = BTreeMap::new();
    for (_, upstream) in catalog.upstreams.iter() {
        let Some(other) = seen.insert(upstream.address, upstream) else {
            continue;
        };
        return Err(touched_upstream(
            note,
            [upstream, other],
            "address",
            |other| format!("upstream \"{}\" has the same address", other.name),
        ));
    }
    Ok(())
}

fn slots_fit(note: &Note, catalog: &Catalog) -> Result<(), Error> {
    for (_, upstream) in catalog.upstreams.iter() {
        if upstream.cold_slots > upstream.slots {
            return Err(touched_upstream(
                note,
                [upstream, upstream],
                "cold_slots",
                |it| {
                    format!(
                        "expected at most slots ({}), found {}",
                        it.slots, it.cold_slots
                    )
                },
            ));
        }
    }
    Ok(())
}

/// Returns a conflict error at the line of the upstream that the note adds or changes, of two
/// upstreams.
fn touched_upstream<M>(note: &Note, pair: [&Upstream; 2], field: &str, message: M) -> Error
where
    M: Fn(&Upstream) -> String,
{
    let added = ("added", &note.added.upstreams);
    let changed = ("changed", &note.changed.upstreams);
    for (at, upstream) in pair.iter().enumerate() {
        for (section, entries) in [added, changed] {
            if let Some(entry) = entries.iter().find(|entry| entry.name == upstream.name) {
                let field = format!("{section}.upstreams.{}.{field}", entry.name);
                let message = message(pair[1 - at]);
                return note.error(ErrorKind::Conflict, entry.line, field, message);
            }
        }
    }
    note.error(ErrorKind::Conflict, 0, "", message(pair[1]))
}

fn keys_differ(note: &Note, catalog: &Catalog) -> Result<(), Error> {
    let mut seen = BTreeMap::new();
    for (_, customer) in catalog.customers.iter() {
        if let Some(other) = seen.insert(customer.key_sha256, customer) {
            return Err(touched_customer(note, [customer, other]));
        }
    }
    Ok(())
}

/// Returns a conflict error at the line of the customer that the note adds or changes, of two
/// customers with the same key.
fn touched_customer(note: &Note, pair: [&Customer; 2]) -> Error {
    let added = ("added", &note.added.customers);
    let changed = ("changed", &note.changed.customers);
    for (at, customer) in pair.iter().enumerate() {
        for (section, entries) in [added, changed] {
            if let Some(entry) = entries.iter().find(|entry| entry.name == customer.name) {
                let field = format!("{section}.customers.{}.key_sha256", entry.name);
                let message = format!("customer \"{}\" has the same key", pair[1 - at].name);
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
