//! Groups of shards, and which instance of an availability zone each one belongs to.
//!
//! A search is cut into groups of shards that are the same for all instances, and in each availability
//! zone a group belongs to one instance: the one that collects it, and that may spend the part of the
//! bound on repeats that is meant for its shards. Load pattern: upstreams of many shards fail at once.
//! Divided evenly among hundreds of instances, the allowance leaves each about one repeat, while a handful
//! of them collect each shard.
//!
//! The instances of a zone are divided into as many classes as there are groups, by a hash of their
//! names, so that a group has an instance of its own however many instances come and go elsewhere. It
//! belongs to the first one of its class, or of the next class that has any. All instances that are at
//! work are in everybody's view, so at most one of them finds itself to be the first: views that hold
//! others too can only rank it lower.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A group of shards of a search.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Group {
    /// Which group it is, from 0 on.
    pub(super) number: usize,
    /// How many groups there are.
    pub(super) of: usize,
}

impl Group {
    /// Returns the group of the shard at `place` of `shards`, if groups have `each` shards.
    pub(super) fn of_place(place: usize, shards: usize, each: usize) -> Group {
        let of = shards.div_ceil(each.max(1)).max(1);
        Group {
            number: place * of / shards.max(1),
            of,
        }
    }

    /// Returns the one of `names` that the group belongs to.
    pub(super) fn owner<'n, I>(self, names: I) -> Option<&'n str>
    where
        I: Iterator<Item = &'n str> + Clone,
    {
        (0..self.of).find_map(|step| {
            let class = (self.number + step) % self.of;
            let of_class = names.clone().filter(|name| self.class(name) == class);
            of_class.min_by_key(|name| self.rank(name))
        })
    }

    /// Returns whether an instance is of the group's own class.
    pub(super) fn is_of_class(self, name: &str) -> bool {
        self.class(name) == self.number
    }

    /// Returns where an instance stands among those that might own the group.
    pub(super) fn rank(self, name: &str) -> (u64, &str) {
        let hash = xxh3_64_with_seed(name.as_bytes(), self.number as u64);
        (hash, name)
    }

    fn class(self, name: &str) -> usize {
        (xxh3_64(name.as_bytes()) % self.of as u64) as usize
    }
}
