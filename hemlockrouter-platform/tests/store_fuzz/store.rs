//! An in-memory store with random faults.

use std::collections::BTreeMap;

use hemlockrouter_platform::Entry;
use hemlockrouter_platform::PlatformUnavailable;
use hemlockrouter_platform::ReadResult;
use hemlockrouter_platform::WriteCondition;
use hemlockrouter_platform::WriteOutcome;
use rand::rngs::StdRng;
use rand::RngExt;

/// A call to the store.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    Get(String),
    GetLatest(String),
    Keys(String),
    Write(String, Vec<u8>, WriteCondition),
    Delete(String),
}

/// The response to a [`Call`].
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    Read(Result<ReadResult, PlatformUnavailable>),
    Keys(Result<Vec<String>, PlatformUnavailable>),
    Written(WriteOutcome),
}

/// A write that took effect.
#[derive(Clone, Debug)]
pub(crate) struct AppliedWrite {
    pub(crate) key: String,
    /// Value before the write, or `None` if the key did not exist.
    pub(crate) value_before: Option<Vec<u8>>,
    /// Value after the write, or `None` after a deletion.
    pub(crate) value: Option<Vec<u8>>,
}

/// The index of a write, and the value that the key has had since, or `None` after a deletion.
type IndexedValue = (u64, Option<Vec<u8>>);

/// A key-value store that loses responses, delays writes, returns stale values and has outages.
#[derive(Debug)]
pub(crate) struct FaultyStore {
    rng: StdRng,
    index: u64,
    /// All values that each key has had, from oldest to newest.
    history: BTreeMap<String, Vec<IndexedValue>>,
    delayed_writes: Vec<Call>,
    unread_applied_writes: Vec<AppliedWrite>,
    pub(crate) outage: bool,
    pub(crate) faults_disabled: bool,
}

impl FaultyStore {
    pub(crate) fn new(rng: StdRng) -> FaultyStore {
        FaultyStore {
            rng,
            index: 0,
            history: BTreeMap::new(),
            delayed_writes: Vec::new(),
            unread_applied_writes: Vec::new(),
            outage: false,
            faults_disabled: false,
        }
    }

    /// Returns the writes that took effect since the last call of this function.
    pub(crate) fn take_applied_writes(&mut self) -> Vec<AppliedWrite> {
        std::mem::take(&mut self.unread_applied_writes)
    }

    /// Executes one delayed write, and returns whether there was one.
    pub(crate) fn deliver_one_delayed_write(&mut self) -> bool {
        if self.delayed_writes.is_empty() {
            return false;
        }
        let chosen = self.rng.random_range(0..self.delayed_writes.len());
        let call = self.delayed_writes.swap_remove(chosen);
        self.execute(&call);
        true
    }

    pub(crate) fn call(&mut self, call: &Call) -> Reply {
        if self.outage {
            return failed_reply(call, WriteOutcome::NotApplied);
        }
        if self.faults_disabled {
            return self.execute(call);
        }
        let fault_percentile = self.rng.random_range(0..100);
        match call {
            Call::Get(key) if fault_percentile < 10 => self.stale_read(key),
            Call::Write(..) | Call::Delete(_) => self.write(call, fault_percentile),
            _ if fault_percentile > 92 => failed_reply(call, WriteOutcome::Unknown),
            _ => self.execute(call),
        }
    }

    fn write(&mut self, call: &Call, fault_percentile: u32) -> Reply {
        match fault_percentile {
            0..10 => {
                self.execute(call);
                failed_reply(call, WriteOutcome::Unknown)
            }
            10..15 => failed_reply(call, WriteOutcome::Unknown),
            15..25 => {
                self.delayed_writes.push(call.clone());
                failed_reply(call, WriteOutcome::Unknown)
            }
            25..30 => failed_reply(call, WriteOutcome::NotApplied),
            _ => self.execute(call),
        }
    }

    fn execute(&mut self, call: &Call) -> Reply {
        match call {
            Call::Get(key) | Call::GetLatest(key) => Reply::Read(Ok(self.read(key))),
            Call::Keys(prefix) => {
                let keys = self.history.keys().filter(|key| key.starts_with(prefix));
                let keys = keys.filter(|key| self.value(key).is_some());
                Reply::Keys(Ok(keys.cloned().collect()))
            }
            Call::Write(key, value, guard) => {
                let guard_holds = match (guard, self.version(key)) {
                    (WriteCondition::IfAbsent, version) => version.is_none(),
                    (WriteCondition::IfVersion(wanted), version) => version == Some(*wanted),
                    (WriteCondition::Unconditional, _) => true,
                };
                if !guard_holds {
                    return Reply::Written(WriteOutcome::ConditionFailed);
                }
                self.put(key, Some(value.clone()));
                Reply::Written(WriteOutcome::Applied)
            }
            Call::Delete(key) => {
                self.put(key, None);
                Reply::Written(WriteOutcome::Applied)
            }
        }
    }

    fn put(&mut self, key: &str, value: Option<Vec<u8>>) {
        let value_before = self.value(key).map(<[u8]>::to_vec);
        self.index += 1;
        let values = self.history.entry(String::from(key)).or_default();
        values.push((self.index, value.clone()));
        self.unread_applied_writes.push(AppliedWrite {
            key: String::from(key),
            value_before,
            value,
        });
    }

    fn value(&self, key: &str) -> Option<&[u8]> {
        let (_, value) = self.history.get(key)?.last()?;
        value.as_deref()
    }

    fn version(&self, key: &str) -> Option<u64> {
        let (version, value) = self.history.get(key)?.last()?;
        value.as_ref().map(|_| *version)
    }

    fn read(&self, key: &str) -> ReadResult {
        let version = self.version(key);
        let entry = self.value(key).map(|value| Entry {
            value: value.to_vec(),
            version: version.expect("a key with a value has a version"),
        });
        ReadResult {
            index: version.unwrap_or(self.index),
            entry,
        }
    }

    /// Returns any of the values that the key has had, or no value.
    fn stale_read(&mut self, key: &str) -> Reply {
        let values = self.history.get(key).map_or(&[][..], Vec::as_slice);
        let chosen = self.rng.random_range(0..=values.len());
        let entry = chosen.checked_sub(1).and_then(|chosen| {
            let (version, value) = &values[chosen];
            Some(Entry {
                value: value.clone()?,
                version: *version,
            })
        });
        Reply::Read(Ok(ReadResult { index: 1, entry }))
    }
}

fn failed_reply(call: &Call, written: WriteOutcome) -> Reply {
    match call {
        Call::Get(_) | Call::GetLatest(_) => Reply::Read(Err(PlatformUnavailable::new("a fault"))),
        Call::Keys(_) => Reply::Keys(Err(PlatformUnavailable::new("a fault"))),
        Call::Write(..) | Call::Delete(_) => Reply::Written(written),
    }
}
