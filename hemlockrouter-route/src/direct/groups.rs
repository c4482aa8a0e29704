//! Groups the shards of a search, and assigns each group to an instance of each availability zone.
//!
//! All instances divide a search into the same groups of shards. In each availability zone, a group
//! belongs to one instance, which collects the group and may spend the part of the repeat allowance
//! (retries and hedges) that is reserved for its shards. Load pattern: upstreams of many shards
//! fail at once. Divided evenly among hundreds of instances, the allowance leaves each instance
//! about one repeat, while only a few instances collect each shard.
//!
//! The instances of a zone are divided into as many classes as there are groups, by a hash of their
//! names, so that a group keeps its own instance however many instances of other classes join and
//! leave. A group belongs to the first instance of its class, or of the next class that is not
//! empty. Every instance knows of all running instances, so at most one instance considers itself
//! the first: a list with additional, stopped instances can only rank it lower.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A group of shards of a search.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct ShardGroup {
    /// The index of the group; 0 is the first one.
    pub(super) index: usize,
    /// The number of groups in the search.
    pub(super) count: usize,
}

impl ShardGroup {
    /// Returns the group of the shard at index `shard_index` of `shard_count` shards, for groups of
    /// `group_size` shards.
    pub(super) fn of_shard(
        shard_index: usize,
        shard_count: usize,
        group_size: usize,
    ) -> ShardGroup {
        let count = shard_count.div_ceil(group_size.max(1)).max(1);
        ShardGroup {
            index: shard_index * count / shard_count.max(1),
            count,
        }
    }

    /// Returns the instance among `names` that owns the group.
    pub(super) fn owner<'n, I>(self, names: I) -> Option<&'n str>
    where
        I: Iterator<Item = &'n str> + Clone,
    {
        (0..self.count).find_map(|offset| {
            let class = (self.index + offset) % self.count;
            let in_class = names.clone().filter(|name| self.class(name) == class);
            in_class.min_by_key(|name| self.rank(name))
        })
    }

    /// Returns whether an instance belongs to the class of the group.
    pub(super) fn is_in_class(self, name: &str) -> bool {
        self.class(name) == self.index
    }

    /// Returns the sort key by which the candidates for the group are ranked.
    pub(super) fn rank(self, name: &str) -> (u64, &str) {
        let hash = xxh3_64_with_seed(name.as_bytes(), self.index as u64);
        (hash, name)
    }

    fn class(self, name: &str) -> usize {
        (xxh3_64(name.as_bytes()) % self.count as u64) as usize
    }
}
