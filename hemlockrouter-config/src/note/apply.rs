//! Applies a note to a catalogue.
//!
//! Additions are applied first, then changes, then withdrawals, each in the order of the text. So
//! one note can add upstreams, move a search to the added upstreams, and withdraw the upstreams
//! that the search used before. The order is part of the format, because it determines the assigned
//! keys.

use std::collections::BTreeMap;

use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::catalog::NoteSummary;
use hemlockrouter_types::catalog::Operation;
use hemlockrouter_types::catalog::Search;
use hemlockrouter_types::catalog::Shard;
use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::catalog::Zone;
use hemlockrouter_types::catalog::RECENT_NOTES_MAX;
use hemlockrouter_types::prelude::*;

use super::check;
use super::check::WithdrawnByKey;
use super::CustomerChange;
use super::Entry;
use super::Note;
use super::OperationChange;
use super::SearchChange;
use super::UpstreamChange;
use super::ZoneChange;
use crate::error::Error;
use crate::error::ErrorKind;

/// The largest number of entries of one kind in a catalogue.
const MAX_ENTRIES_PER_KIND: usize = 200_000;

/// The panic message for a missing field of an addition, which the parser rules out.
const ADDITION_IS_COMPLETE: &str = "the parser checks that an addition has every required field";

impl Note {
    /// Returns the catalogue that results from this note, accepted under `number`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line and the field, and applies no part of the note, if
    ///
    /// - the note's id was used before,
    /// - an added entry exists already,
    /// - a changed or withdrawn entry does not exist,
    /// - a name refers to nothing,
    /// - a withdrawn entry is still used,
    /// - a search's new map version is not above the old one,
    /// - two upstreams would have the same address, or two customers the same key,
    /// - an upstream would have more cold slots than slots, or
    /// - the catalogue would hold too many entries of one kind.
    pub fn apply(&self, catalog: &Catalog, number: ConfigNumber) -> Result<Catalog, Error> {
        if let Some(head) = catalog.find_note(&self.id) {
            let message = format!(
                "a note with this id was accepted as number {}; choose another id",
                head.number
            );
            return Err(self.error(ErrorKind::Conflict, self.id_line, "id", message));
        }
        let mut draft = CatalogDraft::new(self, catalog);
        draft.apply_additions()?;
        draft.apply_changes()?;
        draft.apply_withdrawals()?;
        check::check_catalog(self, &draft.catalog, &draft.withdrawn_by_key)?;
        Ok(draft.into_catalog(number))
    }

    pub(super) fn error<S>(&self, kind: ErrorKind, line: usize, field: S, message: String) -> Error
    where
        S: AsRef<str>,
    {
        Error::new(kind, &self.file, line, field.as_ref(), message)
    }
}

/// A catalogue to which a note is being applied, with indexes of keys by name.
struct CatalogDraft<'n> {
    note: &'n Note,
    catalog: Catalog,
    zones: BTreeMap<String, ZoneKey>,
    upstreams: BTreeMap<String, UpstreamKey>,
    customers: BTreeMap<String, CustomerKey>,
    searches: BTreeMap<String, SearchKey>,
    operations: BTreeMap<String, OperationKey>,
    withdrawn_by_key: WithdrawnByKey<'n>,
}

/// The section, name and line of an entry, for errors.
#[derive(Clone, Copy)]
struct EntryPosition<'e> {
    section: &'static str,
    name: &'e str,
    line: usize,
}

impl<'e> EntryPosition<'e> {
    fn of_entry<T>(section: &'static str, entry: &'e Entry<T>) -> EntryPosition<'e> {
        EntryPosition {
            section,
            name: &entry.name,
            line: entry.line,
        }
    }
}

impl<'n> CatalogDraft<'n> {
    fn new(note: &'n Note, catalog: &Catalog) -> CatalogDraft<'n> {
        let catalog = catalog.clone();
        let customer_name = |key| catalog.customers.get(key).map_or("", |found| &found.name);
        let qualified_name = |customer, name: &str| format!("{}/{name}", customer_name(customer));
        CatalogDraft {
            note,
            zones: index_by_name(&catalog.zones, |zone| zone.name.clone()),
            upstreams: index_by_name(&catalog.upstreams, |upstream| upstream.name.clone()),
            customers: index_by_name(&catalog.customers, |customer| customer.name.clone()),
            searches: index_by_name(&catalog.searches, |search| {
                qualified_name(search.customer, &search.name)
            }),
            operations: index_by_name(&catalog.operations, |operation| {
                qualified_name(operation.customer, &operation.name)
            }),
            withdrawn_by_key: WithdrawnByKey::default(),
            catalog,
        }
    }

    fn apply_additions(&mut self) -> Result<(), Error> {
        let note = self.note;
        for entry in &note.added.zones {
            self.add_zone(EntryPosition::of_entry("added.zones", entry), &entry.value)?;
        }
        for entry in &note.added.upstreams {
            self.add_upstream(
                EntryPosition::of_entry("added.upstreams", entry),
                &entry.value,
            )?;
        }
        for entry in &note.added.customers {
            self.add_customer(
                EntryPosition::of_entry("added.customers", entry),
                &entry.value,
            )?;
        }
        for entry in &note.added.searches {
            self.add_search(
                EntryPosition::of_entry("added.searches", entry),
                &entry.value,
            )?;
        }
        for entry in &note.added.operations {
            self.add_operation(
                EntryPosition::of_entry("added.operations", entry),
                &entry.value,
            )?;
        }
        Ok(())
    }

    fn add_zone(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &ZoneChange,
    ) -> Result<(), Error> {
        self.check_absent(position, "zone", self.zones.contains_key(position.name))?;
        self.check_entry_limit(position, self.catalog.zones.len())?;
        let key = self.catalog.zones.insert(Zone {
            name: String::from(position.name),
            region: new_values.region.clone().expect(ADDITION_IS_COMPLETE),
            in_service: new_values.in_service.unwrap_or(true),
        });
        self.zones.insert(String::from(position.name), key);
        Ok(())
    }

    fn add_upstream(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &UpstreamChange,
    ) -> Result<(), Error> {
        self.check_absent(
            position,
            "upstream",
            self.upstreams.contains_key(position.name),
        )?;
        self.check_entry_limit(position, self.catalog.upstreams.len())?;
        let zone = self.find_zone_key(
            position,
            new_values.zone.as_ref().expect(ADDITION_IS_COMPLETE),
        )?;
        let key = self.catalog.upstreams.insert(Upstream {
            name: String::from(position.name),
            address: new_values.address.expect(ADDITION_IS_COMPLETE),
            zone,
            slots: new_values.slots.expect(ADDITION_IS_COMPLETE),
            cold_slots: new_values.cold_slots.unwrap_or(1),
            connections: new_values.connections.expect(ADDITION_IS_COMPLETE),
            in_service: new_values.in_service.unwrap_or(true),
        });
        self.upstreams.insert(String::from(position.name), key);
        Ok(())
    }

    fn add_customer(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &CustomerChange,
    ) -> Result<(), Error> {
        self.check_absent(
            position,
            "customer",
            self.customers.contains_key(position.name),
        )?;
        self.check_entry_limit(position, self.catalog.customers.len())?;
        let key = self.catalog.customers.insert(Customer {
            name: String::from(position.name),
            key_sha256: new_values.key_sha256.expect(ADDITION_IS_COMPLETE),
            max_in_flight: new_values.max_in_flight.expect(ADDITION_IS_COMPLETE),
            max_per_second: new_values.max_per_second.expect(ADDITION_IS_COMPLETE),
        });
        self.customers.insert(String::from(position.name), key);
        Ok(())
    }

    fn add_search(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &SearchChange,
    ) -> Result<(), Error> {
        self.check_absent(
            position,
            "search",
            self.searches.contains_key(position.name),
        )?;
        self.check_entry_limit(position, self.catalog.searches.len())?;
        let (customer, name) = self.split_owned_name(position)?;
        let shards = self.resolve_shards(
            position,
            new_values.shards.as_ref().expect(ADDITION_IS_COMPLETE),
        )?;
        let key = self.catalog.searches.insert(Search {
            name,
            customer,
            weight: new_values.weight.unwrap_or(1),
            map: MapVersion(new_values.map.unwrap_or(1)),
            shards,
        });
        self.searches.insert(String::from(position.name), key);
        Ok(())
    }

    fn add_operation(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &OperationChange,
    ) -> Result<(), Error> {
        self.check_absent(
            position,
            "operation",
            self.operations.contains_key(position.name),
        )?;
        self.check_entry_limit(position, self.catalog.operations.len())?;
        let (customer, name) = self.split_owned_name(position)?;
        let upstreams = self.find_upstream_keys(
            position,
            new_values.upstreams.as_ref().expect(ADDITION_IS_COMPLETE),
        )?;
        let key = self.catalog.operations.insert(Operation {
            name,
            customer,
            weight: new_values.weight.unwrap_or(1),
            upstreams,
        });
        self.operations.insert(String::from(position.name), key);
        Ok(())
    }

    fn apply_changes(&mut self) -> Result<(), Error> {
        let note = self.note;
        for entry in &note.changed.zones {
            self.change_zone(
                EntryPosition::of_entry("changed.zones", entry),
                &entry.value,
            )?;
        }
        for entry in &note.changed.upstreams {
            self.change_upstream(
                EntryPosition::of_entry("changed.upstreams", entry),
                &entry.value,
            )?;
        }
        for entry in &note.changed.customers {
            self.change_customer(
                EntryPosition::of_entry("changed.customers", entry),
                &entry.value,
            )?;
        }
        for entry in &note.changed.searches {
            self.change_search(
                EntryPosition::of_entry("changed.searches", entry),
                &entry.value,
            )?;
        }
        for entry in &note.changed.operations {
            self.change_operation(
                EntryPosition::of_entry("changed.operations", entry),
                &entry.value,
            )?;
        }
        Ok(())
    }

    fn change_zone(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &ZoneChange,
    ) -> Result<(), Error> {
        let key = self.require_existing(position, "zone", self.zones.get(position.name))?;
        let zone = self.catalog.zones.get_mut(key).expect(INDEXED_KEY_EXISTS);
        set_if_some(&mut zone.region, new_values.region.clone());
        set_if_some(&mut zone.in_service, new_values.in_service);
        Ok(())
    }

    fn change_upstream(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &UpstreamChange,
    ) -> Result<(), Error> {
        let key = self.require_existing(position, "upstream", self.upstreams.get(position.name))?;
        let zone = match &new_values.zone {
            Some(name) => Some(self.find_zone_key(position, name)?),
            None => None,
        };
        let upstream = self
            .catalog
            .upstreams
            .get_mut(key)
            .expect(INDEXED_KEY_EXISTS);
        set_if_some(&mut upstream.zone, zone);
        set_if_some(&mut upstream.address, new_values.address);
        set_if_some(&mut upstream.slots, new_values.slots);
        set_if_some(&mut upstream.cold_slots, new_values.cold_slots);
        set_if_some(&mut upstream.connections, new_values.connections);
        set_if_some(&mut upstream.in_service, new_values.in_service);
        Ok(())
    }

    fn change_customer(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &CustomerChange,
    ) -> Result<(), Error> {
        let key = self.require_existing(position, "customer", self.customers.get(position.name))?;
        let customer = self
            .catalog
            .customers
            .get_mut(key)
            .expect(INDEXED_KEY_EXISTS);
        set_if_some(&mut customer.key_sha256, new_values.key_sha256);
        set_if_some(&mut customer.max_in_flight, new_values.max_in_flight);
        set_if_some(&mut customer.max_per_second, new_values.max_per_second);
        Ok(())
    }

    fn change_search(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &SearchChange,
    ) -> Result<(), Error> {
        let key = self.require_existing(position, "search", self.searches.get(position.name))?;
        let shards = match &new_values.shards {
            Some(shards) => Some(self.resolve_shards(position, shards)?),
            None => None,
        };
        let search = self
            .catalog
            .searches
            .get_mut(key)
            .expect(INDEXED_KEY_EXISTS);
        set_if_some(&mut search.weight, new_values.weight);
        let old_map = search.map;
        if let Some(shards) = shards {
            if !same_partition(&shards, &search.shards) {
                search.map = MapVersion(old_map.0.saturating_add(1));
            }
            search.shards = shards;
        }
        match new_values.map {
            Some(map) if map <= old_map.0 => {
                let field = format!("{}.{}.map", position.section, position.name);
                let message = format!("expected a number above {old_map}, found {map}");
                Err(self
                    .note
                    .error(ErrorKind::InvalidValue, position.line, field, message))
            }
            Some(map) => {
                search.map = MapVersion(map);
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn change_operation(
        &mut self,
        position: EntryPosition<'_>,
        new_values: &OperationChange,
    ) -> Result<(), Error> {
        let key =
            self.require_existing(position, "operation", self.operations.get(position.name))?;
        let upstreams = match &new_values.upstreams {
            Some(names) => Some(self.find_upstream_keys(position, names)?),
            None => None,
        };
        let operation = self
            .catalog
            .operations
            .get_mut(key)
            .expect(INDEXED_KEY_EXISTS);
        set_if_some(&mut operation.weight, new_values.weight);
        set_if_some(&mut operation.upstreams, upstreams);
        Ok(())
    }

    /// Withdraws entries before the entries that they refer to: operations and searches first,
    /// zones last. `check` later looks for references to withdrawn entries in the resulting
    /// catalogue.
    fn apply_withdrawals(&mut self) -> Result<(), Error> {
        let note = self.note;
        let withdrawn = &note.withdrawn;
        for entry in &withdrawn.operations {
            let position = EntryPosition::of_entry("withdrawn.operations", entry);
            let key =
                self.require_existing(position, "operation", self.operations.get(position.name))?;
            self.catalog.operations.remove(key);
            self.operations.remove(position.name);
        }
        for entry in &withdrawn.searches {
            let position = EntryPosition::of_entry("withdrawn.searches", entry);
            let key =
                self.require_existing(position, "search", self.searches.get(position.name))?;
            self.catalog.searches.remove(key);
            self.searches.remove(position.name);
        }
        for entry in &withdrawn.customers {
            let position = EntryPosition::of_entry("withdrawn.customers", entry);
            let key =
                self.require_existing(position, "customer", self.customers.get(position.name))?;
            self.catalog.customers.remove(key);
            self.withdrawn_by_key.customers.insert(key, entry);
            self.customers.remove(position.name);
        }
        for entry in &withdrawn.upstreams {
            let position = EntryPosition::of_entry("withdrawn.upstreams", entry);
            let key =
                self.require_existing(position, "upstream", self.upstreams.get(position.name))?;
            self.catalog.upstreams.remove(key);
            self.withdrawn_by_key.upstreams.insert(key, entry);
            self.upstreams.remove(position.name);
        }
        for entry in &withdrawn.zones {
            let position = EntryPosition::of_entry("withdrawn.zones", entry);
            let key = self.require_existing(position, "zone", self.zones.get(position.name))?;
            self.catalog.zones.remove(key);
            self.withdrawn_by_key.zones.insert(key, entry);
            self.zones.remove(position.name);
        }
        Ok(())
    }

    fn into_catalog(mut self, number: ConfigNumber) -> Catalog {
        self.catalog.number = number;
        self.catalog.recent.push_back(NoteSummary {
            number,
            id: self.note.id.clone(),
            author: self.note.author.clone(),
            digest: self.note.digest(),
        });
        if self.catalog.recent.len() > RECENT_NOTES_MAX {
            self.catalog.recent.pop_front();
        }
        self.catalog
    }

    fn error(&self, kind: ErrorKind, position: EntryPosition<'_>, message: String) -> Error {
        let field = format!("{}.{}", position.section, position.name);
        self.note.error(kind, position.line, field, message)
    }

    fn check_absent(
        &self,
        position: EntryPosition<'_>,
        entry_kind: &str,
        exists: bool,
    ) -> Result<(), Error> {
        if exists {
            let message = format!("the {entry_kind} exists already; change it under \"changed\"");
            return Err(self.error(ErrorKind::Conflict, position, message));
        }
        Ok(())
    }

    fn check_entry_limit(&self, position: EntryPosition<'_>, len: usize) -> Result<(), Error> {
        if len >= MAX_ENTRIES_PER_KIND {
            let message = format!("there are {MAX_ENTRIES_PER_KIND} already; withdraw some first");
            return Err(self.error(ErrorKind::TooLarge, position, message));
        }
        Ok(())
    }

    fn require_existing<K>(
        &self,
        position: EntryPosition<'_>,
        entry_kind: &str,
        key: Option<&K>,
    ) -> Result<K, Error>
    where
        K: Copy,
    {
        key.copied().ok_or_else(|| {
            let message = format!("there is no such {entry_kind}");
            self.error(ErrorKind::NotFound, position, message)
        })
    }

    fn find_zone_key(&self, position: EntryPosition<'_>, name: &str) -> Result<ZoneKey, Error> {
        self.zones.get(name).copied().ok_or_else(|| {
            let message = format!("there is no zone \"{name}\"");
            self.error(ErrorKind::NotFound, position, message)
        })
    }

    /// Splits the entry's name, `customer/name`, and finds the customer.
    fn split_owned_name(
        &self,
        position: EntryPosition<'_>,
    ) -> Result<(CustomerKey, String), Error> {
        let (customer, name) = position
            .name
            .split_once('/')
            .expect("the parser checked the form of the name");
        let key = self.customers.get(customer).copied().ok_or_else(|| {
            let message = format!("there is no customer \"{customer}\"");
            self.error(ErrorKind::NotFound, position, message)
        })?;
        Ok((key, String::from(name)))
    }

    fn resolve_shards(
        &self,
        position: EntryPosition<'_>,
        shards: &[Entry<Vec<String>>],
    ) -> Result<Vec<Shard>, Error> {
        let mut found = Vec::with_capacity(shards.len());
        for shard in shards {
            let position = EntryPosition {
                line: shard.line,
                ..position
            };
            found.push(Shard {
                name: shard.name.clone(),
                upstreams: self.find_upstream_keys(position, &shard.value)?,
            });
        }
        Ok(found)
    }

    fn find_upstream_keys(
        &self,
        position: EntryPosition<'_>,
        names: &[String],
    ) -> Result<Vec<UpstreamKey>, Error> {
        let mut keys = Vec::with_capacity(names.len());
        for name in names {
            let key = self.upstreams.get(name).copied().ok_or_else(|| {
                let message = format!("there is no upstream \"{name}\"");
                self.error(ErrorKind::NotFound, position, message)
            })?;
            keys.push(key);
        }
        Ok(keys)
    }
}

const INDEXED_KEY_EXISTS: &str = "every indexed key is in the catalogue";

/// Returns whether two shard maps have the same shards in the same order. Adding or removing a
/// replica moves no data between shards, so it does not need a new map version.
fn same_partition(left: &[Shard], right: &[Shard]) -> bool {
    let left = left.iter().map(|shard| &shard.name);
    let right = right.iter().map(|shard| &shard.name);
    left.eq(right)
}

fn index_by_name<K, V, N>(arena: &Arena<K, V>, name: N) -> BTreeMap<String, K>
where
    K: Key,
    N: Fn(&V) -> String,
{
    arena
        .iter()
        .map(|(key, value)| (name(value), key))
        .collect()
}

fn set_if_some<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
