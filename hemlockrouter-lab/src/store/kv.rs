//! The keys, values, locks and sessions of the simulated store.
//!
//! Every change increments a global index, and each key stores the index of its last change. The
//! index of a deletion is kept, so that a blocking read of a prefix notices a deletion too.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// A stored value with its indexes and its lock.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) value: Vec<u8>,
    pub(super) create_index: u64,
    pub(super) modify_index: u64,
    pub(super) lock_index: u64,
    pub(super) session: Option<String>,
}

#[derive(Clone, Debug)]
struct Session {
    ttl: Option<Duration>,
    delete_keys: bool,
    expires: Option<Instant>,
}

/// The precondition of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum WritePrecondition {
    /// The write has no precondition.
    Always,
    /// The last change of the key must have this index; 0 means that the key must not exist.
    Index(u64),
    /// The lock must be free or held by this session, and the write acquires the lock.
    Acquire(String),
    /// This session must hold the lock, and the write releases the lock.
    Release(String),
}

/// The keys and sessions of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct Kv {
    // Index of the last change. Readers see 1 before the first change, whose index is 2.
    index: u64,
    entries: BTreeMap<String, Entry>,
    deleted: BTreeMap<String, u64>,
    sessions: BTreeMap<String, Session>,
}

impl Kv {
    pub(super) fn index(&self) -> u64 {
        self.index.max(1)
    }

    fn next_index(&mut self) -> u64 {
        self.index = self.index() + 1;
        self.index
    }

    pub(super) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(super) fn range<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Entry)> {
        prefix_range(&self.entries, prefix)
    }

    /// Returns the index of the last change of a key, or with `recurse`, of any key with this prefix.
    pub(super) fn last_change_index(&self, key: &str, recurse: bool) -> u64 {
        let changed = if recurse {
            let last = self.range(key).map(|(_, entry)| entry.modify_index).max();
            let deleted = prefix_range(&self.deleted, key).map(|(_, index)| *index);
            last.max(deleted.max())
        } else {
            let last = self.entries.get(key).map(|entry| entry.modify_index);
            last.max(self.deleted.get(key).copied())
        };
        changed.unwrap_or(0)
    }

    /// Writes a value if `precondition` holds, and returns whether the value was written.
    pub(super) fn put(
        &mut self,
        key: &str,
        value: Vec<u8>,
        precondition: &WritePrecondition,
    ) -> bool {
        let old = self.entries.get(key);
        if !self.is_satisfied(old, precondition) {
            return false;
        }
        let mut entry = old.cloned().unwrap_or(Entry {
            value: Vec::new(),
            create_index: self.index() + 1,
            modify_index: 0,
            lock_index: 0,
            session: None,
        });
        match precondition {
            WritePrecondition::Always | WritePrecondition::Index(_) => {}
            WritePrecondition::Acquire(session) => {
                if entry.session.is_none() {
                    entry.lock_index += 1;
                }
                entry.session = Some(session.clone());
            }
            WritePrecondition::Release(_) => entry.session = None,
        }
        entry.value = value;
        entry.modify_index = self.next_index();
        self.deleted.remove(key);
        self.entries.insert(key.to_owned(), entry);
        true
    }

    fn is_satisfied(&self, old: Option<&Entry>, precondition: &WritePrecondition) -> bool {
        let holder = old.and_then(|entry| entry.session.as_ref());
        match precondition {
            WritePrecondition::Always => true,
            WritePrecondition::Index(index) => old.map_or(0, |entry| entry.modify_index) == *index,
            WritePrecondition::Acquire(session) => {
                self.sessions.contains_key(session) && holder.is_none_or(|held| held == session)
            }
            WritePrecondition::Release(session) => holder == Some(session),
        }
    }

    /// Deletes a key, and returns whether the key is absent afterwards. If `cas` is given, the key is
    /// deleted only if its last change has this index.
    pub(super) fn delete(&mut self, key: &str, cas: Option<u64>) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return true;
        };
        if cas.is_some_and(|cas| cas != entry.modify_index) {
            return false;
        }
        let index = self.next_index();
        self.entries.remove(key);
        self.deleted.insert(key.to_owned(), index);
        true
    }

    /// Deletes all keys that start with `prefix`.
    pub(super) fn delete_prefix(&mut self, prefix: &str) {
        let keys: Vec<String> = self.range(prefix).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key, None);
        }
    }

    /// Creates the session `id`, which expires if it is not renewed within `ttl`.
    pub(super) fn create_session(
        &mut self,
        id: &str,
        ttl: Option<Duration>,
        delete_keys: bool,
        now: Instant,
    ) {
        let session = Session {
            ttl,
            delete_keys,
            expires: ttl.map(|ttl| now + ttl),
        };
        self.sessions.insert(id.to_owned(), session);
    }

    /// Renews a session, and returns whether the session exists.
    pub(super) fn renew_session(&mut self, id: &str, now: Instant) -> bool {
        let Some(session) = self.sessions.get_mut(id) else {
            return false;
        };
        session.expires = session.ttl.map(|ttl| now + ttl);
        true
    }

    /// Ends a session, and deletes its locked keys or releases its locks, as `delete_keys` says.
    pub(super) fn destroy_session(&mut self, id: &str) {
        let Some(session) = self.sessions.remove(id) else {
            return;
        };
        let held = self.entries.iter();
        let held = held.filter(|(_, entry)| entry.session.as_deref() == Some(id));
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            if session.delete_keys {
                self.delete(&key, None);
            } else {
                self.release(&key);
            }
        }
    }

    fn release(&mut self, key: &str) {
        let index = self.next_index();
        if let Some(entry) = self.entries.get_mut(key) {
            entry.session = None;
            entry.modify_index = index;
        }
    }

    /// Ends the sessions whose TTL has expired.
    pub(super) fn expire_sessions(&mut self, now: Instant) {
        let is_expired = |session: &Session| session.expires.is_some_and(|expires| expires <= now);
        let sessions = self.sessions.iter();
        let expired = sessions.filter(|(_, session)| is_expired(session));
        let ids: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.destroy_session(&id);
        }
    }
}

fn prefix_range<'a, V>(
    map: &'a BTreeMap<String, V>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a V)> {
    let from = (Bound::Included(prefix.to_owned()), Bound::Unbounded);
    map.range(from)
        .take_while(move |(key, _)| key.starts_with(prefix))
}
