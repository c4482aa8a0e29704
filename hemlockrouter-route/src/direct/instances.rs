//! How many instances share a bound.
//!
//! Too low a count would let all instances together pass a bound, so an instance that disappears
//! from the list is counted for a while: it may have lost nothing but its way to the registry. A list
//! that grows is not complete yet, and gives no count at all.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

/// How long an instance that left the list is counted, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// How long the list must not have grown before it counts as complete, in milliseconds.
const SETTLING_MS: u64 = 3_000;

/// The instances that share a bound.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    /// Each instance, and since when it is gone from the list.
    known: BTreeMap<String, Option<Time>>,
    grown_at: Time,
}

impl Instances {
    /// Takes over that an instance is on the list.
    pub fn joined(&mut self, now: Time, name: &str) {
        if self.known.insert(String::from(name), None).is_none() {
            self.grown_at = now;
        }
    }

    /// Takes over that an instance is not on the list any more.
    pub fn left(&mut self, now: Time, name: &str) {
        if let Some(since) = self.known.get_mut(name) {
            since.get_or_insert(now);
        }
        self.known
            .retain(|_, since| since.is_none_or(|since| now.since(since) <= KEPT_MS));
    }

    /// Takes over that only the instances of `names` are on the list.
    pub fn keep_only<'n, I>(&mut self, now: Time, names: I)
    where
        I: Iterator<Item = &'n str>,
    {
        let names: Vec<&str> = names.collect();
        let gone = self
            .known
            .keys()
            .filter(|name| !names.contains(&name.as_str()));
        let gone: Vec<String> = gone.cloned().collect();
        for name in gone {
            self.left(now, &name);
        }
    }

    /// Returns the names of all that are counted.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.known.keys().map(String::as_str)
    }

    /// Returns how many are counted, at least one.
    pub fn count(&self) -> u32 {
        u32::try_from(self.known.len()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns how many share a bound, if the list is complete.
    pub fn sharing(&self, now: Time) -> Option<u32> {
        let is_settled = now.since(self.grown_at) >= SETTLING_MS;
        (is_settled && !self.known.is_empty()).then(|| self.count())
    }
}
