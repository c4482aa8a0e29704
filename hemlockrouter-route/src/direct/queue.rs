//! Queues of request parts that wait for capacity at an upstream.
//!
//! An upstream serves a few requests at a time. Requests beyond that are rejected, or wait at the
//! upstream, where this instance can't cancel them in time. A part for which no upstream has
//! capacity is therefore queued at this instance, and is sent as soon as an upstream has capacity.
//! Parts that can still be answered within the target latency of their request are sent first, in
//! the order of their target times; parts that are already late follow.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

use super::event::RequestId;
use super::request::SendReason;

/// A queued part of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedPart {
    pub(super) request_id: RequestId,
    /// The index of the part in its request.
    pub(super) part_index: usize,
    /// The time from which the request counts as late.
    pub(super) late_at: Time,
    /// The reason for sending the part.
    pub(super) send_reason: SendReason,
}

/// The queued parts of each service.
#[derive(Debug, Default)]
pub(super) struct PartQueues {
    parts_by_service: BTreeMap<ServiceKey, Vec<QueuedPart>>,
}

impl PartQueues {
    /// Adds a part to the queue of a service.
    pub(super) fn push(&mut self, service: ServiceKey, queued: QueuedPart) {
        self.parts_by_service
            .entry(service)
            .or_default()
            .push(queued);
    }

    /// Removes and returns all queued parts of a service, the most urgent ones first.
    pub(super) fn take(&mut self, now: Time, service: ServiceKey) -> Vec<QueuedPart> {
        let mut queued = self.parts_by_service.remove(&service).unwrap_or_default();
        queued.sort_by_key(|queued| (queued.late_at < now, queued.late_at, queued.request_id));
        queued
    }

    /// Returns the services with queued parts.
    pub(super) fn services(&self) -> Vec<ServiceKey> {
        self.parts_by_service.keys().copied().collect()
    }
}
