//! Applies a note to a catalogue.
//!
//! Additions are applied first, then changes, then withdrawals, each in the order of the text. So one
//! note can add upstreams, move a search to the added upstreams, and withdraw the upstreams that the
//! search used before. The order is part of the format, because it determines the assigned keys.

use std::collections::BTreeMap;

use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::catalog::NoteHead;
use hemlockrouter_types::catalog::Operation;
use hemlockrouter_types::catalog::Search;
use hemlockrouter_types::catalog::Shard;
use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::catalog::Zone;
use hemlockrouter_types::catalog::RECENT_NOTES_MAX;
use hemlockrouter_types::prelude::*;

use super::check;
use super::check::Gone;
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
const ENTRIES_MAX: usize = 200_000;

/// The panic message for a missing field of an addition, which the parser rules out.
const GIVEN: &str = "an addition gives every required field";

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
        let mut draft = Draft::new(self, catalog);
        draft.add()?;
        draft.change()?;
        draft.withdraw()?;
        check::catalog(self, &draft.catalog, &draft.gone)?;
        Ok(draft.finish(number))
    }

    pub(super) fn error<S>(&self, kind: ErrorKind, line: usize, field: S, message: String) -> Error
    where
        S: AsRef<str>,
    {
        Error::new(kind, &self.file, line, field.as_ref(), message)
    }
}

/// A catalogue to which a note is being applied, with indexes of keys by name.
struct Draft<'n> {
    note: &'n Note,
    catalog: Catalog,
    zones: BTreeMap<String, ZoneKey>,
    upstreams: BTreeMap<String, UpstreamKey>,
    customers: BTreeMap<String, CustomerKey>,
    searches: BTreeMap<String, SearchKey>,
    operations: BTreeMap<String, OperationKey>,
    gone: Gone<'n>,
}

/// The section, name and line of an entry, for errors.
#[derive(Clone, Copy)]
struct Place<'e> {
    section: &'static str,
    name: &'e str,
    line: usize,
}

impl<'e> Place<'e> {
    fn of<T>(section: &'static str, entry: &'e Entry<T>) -> Place<'e> {
        Place {
            section,
            name: &entry.name,
            line: entry.line,
        }
    }
}

impl<'n> Draft<'n> {
    fn new(note: &'n Note, catalog: &Catalog) -> Draft<'n> {
        let catalog = catalog.clone();
        let customer_name = |key| catalog.customers.get(key).map_or("", |found| &found.name);
        let owned = |customer, name: &str| format!("{}/{name}", customer_name(customer));
        Draft {
            note,
            zones: by_name(&catalog.zones, |zone| zone.name.clone()),
            upstreams: by_name(&catalog.upstreams, |upstream| upstream.name.clone()),
            customers: by_name(&catalog.customers, |customer| customer.name.clone()),
            searches: by_name(&catalog.searches, |search| {
                owned(search.customer, &search.name)
            }),
            operations: by_name(&catalog.operations, |operation| {
                owned(operation.customer, &operation.name)
            }),
            gone: Gone::default(),
            catalog,
        }
    }

    fn add(&mut self) -> Result<(), Error> {
        let note = self.note;
        for entry in &note.added.zones {
            self.add_zone(Place::of("added.zones", entry), &entry.value)?;
        }
        for entry in &note.added.upstreams {
            self.add_upstream(Place::of("added.upstreams", entry), &entry.value)?;
        }
        for entry in &note.added.customers {
            self.add_customer(Place::of("added.customers", entry), &entry.value)?;
        }
        for entry in &note.added.searches {
            self.add_search(Place::of("added.searches", entry), &entry.value)?;
        }
        for entry in &note.added.operations {
            self.add_operation(Place::of("added.operations", entry), &entry.value)?;
        }
        Ok(())
    }

    fn add_zone(&mut self, place: Place<'_>, given: &ZoneChange) -> Result<(), Error> {
        self.check_new(place, "zone", self.zones.contains_key(place.name))?;
        self.check_room(place, self.catalog.zones.len())?;
        let key = self.catalog.zones.insert(Zone {
            name: String::from(place.name),
            region: given.region.clone().expect(GIVEN),
            in_service: given.in_service.unwrap_or(true),
        });
        self.zones.insert(String::from(place.name), key);
        Ok(())
    }

    fn add_upstream(&mut self, place: Place<'_>, given: &UpstreamChange) -> Result<(), Error> {
        self.check_new(place, "upstream", self.upstreams.contains_key(place.name))?;
        self.check_room(place, self.catalog.upstreams.len())?;
        let zone = self.zone(place, given.zone.as_ref().expect(GIVEN))?;
        let key = self.catalog.upstreams.insert(Upstream {
            name: String::from(place.name),
            address: given.address.expect(GIVEN),
            zone,
            slots: given.slots.expect(GIVEN),
            cold_slots: given.cold_slots.unwrap_or(1),
            connections: given.connections.expect(GIVEN),
            in_service: given.in_service.unwrap_or(true),
        });
        self.upstreams.insert(String::from(place.name), key);
        Ok(())
    }

    fn add_customer(&mut self, place: Place<'_>, given: &CustomerChange) -> Result<(), Error> {
        self.check_new(place, "customer", self.customers.contains_key(place.name))?;
        self.check_room(place, self.catalog.customers.len())?;
        let key = self.catalog.customers.insert(Customer {
            name: String::from(place.name),
            key_sha256: given.key_sha256.expect(GIVEN),
            max_in_flight: given.max_in_flight.expect(GIVEN),
            max_per_second: given.max_per_second.expect(GIVEN),
        });
        self.customers.insert(String::from(place.name), key);
        Ok(())
    }

    fn add_search(&mut self, place: Place<'_>, given: &SearchChange) -> Result<(), Error> {
        self.check_new(place, "search", self.searches.contains_key(place.name))?;
        self.check_room(place, self.catalog.searches.len())?;
        let (customer, name) = self.owner(place)?;
        let shards = self.shards(place, given.shards.as_ref().expect(GIVEN))?;
        let key = self.catalog.searches.insert(Search {
            name,
            customer,
            weight: given.weight.unwrap_or(1),
            map: MapVersion(given.map.unwrap_or(1)),
            shards,
        });
        self.searches.insert(String::from(place.name), key);
        Ok(())
    }

    fn add_operation(&mut self, place: Place<'_>, given: &OperationChange) -> Result<(), Error> {
        self.check_new(place, "operation", self.operations.contains_key(place.name))?;
        self.check_room(place, self.catalog.operations.len())?;
        let (customer, name) = self.owner(place)?;
        let upstreams = self.replicas(place, given.upstreams.as_ref().expect(GIVEN))?;
        let key = self.catalog.operations.insert(Operation {
            name,
            customer,
            weight: given.weight.unwrap_or(1),
            upstreams,
        });
        self.operations.insert(String::from(place.name), key);
        Ok(())
    }

    fn change(&mut self) -> Result<(), Error> {
        let note = self.note;
        for entry in &note.changed.zones {
            self.change_zone(Place::of("changed.zones", entry), &entry.value)?;
        }
        for entry in &note.changed.upstreams {
            self.change_upstream(Place::of("changed.upstreams", entry), &entry.value)?;
        }
        for entry in &note.changed.customers {
            self.change_customer(Place::of("changed.customers", entry), &entry.value)?;
        }
        for entry in &note.changed.searches {
            self.change_search(Place::of("changed.searches", entry), &entry.value)?;
        }
        for entry in &note.changed.operations {
            self.change_operation(Place::of("changed.operations", entry), &entry.value)?;
        }
        Ok(())
    }

    fn change_zone(&mut self, place: Place<'_>, given: &ZoneChange) -> Result<(), Error> {
        let key = self.known(place, "zone", self.zones.get(place.name))?;
        let zone = self.catalog.zones.get_mut(key).expect(NAMED);
        set(&mut zone.region, given.region.clone());
        set(&mut zone.in_service, given.in_service);
        Ok(())
    }

    fn change_upstream(&mut self, place: Place<'_>, given: &UpstreamChange) -> Result<(), Error> {
        let key = self.known(place, "upstream", self.upstreams.get(place.name))?;
        let zone = match &given.zone {
            Some(name) => Some(self.zone(place, name)?),
            None => None,
        };
        let upstream = self.catalog.upstreams.get_mut(key).expect(NAMED);
        set(&mut upstream.zone, zone);
        set(&mut upstream.address, given.address);
        set(&mut upstream.slots, given.slots);
        set(&mut upstream.cold_slots, given.cold_slots);
        set(&mut upstream.connections, given.connections);
        set(&mut upstream.in_service, given.in_service);
        Ok(())
    }

    fn change_customer(&mut self, place: Place<'_>, given: &CustomerChange) -> Result<(), Error> {
        let key = self.known(place, "customer", self.customers.get(place.name))?;
        let customer = self.catalog.customers.get_mut(key).expect(NAMED);
        set(&mut customer.key_sha256, given.key_sha256);
        set(&mut customer.max_in_flight, given.max_in_flight);
        set(&mut customer.max_per_second, given.max_per_second);
        Ok(())
    }

    fn change_search(&mut self, place: Place<'_>, given: &SearchChange) -> Result<(), Error> {
        let key = self.known(place, "search", self.searches.get(place.name))?;
        let shards = match &given.shards {
            Some(shards) => Some(self.shards(place, shards)?),
            None => None,
        };
        let search = self.catalog.searches.get_mut(key).expect(NAMED);
        set(&mut search.weight, given.weight);
        let old_map = search.map;
        if let Some(shards) = shards {
            if !same_partition(&shards, &search.shards) {
                search.map = MapVersion(old_map.0.saturating_add(1));
            }
            search.shards = shards;
        }
        match given.map {
            Some(map) if map <= old_map.0 => {
                let field = format!("{}.{}.map", place.section, place.name);
                let message = format!("expected a number above {old_map}, found {map}");
                Err(self
                    .note
                    .error(ErrorKind::Value, place.line, field, message))
            }
            Some(map) => {
                search.map = MapVersion(map);
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn change_operation(&mut self, place: Place<'_>, given: &OperationChange) -> Result<(), Error> {
        let key = self.known(place, "operation", self.operations.get(place.name))?;
        let upstreams = match &given.upstreams {
            Some(names) => Some(self.replicas(place, names)?),
            None => None,
        };
        let operation = self.catalog.operations.get_mut(key).expect(NAMED);
        set(&mut operation.weight, given.weight);
        set(&mut operation.upstreams, upstreams);
        Ok(())
    }

    /// Withdraws entries before the entries that they refer to: operations and searches first, zones
    /// last. `check` later looks for references to withdrawn entries in the resulting catalogue.
    fn withdraw(&mut self) -> Result<(), Error> {
        let note = self.note;
        let withdrawn = &note.withdrawn;
        for entry in &withdrawn.operations {
            let place = Place::of("withdrawn.operations", entry);
            let key = self.known(place, "operation", self.operations.get(place.name))?;
            self.catalog.operations.remove(key);
            self.operations.remove(place.name);
        }
        for entry in &withdrawn.searches {
            let place = Place::of("withdrawn.searches", entry);
            let key = self.known(place, "search", self.searches.get(place.name))?;
            self.catalog.searches.remove(key);
            self.searches.remove(place.name);
        }
        for entry in &withdrawn.customers {
            let place = Place::of("withdrawn.customers", entry);
            let key = self.known(place, "customer", self.customers.get(place.name))?;
            self.catalog.customers.remove(key);
            self.gone.customers.insert(key, entry);
            self.customers.remove(place.name);
        }
        for entry in &withdrawn.upstreams {
            let place = Place::of("withdrawn.upstreams", entry);
            let key = self.known(place, "upstream", self.upstreams.get(place.name))?;
            self.catalog.upstreams.remove(key);
            self.gone.upstreams.insert(key, entry);
            self.upstreams.remove(place.name);
        }
        for entry in &withdrawn.zones {
            let place = Place::of("withdrawn.zones", entry);
            let key = self.known(place, "zone", self.zones.get(place.name))?;
            self.catalog.zones.remove(key);
            self.gone.zones.insert(key, entry);
            self.zones.remove(place.name);
        }
        Ok(())
    }

    fn finish(mut self, number: ConfigNumber) -> Catalog {
        self.catalog.number = number;
        self.catalog.recent.push_back(NoteHead {
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

    fn error(&self, kind: ErrorKind, place: Place<'_>, message: String) -> Error {
        let field = format!("{}.{}", place.section, place.name);
        self.note.error(kind, place.line, field, message)
    }

    fn check_new(&self, place: Place<'_>, what: &str, exists: bool) -> Result<(), Error> {
        if exists {
            let message = format!("the {what} exists already; change it under \"changed\"");
            return Err(self.error(ErrorKind::Conflict, place, message));
        }
        Ok(())
    }

    fn check_room(&self, place: Place<'_>, len: usize) -> Result<(), Error> {
        if len >= ENTRIES_MAX {
            let message = format!("there are {ENTRIES_MAX} already; withdraw some first");
            return Err(self.error(ErrorKind::TooLarge, place, message));
        }
        Ok(())
    }

    fn known<K>(&self, place: Place<'_>, what: &str, key: Option<&K>) -> Result<K, Error>
    where
        K: Copy,
    {
        key.copied().ok_or_else(|| {
            let message = format!("there is no such {what}");
            self.error(ErrorKind::NotFound, place, message)
        })
    }

    fn zone(&self, place: Place<'_>, name: &str) -> Result<ZoneKey, Error> {
        self.zones.get(name).copied().ok_or_else(|| {
            let message = format!("there is no zone \"{name}\"");
            self.error(ErrorKind::NotFound, place, message)
        })
    }

    /// Splits the entry's name, `customer/name`, and finds the customer.
    fn owner(&self, place: Place<'_>) -> Result<(CustomerKey, String), Error> {
        let (customer, name) = place.name.split_once('/').expect("the reader checked it");
        let key = self.customers.get(customer).copied().ok_or_else(|| {
            let message = format!("there is no customer \"{customer}\"");
            self.error(ErrorKind::NotFound, place, message)
        })?;
        Ok((key, String::from(name)))
    }

    fn shards(&self, place: Place<'_>, shards: &[Entry<Vec<String>>]) -> Result<Vec<Shard>, Error> {
        let mut found = Vec::with_capacity(shards.len());
        for shard in shards {
            let place = Place {
                line: shard.line,
                ..place
            };
            found.push(Shard {
                name: shard.name.clone(),
                upstreams: self.replicas(place, &shard.value)?,
            });
        }
        Ok(found)
    }

    fn replicas(&self, place: Place<'_>, names: &[String]) -> Result<Vec<UpstreamKey>, Error> {
        let mut keys = Vec::with_capacity(names.len());
        for name in names {
            let key = self.upstreams.get(name).copied().ok_or_else(|| {
                let message = format!("there is no upstream \"{name}\"");
                self.error(ErrorKind::NotFound, place, message)
            })?;
            keys.push(key);
        }
        Ok(keys)
    }
}

const NAMED: &str = "a name leads to a value in the catalogue";

/// Returns whether two shard maps have the same shards in the same order. Adding or removing a
/// replica moves no data between shards, so it does not need a new map version.
fn same_partition(left: &[Shard], right: &[Shard]) -> bool {
    let left = left.iter().map(|shard| &shard.name);
    let right = right.iter().map(|shard| &shard.name);
    left.eq(right)
}

fn by_name<K, V, N>(arena: &Arena<K, V>, name: N) -> BTreeMap<String, K>
where
    K: Key,
    N: Fn(&V) -> String,
{
    arena
        .iter()
        .map(|(key, value)| (name(value), key))
        .collect()
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
