//! Records that decide which of a zone's two instances goes on alone.
//!
//! Each pair has one record, which one of the two has or nobody. Every write depends on the version
//! that was read before it, and taking a record that one has already writes it again: so a call whose
//! answer was lost, and which the store may execute seconds later, undoes nothing that came after it.

use std::fmt;

use hemlockrouter_types::prelude::*;

use crate::store::Entry;
use crate::store::Guard;
use crate::store::Store;
use crate::store::Written;

/// Where the records stand in the store.
pub const TIES_PREFIX: &str = "hemlockrouter/ties/";

/// How often a write that another one overtook, or whose answer was lost, is settled.
const SETTLE_MAX: usize = 2;

/// What the record holds while nobody has it.
const NOBODY: &[u8] = b"nobody";

/// How a call about a record ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tie {
    /// This instance has the record.
    Mine,
    /// The other one has it.
    Theirs,
    /// This instance does not have it.
    NotMine,
    /// The store did not answer, or the record changed meanwhile. The call may take effect later.
    Unavailable,
}

/// The two instances of a record.
#[derive(Clone, Copy, Debug)]
pub struct Pair {
    me: InstanceId,
    other: InstanceId,
}

impl Pair {
    /// Names the record that `me` shares with `other`.
    pub fn new(me: InstanceId, other: InstanceId) -> Pair {
        Pair { me, other }
    }

    fn key(&self) -> String {
        let low = self.me.min(self.other);
        let high = self.me.max(self.other);
        format!("{TIES_PREFIX}{low}-{high}")
    }

    fn my_value(&self) -> Vec<u8> {
        self.me.to_string().into_bytes()
    }

    fn holder(&self, entry: &Entry) -> Holder {
        if entry.value == self.my_value() {
            Holder::Me
        } else if entry.value == NOBODY {
            Holder::Nobody
        } else {
            // What can't be read is taken for the other one's.
            Holder::Other
        }
    }
}

impl fmt::Display for Pair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} and {}", self.me, self.other)
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Holder {
    Me,
    Other,
    Nobody,
}

/// Takes the record of a pair, unless the other instance has it.
pub fn take<S>(store: &S, pair: Pair) -> Tie
where
    S: Store + ?Sized,
{
    let mine = pair.my_value();
    // The version that a write of this call depended on whose answer was lost.
    let mut unsettled = None;
    for _ in 0..SETTLE_MAX {
        let Ok(read) = store.get_latest(&pair.key()) else {
            return Tie::Unavailable;
        };
        let guard = match &read.entry {
            None => Guard::Absent,
            Some(entry) => match pair.holder(entry) {
                Holder::Other => return Tie::Theirs,
                Holder::Me if unsettled.is_some_and(|guard| guard != version(entry)) => {
                    return Tie::Mine
                }
                Holder::Me | Holder::Nobody => version(entry),
            },
        };
        match store.write(&pair.key(), &mine, guard) {
            Written::Yes => return Tie::Mine,
            Written::No => {}
            Written::NotSent => return Tie::Unavailable,
            Written::Unknown => unsettled = Some(guard),
        }
    }
    Tie::Unavailable
}

/// Gives the record of a pair back, if this instance has it.
pub fn give_back<S>(store: &S, pair: Pair) -> Tie
where
    S: Store + ?Sized,
{
    let Ok(read) = store.get_latest(&pair.key()) else {
        return Tie::Unavailable;
    };
    let Some(entry) = read.entry else {
        return Tie::NotMine;
    };
    if pair.holder(&entry) != Holder::Me {
        return Tie::NotMine;
    }
    match store.write(&pair.key(), NOBODY, version(&entry)) {
        Written::Yes => Tie::NotMine,
        Written::No | Written::NotSent | Written::Unknown => Tie::Unavailable,
    }
}

fn version(entry: &Entry) -> Guard {
    Guard::Version(entry.version)
}
