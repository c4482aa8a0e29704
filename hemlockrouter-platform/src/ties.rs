//! Tie-break records, which decide which of the two instances of an availability zone continues alone.
//!
//! Each pair of instances has one record in the store. The record is held by one of the two or by
//! neither. Every write is a compare-and-swap on the version that was just read, and an instance that
//! already holds the record writes it again when it acquires the record. The store may execute a
//! write seconds after its response was lost; because of the version check, such a delayed write
//! cannot undo a later one.

use std::fmt;

use hemlockrouter_types::prelude::*;

use crate::store::Entry;
use crate::store::Store;
use crate::store::WriteCondition;
use crate::store::WriteOutcome;

/// Prefix of the keys of tie-break records in the store.
pub const TIES_PREFIX: &str = "hemlockrouter/ties/";

/// Maximum number of times that [`take_record`] reads and writes the record. It repeats after a version
/// conflict or a lost response.
const TAKE_ATTEMPTS_MAX: usize = 2;

/// Value of a record that neither instance holds.
const NO_HOLDER_VALUE: &[u8] = b"nobody";

/// The outcome of acquiring or releasing a tie-break record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TieBreakOutcome {
    /// This instance holds the record.
    Mine,
    /// The other instance of the pair holds the record.
    Theirs,
    /// This instance does not hold the record.
    NotMine,
    /// The store did not answer, or the record changed concurrently. The write may still take
    /// effect later.
    Unavailable,
}

/// The two instances that share a tie-break record.
#[derive(Clone, Copy, Debug)]
pub struct InstancePair {
    own_id: InstanceId,
    other_id: InstanceId,
}

impl InstancePair {
    /// Creates the pair of this instance, `own_id`, and the instance `other_id`.
    pub fn new(own_id: InstanceId, other_id: InstanceId) -> InstancePair {
        InstancePair { own_id, other_id }
    }

    fn key(&self) -> String {
        let lower_id = self.own_id.min(self.other_id);
        let higher_id = self.own_id.max(self.other_id);
        format!("{TIES_PREFIX}{lower_id}-{higher_id}")
    }

    fn own_value(&self) -> Vec<u8> {
        self.own_id.to_string().into_bytes()
    }

    fn holder(&self, entry: &Entry) -> RecordHolder {
        if entry.value == self.own_value() {
            RecordHolder::ThisInstance
        } else if entry.value == NO_HOLDER_VALUE {
            RecordHolder::Neither
        } else {
            // An unknown value counts as held by the other instance, which is the safe choice.
            RecordHolder::OtherInstance
        }
    }
}

impl fmt::Display for InstancePair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} and {}", self.own_id, self.other_id)
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RecordHolder {
    ThisInstance,
    OtherInstance,
    Neither,
}

/// Acquires the record of a pair for this instance, unless the other instance holds it.
pub fn take_record<S>(store: &S, pair: InstancePair) -> TieBreakOutcome
where
    S: Store + ?Sized,
{
    let own_value = pair.own_value();
    // The guard of the last write of this call that got no response.
    let mut unanswered_guard = None;
    for _ in 0..TAKE_ATTEMPTS_MAX {
        let Ok(read) = store.get_latest(&pair.key()) else {
            return TieBreakOutcome::Unavailable;
        };
        let guard = match &read.entry {
            None => WriteCondition::IfAbsent,
            Some(entry) => match pair.holder(entry) {
                RecordHolder::OtherInstance => return TieBreakOutcome::Theirs,
                RecordHolder::ThisInstance
                    if unanswered_guard.is_some_and(|guard| guard != version_guard(entry)) =>
                {
                    return TieBreakOutcome::Mine
                }
                RecordHolder::ThisInstance | RecordHolder::Neither => version_guard(entry),
            },
        };
        match store.write(&pair.key(), &own_value, guard) {
            WriteOutcome::Applied => return TieBreakOutcome::Mine,
            WriteOutcome::ConditionFailed => {}
            WriteOutcome::NotApplied => return TieBreakOutcome::Unavailable,
            WriteOutcome::Unknown => unanswered_guard = Some(guard),
        }
    }
    TieBreakOutcome::Unavailable
}

/// Releases the record of a pair if this instance holds it.
pub fn release_record<S>(store: &S, pair: InstancePair) -> TieBreakOutcome
where
    S: Store + ?Sized,
{
    let Ok(read) = store.get_latest(&pair.key()) else {
        return TieBreakOutcome::Unavailable;
    };
    let Some(entry) = read.entry else {
        return TieBreakOutcome::NotMine;
    };
    if pair.holder(&entry) != RecordHolder::ThisInstance {
        return TieBreakOutcome::NotMine;
    }
    match store.write(&pair.key(), NO_HOLDER_VALUE, version_guard(&entry)) {
        WriteOutcome::Applied => TieBreakOutcome::NotMine,
        WriteOutcome::ConditionFailed | WriteOutcome::NotApplied | WriteOutcome::Unknown => {
            TieBreakOutcome::Unavailable
        }
    }
}

fn version_guard(entry: &Entry) -> WriteCondition {
    WriteCondition::IfVersion(entry.version)
}
