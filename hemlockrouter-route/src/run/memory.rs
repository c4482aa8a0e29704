//! What an instance remembers of requests that must not be repeated.
//!
//! A request is remembered from when it is first seen until its outcome expires. Forgetting it
//! then is safe: its ticket has expired, or its claim still stands in the store and names this
//! instance, and either way a repeat is told that the request may have run. The number of requests
//! and the bytes of their answers are bounded; at the bound new requests are refused, and none that
//! runs is forgotten.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;

use super::claim::ClaimName;

/// What names a request at each repeat, as the instance that may run it knows it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Name {
    /// The nonce of a ticket of this instance.
    Ticket(u64),
    /// A claim of this instance.
    Claim(ClaimName),
}

/// What is remembered of one request.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) customer: CustomerKey,
    pub(super) operation: OperationKey,
    pub(super) body_hash: [u8; 32],
    /// The nonce of the claim, always the same so that a claim whose write was not answered is
    /// recognised later.
    pub(super) nonce: u64,
    pub(super) state: State,
    /// Whether the claim is known to be written; a ticket needs none.
    pub(super) claimed: bool,
    /// Whether somebody was told that the request may have run. It is not dispatched from then on.
    pub(super) told_unknown: bool,
    pub(super) callers: Vec<Caller>,
    pub(super) tries: u8,
    /// The upstreams, by position in the operation, that were tried.
    pub(super) asked: u64,
    /// Until when it is remembered at least.
    pub(super) keep_until: Time,
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum State {
    /// It has not run, and a repeat may run it.
    Idle,
    /// The claim of this caller is being written.
    Claiming(QueryId),
    /// Every upstream refused it, and it will be tried again at this time.
    Waiting(Time),
    /// It was dispatched under this sequence number and may run.
    Running(u64),
    /// It ended.
    Ended(RunOutcome),
}

/// Somebody who waits for the outcome of a request.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) id: QueryId,
    /// The instance that forwarded the request, or `None` if its caller is here.
    pub(super) from: Option<InstanceId>,
    pub(super) ticket: Option<String>,
    pub(super) started: Time,
    pub(super) answer_at: Time,
}

/// Bounds of the memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub(super) entries: usize,
    pub(super) entries_per_customer: usize,
    pub(super) body_bytes: usize,
}

/// All requests that are remembered.
#[derive(Clone, Debug)]
pub(super) struct Memory {
    bounds: Bounds,
    entries: BTreeMap<Name, Entry>,
    per_customer: BTreeMap<CustomerKey, usize>,
    /// The requests whose answers are held, oldest first.
    bodies: VecDeque<(Name, usize)>,
    body_bytes: usize,
}

impl Memory {
    pub(super) fn new(bounds: Bounds) -> Memory {
        Memory {
            bounds,
            entries: BTreeMap::new(),
            per_customer: BTreeMap::new(),
            bodies: VecDeque::new(),
            body_bytes: 0,
        }
    }

    pub(super) fn get_mut(&mut self, name: Name) -> Option<&mut Entry> {
        self.entries.get_mut(&name)
    }

    pub(super) fn get(&self, name: Name) -> Option<&Entry> {
        self.entries.get(&name)
    }

    /// Returns whether one more request of `customer` can be remembered.
    pub(super) fn has_room(&self, customer: CustomerKey) -> bool {
        let of_customer = self.per_customer.get(&customer).copied().unwrap_or(0);
        self.entries.len() < self.bounds.entries && of_customer < self.bounds.entries_per_customer
    }

    pub(super) fn insert(&mut self, name: Name, entry: Entry) {
        *self.per_customer.entry(entry.customer).or_insert(0) += 1;
        let old = self.entries.insert(name, entry);
        assert!(old.is_none(), "a request is remembered only once");
    }

    pub(super) fn remove(&mut self, name: Name) -> Option<Entry> {
        let entry = self.entries.remove(&name)?;
        if let Some(count) = self.per_customer.get_mut(&entry.customer) {
            *count -= 1;
            if *count == 0 {
                self.per_customer.remove(&entry.customer);
            }
        }
        while let Some((oldest, bytes)) = self.bodies.front().copied() {
            if self.entries.contains_key(&oldest) {
                break;
            }
            self.bodies.pop_front();
            self.body_bytes -= bytes;
        }
        Some(entry)
    }

    /// Remembers how `name` ended. The oldest answers are dropped where they take too much room.
    pub(super) fn end(&mut self, name: Name, outcome: RunOutcome) {
        if let RunOutcome::Done { body } = &outcome {
            self.bodies.push_back((name, body.len()));
            self.body_bytes += body.len();
        }
        if let Some(entry) = self.entries.get_mut(&name) {
            entry.state = State::Ended(outcome);
        }
        while self.body_bytes > self.bounds.body_bytes {
            let Some((oldest, bytes)) = self.bodies.pop_front() else {
                return;
            };
            self.body_bytes -= bytes;
            let entry = self.entries.get_mut(&oldest);
            if let Some(state) = entry.map(|entry| &mut entry.state) {
                if matches!(state, State::Ended(RunOutcome::Done { .. })) {
                    *state = State::Ended(RunOutcome::Unknown);
                }
            }
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
