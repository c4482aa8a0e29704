//! Delegates parts of a search to other instances.
//!
//! Both instances together must not send a part to more upstreams than the route allows. The
//! delegating instance therefore names the permitted upstreams: if the other instance does not
//! respond, the delegating instance sends the parts to the same upstreams. This also keeps an
//! instance that is cut off from the registry from using an upstream that the delegating instance
//! knows to be out of service.

use std::net::SocketAddr;
use std::rc::Rc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use hemlockrouter_types::routing::BatchPart;

use super::plan::PeerFilter;
use super::Dispatcher;
use super::Share;
use super::TimerKind;
use crate::direct::event::BatchEnd;
use crate::direct::event::CallId;
use crate::direct::event::Collected;
use crate::direct::event::Command;
use crate::direct::event::RequestId;
use crate::direct::record::Outcome;
use crate::direct::request::AnswerTo;
use crate::direct::request::Part;
use crate::direct::request::Request;
use crate::direct::request::SendReason;
use crate::direct::table::Route;
use crate::direct::upstreams::CandidateFilter;
use crate::direct::upstreams::Criteria;

/// The fraction of the target latency after which a collecting instance must have reported
/// progress. An instance reports when it starts to hedge, which is at a third of the target latency
/// at the latest.
const PROGRESS_TIMEOUT_FRACTION: f64 = 0.5;

/// The fraction of a batch that an instance must have collected by then; otherwise its parts are
/// sent from this instance.
const COLLECTED_MIN_FRACTION: f64 = 0.5;

impl Dispatcher {
    /// Delegates parts of a request to other instances if the request is a search over many shards.
    pub(super) fn share(
        &mut self,
        now: Time,
        id: RequestId,
        request: &mut Request,
        out: &mut Vec<Command>,
    ) {
        if request.answer_to != AnswerTo::Caller {
            return;
        }
        let route = Rc::clone(&request.route);
        let Some(services) = self.shared_services(&route) else {
            return;
        };
        self.far_turn = self.far_turn.wrapping_add(1);
        for (collector, places) in self.plan(now, services, PeerFilter::Usable) {
            if let Some(peer) = collector {
                self.hand_out(now, id, request, peer, places, out);
            }
        }
        let shares = request.shares.iter();
        let peers = shares.filter_map(|call| self.shares.get(call).map(|share| share.peer));
        let silent_ms = peers.map(|peer| self.silent_ms(&route, peer)).max();
        if let Some(silent_ms) = silent_ms {
            self.timers
                .set(now + silent_ms, TimerKind::CheckProgress(id));
        }
    }

    /// Returns the part of a route's target latency that is left for a collecting instance after
    /// the network round trip, in milliseconds.
    fn target_ms_of(&self, route: &Route, peer: SocketAddr) -> u64 {
        let target_ms = route.entry.target_latency_ms;
        let way_ms = self.peers.way_ms(peer).min(target_ms / 2);
        target_ms - way_ms
    }

    /// Returns the time within which a collecting instance must have reported progress, in
    /// milliseconds.
    fn silent_ms(&self, route: &Route, peer: SocketAddr) -> u64 {
        let target_ms = self.target_ms_of(route, peer);
        let way_ms = route.entry.target_latency_ms - target_ms;
        way_ms + (target_ms as f64 * PROGRESS_TIMEOUT_FRACTION) as u64
    }

    fn hand_out(
        &mut self,
        now: Time,
        id: RequestId,
        request: &mut Request,
        peer: SocketAddr,
        places: Vec<usize>,
        out: &mut Vec<Command>,
    ) {
        let route = &request.route;
        let mut parts = Vec::with_capacity(places.len());
        let mut shared = Vec::with_capacity(places.len());
        let call = self.next_call();
        for place in places {
            let part = &mut request.parts[place];
            let picked = self.pick(now, part, route);
            if picked.is_empty() {
                continue;
            }
            shared.push(place);
            part.allowed = Some(picked);
            part.shared = Some(call);
            part.sends = 1;
            let given = self.give(now, part.service);
            parts.push(self.batch_part(part, given));
        }
        if shared.is_empty() {
            return;
        }
        request.summary.shared += shared.len();
        let batch = Batch {
            route: route.entry.name.clone(),
            version: route.version,
            attempts_max: route.entry.attempts_max,
            target_latency_ms: self.target_ms_of(route, peer),
            records_max: request.records_max(),
            parts,
        };
        let share = Share {
            request: Some(id),
            peer,
            sent: now,
            parts: shared,
            has_reported: false,
        };
        request.shares.push(call);
        self.send_share(call, share, batch, request.deadline, out);
    }

    pub(super) fn send_share(
        &mut self,
        call: CallId,
        share: Share,
        batch: Batch,
        deadline: Time,
        out: &mut Vec<Command>,
    ) {
        out.push(Command::Share {
            request: share.request,
            call,
            peer: share.peer,
            batch,
            deadline,
        });
        self.shares.insert(call, share);
    }

    /// Chooses the upstreams that a part may be sent to, up to the number that the route allows.
    fn pick(&mut self, now: Time, part: &Part, route: &Route) -> Vec<UpstreamKey> {
        let attempts_max = route.entry.attempts_max as usize;
        let mut picked = Vec::with_capacity(attempts_max);
        while picked.len() < attempts_max {
            let criteria = Criteria {
                service: part.service,
                regions: &route.entry.regions,
                candidate_filter: CandidateFilter::AllBut(&picked),
                far_ms: route.far_ms(),
            };
            match self.upstreams.pick(now, &criteria) {
                Some(upstream) => picked.push(upstream),
                None => break,
            }
        }
        picked
    }

    /// Transfers a fraction of this instance's repeat allowance to another instance, and returns
    /// its size in thousandths of a repeat.
    fn give(&mut self, now: Time, service: ServiceKey) -> u32 {
        let part = self.upstreams.allowance_part(now, service);
        let repeat_budget = &mut self.upstreams.service_mut(service).repeat_budget;
        repeat_budget.give(now, &self.config.repeats, part)
    }

    fn batch_part(&self, part: &Part, repeats_permille: u32) -> BatchPart {
        let keys = part.allowed.iter().flatten();
        let known = keys.filter_map(|key| self.upstreams.get(*key));
        BatchPart {
            service: String::from(self.upstreams.name(part.service)),
            upstreams: known.map(|upstream| upstream.entry.id.clone()).collect(),
            repeats_permille,
        }
    }

    /// Handles partial results from another instance. Empty results only show that the instance is
    /// working on the batch.
    pub fn collected(
        &mut self,
        now: Time,
        call: CallId,
        collected: Collected,
        out: &mut Vec<Command>,
    ) {
        let Some(share) = self.shares.get_mut(&call) else {
            return;
        };
        share.has_reported = true;
        self.peers.heard(now, share.peer);
        let Some(id) = share.request else {
            return;
        };
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let places = share.parts.clone();
        self.hear(now, &collected.notices);
        for (at, answer) in collected.answers {
            let Some(place) = places.get(at) else {
                continue;
            };
            let part = &mut request.parts[*place];
            if answer.is_success() {
                // The delegated answer replaces any answer from elsewhere: the instance drops
                // records from its other answers that are smaller than records of this answer.
                part.shared = None;
                part.set_answer(answer);
                request.answered_at = now;
                self.cancel_part(now, part, Outcome::GivenUp, out);
            }
        }
        for at in collected.unsent {
            let Some(place) = places.get(at) else {
                continue;
            };
            let part = &mut request.parts[*place];
            if part.shared.take() == Some(call) && part.open.is_empty() {
                part.sends = 0;
                self.send_first(now, id, &mut request, *place, out);
            }
        }
        self.requests.insert(id, request);
        self.check(now, id, out);
        self.send_queued(now, out);
    }

    /// Handles the end of a call to a collecting instance. Sends the parts that the instance did
    /// not accept, or whose answers were lost, from this instance. If the instance has collected
    /// most of its parts, the missing parts are not retried.
    pub fn batch_ended(&mut self, now: Time, call: CallId, end: BatchEnd, out: &mut Vec<Command>) {
        let Some(share) = self.shares.remove(&call) else {
            return;
        };
        match end {
            BatchEnd::Done => {
                self.peers.heard(now, share.peer);
                if share.request.is_none() {
                    self.peers.measured(share.peer, now.since(share.sent));
                }
            }
            BatchEnd::NotTaken | BatchEnd::Lost => self.peers.lost(now, share.peer),
        }
        let Some(id) = share.request else {
            return;
        };
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        request.shares.retain(|other| *other != call);
        let is_poor = end == BatchEnd::Done && is_poor(&request, call, &share);
        if is_poor {
            self.peers.bar(now, share.peer);
        }
        for place in share.parts {
            let part = &mut request.parts[place];
            if part.shared.take().is_none() {
                continue;
            }
            part.ran |= end != BatchEnd::NotTaken;
            if !part.open.is_empty() || part.queued {
                continue;
            }
            match end {
                BatchEnd::NotTaken => {
                    part.sends = 0;
                    self.send_first(now, id, &mut request, place, out);
                }
                BatchEnd::Done if !is_poor => {}
                BatchEnd::Done | BatchEnd::Lost => {
                    self.send(now, id, &mut request, place, SendReason::Retry, out);
                }
            }
        }
        self.requests.insert(id, request);
        self.check(now, id, out);
        self.send_queued(now, out);
    }

    /// Sends the delegated parts from this instance whose collecting instances have reported no
    /// progress or too few answers.
    pub(super) fn take_back_silent(&mut self, now: Time, id: RequestId, out: &mut Vec<Command>) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        for call in request.shares.clone() {
            let share = self
                .shares
                .get(&call)
                .expect("a share of a request is open");
            let share = share.clone();
            if share.has_reported && !is_poor(&request, call, &share) {
                continue;
            }
            self.peers.bar(now, share.peer);
            for place in share.parts {
                let part = &request.parts[place];
                if part.shared == Some(call) && part.open.is_empty() && !part.queued {
                    self.send(now, id, &mut request, place, SendReason::Retry, out);
                }
            }
        }
        self.requests.insert(id, request);
        self.check(now, id, out);
        self.send_queued(now, out);
    }
}

/// Returns whether a collecting instance has delivered less than the required fraction of its
/// parts.
fn is_poor(request: &Request, call: CallId, share: &Share) -> bool {
    let parts = share.parts.iter().map(|place| &request.parts[*place]);
    let missing = parts.filter(|part| part.shared == Some(call)).count();
    let collected = share.parts.len() - missing;
    (collected as f64) < share.parts.len() as f64 * COLLECTED_MIN_FRACTION
}
