//! Map from small `Copy` keys to values, with reusable slots.
//!
//! Slots are reused in the order in which they became free. A key contains the generation of its
//! slot, so the key of a removed value does not find a later value in the same slot. Two arenas to
//! which the same insertions and removals were applied in the same order assign the same keys. The
//! configuration relies on that, since its keys travel between instances.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Serialize;

/// Number of bits of a key that hold the slot. The other bits hold the slot's generation.
const SLOT_BITS: u32 = 20;

/// Key that identifies a value in an [`Arena`].
pub trait Key: Copy + Debug + Eq + Ord {
    /// Creates a key from its raw number, which contains the slot and its generation.
    fn from_raw(raw: u32) -> Self;

    /// Returns the raw number of the key, which contains the slot and its generation.
    fn raw(self) -> u32;

    /// Returns the slot of the key, which is smaller than the largest number of values that the
    /// arena ever held at once.
    fn slot(self) -> usize {
        (self.raw() & ((1 << SLOT_BITS) - 1)) as usize
    }
}

/// Map from small `Copy` keys to values, with constant-time access.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Arena<K, V> {
    entries: Vec<Entry<V>>,
    free: VecDeque<u32>,
    #[serde(skip)]
    keys: PhantomData<K>,
}

#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Entry<V> {
    generation: u32,
    value: Option<V>,
}

impl<K, V> Arena<K, V>
where
    K: Key,
{
    /// Creates an empty arena.
    pub fn new() -> Arena<K, V> {
        Arena {
            entries: Vec::new(),
            free: VecDeque::new(),
            keys: PhantomData,
        }
    }

    /// Stores `value` and returns its key.
    ///
    /// # Panics
    ///
    /// Panics if the arena would hold 2^20 values.
    pub fn insert(&mut self, value: V) -> K {
        if let Some(slot) = self.free.pop_front() {
            let entry = &mut self.entries[slot as usize];
            entry.value = Some(value);
            return K::from_raw(entry.generation << SLOT_BITS | slot);
        }
        let slot = self.entries.len();
        assert!(
            slot < 1 << SLOT_BITS,
            "an arena holds fewer than 2^20 values"
        );
        self.entries.push(Entry {
            generation: 0,
            value: Some(value),
        });
        K::from_raw(slot as u32)
    }

    /// Returns the value of `key`, if the arena has one.
    pub fn get(&self, key: K) -> Option<&V> {
        let entry = self.entries.get(key.slot())?;
        if entry.generation != key.raw() >> SLOT_BITS {
            return None;
        }
        entry.value.as_ref()
    }

    /// Returns a mutable reference to the value of `key`, if the arena has one.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        let entry = self.entries.get_mut(key.slot())?;
        if entry.generation != key.raw() >> SLOT_BITS {
            return None;
        }
        entry.value.as_mut()
    }

    /// Removes and returns the value of `key`, if the arena has one.
    pub fn remove(&mut self, key: K) -> Option<V> {
        self.get(key)?;
        let entry = &mut self.entries[key.slot()];
        entry.generation = (entry.generation + 1) & (u32::MAX >> SLOT_BITS);
        self.free.push_back(key.slot() as u32);
        entry.value.take()
    }

    /// Returns the number of values in the arena.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Returns whether the arena has no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the keys and values in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries.iter().enumerate().filter_map(|(slot, entry)| {
            let key = K::from_raw(entry.generation << SLOT_BITS | slot as u32);
            entry.value.as_ref().map(|value| (key, value))
        })
    }
}

impl<K, V> Default for Arena<K, V>
where
    K: Key,
{
    fn default() -> Arena<K, V> {
        Arena::new()
    }
}
