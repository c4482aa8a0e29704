//! Sub-requests that were offered and have not ended, by id.
//!
//! A sub-request is kept from its offer to its end, so that a duplicated offer, cancellation or end
//! is recognized. The ids of sub-requests that must not be repeated are kept for some time longer.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use hemlockrouter_types::prelude::*;

use crate::upstream::SentRequest;

/// Hasher without a random seed. Maps with this hasher are never iterated, so their order does not
/// matter.
type UnseededHasher = BuildHasherDefault<DefaultHasher>;

/// State of a sub-request that was offered and has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) upstream: UpstreamKey,
    pub(crate) non_repeatable: bool,
    pub(crate) stage: RequestStage,
}

/// Progress of a sub-request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RequestStage {
    /// The sub-request waits in the queue of its upstream. The fields locate its queue entry.
    Waiting {
        customer: CustomerKey,
        deadline: Time,
        seq: u64,
    },
    /// The sub-request was dispatched.
    InFlight {
        sent_request: SentRequest,
        cancelled: bool,
    },
}

/// All sub-requests that have not ended, by id.
#[derive(Debug)]
pub(crate) struct ActiveRequests {
    requests: HashMap<SubRequestId, ActiveRequest, UnseededHasher>,
    ended_ids: HashSet<SubRequestId, UnseededHasher>,
    /// The ids in `ended_ids`, in the order of the times at which they expire.
    expiry_order: VecDeque<(Time, SubRequestId)>,
    retention_ms: u32,
}

impl ActiveRequests {
    /// Creates an empty set. The ids of ended sub-requests that must not be repeated are kept for
    /// `retention_ms` milliseconds.
    pub(crate) fn new(retention_ms: u32) -> ActiveRequests {
        ActiveRequests {
            requests: HashMap::default(),
            ended_ids: HashSet::default(),
            expiry_order: VecDeque::new(),
            retention_ms,
        }
    }

    /// Returns whether a sub-request with `id` was offered before, so that a second offer must be
    /// ignored.
    pub(crate) fn is_known(&self, id: SubRequestId, non_repeatable: bool) -> bool {
        self.requests.contains_key(&id) || (non_repeatable && self.ended_ids.contains(&id))
    }

    /// Adds a sub-request.
    pub(crate) fn insert(&mut self, id: SubRequestId, active_request: ActiveRequest) {
        self.requests.insert(id, active_request);
    }

    /// Returns the state of the sub-request with `id`.
    pub(crate) fn get_mut(&mut self, id: SubRequestId) -> Option<&mut ActiveRequest> {
        self.requests.get_mut(&id)
    }

    /// Removes a sub-request that has ended. Its id is remembered if the sub-request must not be
    /// repeated.
    pub(crate) fn remove_ended(&mut self, now: Time, id: SubRequestId) {
        let active_request = self.requests.remove(&id).expect("only active requests end");
        if active_request.non_repeatable {
            self.remember_ended(now, id);
        }
    }

    /// Remembers the id of a sub-request that must not be repeated and was refused when it was
    /// offered.
    pub(crate) fn remember_ended(&mut self, now: Time, id: SubRequestId) {
        self.ended_ids.insert(id);
        self.expiry_order
            .push_back((now + u64::from(self.retention_ms), id));
    }

    /// Drops the remembered ids that have expired.
    pub(crate) fn drop_expired_ids(&mut self, now: Time) {
        while let Some(&(until, id)) = self.expiry_order.front() {
            if until > now {
                return;
            }
            self.expiry_order.pop_front();
            self.ended_ids.remove(&id);
        }
    }
}
