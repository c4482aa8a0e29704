//! The parts of requests that wait for room at an upstream.
//!
//! Upstreams serve a few requests at a time, and what is sent beyond that is rejected or waits there, where
//! nobody can call it back in time. So a part for which no upstream has room waits here, and is sent as
//! soon as one has. Parts of requests that can still be answered within their target go first, the nearest
//! target before others; those that are late already come after them.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

use super::event::RequestId;
use super::request::Cause;

/// A part that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queued {
    pub(super) request: RequestId,
    /// The place of the part in its request.
    pub(super) part: usize,
    /// When the request is late.
    pub(super) late_at: Time,
    /// Why it is to be sent.
    pub(super) cause: Cause,
}

/// The parts that wait, by service.
#[derive(Debug, Default)]
pub(super) struct Queues {
    of: BTreeMap<ServiceKey, Vec<Queued>>,
}

impl Queues {
    /// Adds a part.
    pub(super) fn push(&mut self, service: ServiceKey, queued: Queued) {
        self.of.entry(service).or_default().push(queued);
    }

    /// Takes all parts that wait for a service, the most urgent first.
    pub(super) fn take(&mut self, now: Time, service: ServiceKey) -> Vec<Queued> {
        let mut queued = self.of.remove(&service).unwrap_or_default();
        queued.sort_by_key(|one| (one.late_at < now, one.late_at, one.request));
        queued
    }

    /// Returns the services that parts wait for.
    pub(super) fn services(&self) -> Vec<ServiceKey> {
        self.of.keys().copied().collect()
    }
}
