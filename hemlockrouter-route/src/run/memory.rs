//! State that an instance keeps of requests that must not be repeated.
//!
//! The state of a request is kept from its first call until its outcome expires. Dropping the state
//! then is safe: the ticket has expired, or the claim is still in the store and names this
//! instance. In both cases a repeat gets the answer that the request may have run. The number of
//! requests and the total size of their answers are bounded. At the bound new requests are refused,
//! and the state of a running request is never dropped.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;

use super::claim::ClaimName;

/// Identifier of a request at the instance that may run it, the same in each repeat.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum RequestName {
    /// The nonce of a ticket that this instance issued.
    Ticket(u64),
    /// The identifier of a claim by this instance.
    Claim(ClaimName),
}

/// State of one request.
#[derive(Clone, Debug)]
pub(super) struct RequestEntry {
    pub(super) customer: CustomerKey,
    pub(super) operation: OperationKey,
    pub(super) body_hash: [u8; 32],
    /// The nonce of the claim. It stays the same, so that a claim whose write was not confirmed is
    /// recognised later.
    pub(super) nonce: u64,
    pub(super) state: RunState,
    /// Whether the claim is known to be written. The flag is always set for a ticket, which needs
    /// no claim.
    pub(super) claim_written: bool,
    /// Whether a caller was answered with `Unknown`. The request is not dispatched from then on.
    pub(super) answered_unknown: bool,
    pub(super) callers: Vec<Caller>,
    pub(super) tries: u8,
    /// Bit mask of the positions in the operation's list of upstreams that were tried.
    pub(super) tried_upstreams: u64,
    /// The earliest time at which the state may be dropped.
    pub(super) keep_until: Time,
}

/// Progress of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunState {
    /// The request has not run, and a repeat may run it.
    Idle,
    /// The claim is being written for this caller.
    Claiming(QueryId),
    /// Every upstream refused the request, and it will be tried again at this time.
    Waiting(Time),
    /// The request was dispatched under this sequence number and may run.
    Running(u64),
    /// The request ended with this outcome.
    Ended(RunOutcome),
}

/// A caller that waits for the outcome of a request.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) id: QueryId,
    /// The instance that forwarded the request, or `None` for a caller of this instance.
    pub(super) forwarded_by: Option<InstanceId>,
    pub(super) ticket: Option<String>,
    pub(super) started_at: Time,
    pub(super) answer_deadline: Time,
}

/// Bounds of the stored state.
#[derive(Clone, Copy, Debug)]
pub(super) struct TableBounds {
    pub(super) max_entries: usize,
    pub(super) max_entries_per_customer: usize,
    pub(super) max_body_bytes: usize,
}

/// Store of the state of all requests that are kept.
#[derive(Clone, Debug)]
pub(super) struct RequestTable {
    bounds: TableBounds,
    entries: BTreeMap<RequestName, RequestEntry>,
    entries_per_customer: BTreeMap<CustomerKey, usize>,
    /// The requests whose answers are kept with the size of each answer in bytes, oldest first.
    stored_bodies: VecDeque<(RequestName, usize)>,
    stored_body_bytes: usize,
}

impl RequestTable {
    pub(super) fn new(bounds: TableBounds) -> RequestTable {
        RequestTable {
            bounds,
            entries: BTreeMap::new(),
            entries_per_customer: BTreeMap::new(),
            stored_bodies: VecDeque::new(),
            stored_body_bytes: 0,
        }
    }

    pub(super) fn get_mut(&mut self, name: RequestName) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&name)
    }

    pub(super) fn get(&self, name: RequestName) -> Option<&RequestEntry> {
        self.entries.get(&name)
    }

    /// Returns whether the state of one more request of `customer` can be stored.
    pub(super) fn has_room(&self, customer: CustomerKey) -> bool {
        let customer_entries = self
            .entries_per_customer
            .get(&customer)
            .copied()
            .unwrap_or(0);
        self.entries.len() < self.bounds.max_entries
            && customer_entries < self.bounds.max_entries_per_customer
    }

    pub(super) fn insert(&mut self, name: RequestName, entry: RequestEntry) {
        *self.entries_per_customer.entry(entry.customer).or_insert(0) += 1;
        let old = self.entries.insert(name, entry);
        assert!(old.is_none(), "the state of a request is stored only once");
    }

    pub(super) fn remove(&mut self, name: RequestName) -> Option<RequestEntry> {
        let entry = self.entries.remove(&name)?;
        if let Some(count) = self.entries_per_customer.get_mut(&entry.customer) {
            *count -= 1;
            if *count == 0 {
                self.entries_per_customer.remove(&entry.customer);
            }
        }
        while let Some((oldest, bytes)) = self.stored_bodies.front().copied() {
            if self.entries.contains_key(&oldest) {
                break;
            }
            self.stored_bodies.pop_front();
            self.stored_body_bytes -= bytes;
        }
        Some(entry)
    }

    /// Stores the outcome of the request `name`. The oldest answers are dropped while the total
    /// size exceeds its bound.
    pub(super) fn store_outcome(&mut self, name: RequestName, outcome: RunOutcome) {
        if let RunOutcome::Done { body } = &outcome {
            self.stored_bodies.push_back((name, body.len()));
            self.stored_body_bytes += body.len();
        }
        if let Some(entry) = self.entries.get_mut(&name) {
            entry.state = RunState::Ended(outcome);
        }
        while self.stored_body_bytes > self.bounds.max_body_bytes {
            let Some((oldest, bytes)) = self.stored_bodies.pop_front() else {
                return;
            };
            self.stored_body_bytes -= bytes;
            let entry = self.entries.get_mut(&oldest);
            if let Some(state) = entry.map(|entry| &mut entry.state) {
                if matches!(state, RunState::Ended(RunOutcome::Done { .. })) {
                    *state = RunState::Ended(RunOutcome::Unknown);
                }
            }
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
