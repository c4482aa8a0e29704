//! What other instances collect of a search.
//!
//! Both instances together must not ask more upstreams than the route allows, so this one names those
//! that may be asked: if the other one is silent, its parts are sent from here to the same upstreams.
//! An instance that is cut off from the registry so asks none that this one knows to be out of service.

use std::net::SocketAddr;
use std::rc::Rc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use hemlockrouter_types::routing::BatchPart;

use super::plan::Who;
use super::Dispatcher;
use super::Due;
use super::Share;
use crate::direct::event::BatchEnd;
use crate::direct::event::CallId;
use crate::direct::event::Collected;
use crate::direct::event::Command;
use crate::direct::event::RequestId;
use crate::direct::record::Seen;
use crate::direct::request::AnswerTo;
use crate::direct::request::Cause;
use crate::direct::request::Part;
use crate::direct::request::Request;
use crate::direct::table::Route;
use crate::direct::upstreams::Among;
use crate::direct::upstreams::Wanted;

/// The part of the target latency after which an instance that collects must have shown that it is at
/// work. It does so when it hedges, at a third of it at the latest.
const SILENT_PART: f64 = 0.5;

/// The least part of a batch that an instance must have collected by then, to be waited for.
const COLLECTED_PART: f64 = 0.5;

impl Dispatcher {
    /// Has other instances collect parts of a request, if it is a search over many shards.
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
        for (collector, places) in self.plan(now, services, Who::Usable) {
            if let Some(peer) = collector {
                self.hand_out(now, id, request, peer, places, out);
            }
        }
        let shares = request.shares.iter();
        let peers = shares.filter_map(|call| self.shares.get(call).map(|share| share.peer));
        let silent_ms = peers.map(|peer| self.silent_ms(&route, peer)).max();
        if let Some(silent_ms) = silent_ms {
            self.timers.set(now + silent_ms, Due::Silent(id));
        }
    }

    /// Returns the part of a route's target latency that an instance has to collect, in milliseconds: the
    /// way there and back takes the rest.
    fn target_ms_of(&self, route: &Route, peer: SocketAddr) -> u64 {
        let target_ms = route.entry.target_latency_ms;
        let way_ms = self.peers.way_ms(peer).min(target_ms / 2);
        target_ms - way_ms
    }

    /// Returns after how long an instance must have shown that it is at work, in milliseconds.
    fn silent_ms(&self, route: &Route, peer: SocketAddr) -> u64 {
        let target_ms = self.target_ms_of(route, peer);
        let way_ms = route.entry.target_latency_ms - target_ms;
        way_ms + (target_ms as f64 * SILENT_PART) as u64
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

    /// Picks the upstreams that a part may be sent to, as many as the route allows.
    fn pick(&mut self, now: Time, part: &Part, route: &Route) -> Vec<UpstreamKey> {
        let attempts_max = route.entry.attempts_max as usize;
        let mut picked = Vec::with_capacity(attempts_max);
        while picked.len() < attempts_max {
            let wanted = Wanted {
                service: part.service,
                regions: &route.entry.regions,
                among: Among::AllBut(&picked),
                far_ms: route.far_ms(),
            };
            match self.upstreams.pick(now, &wanted) {
                Some(upstream) => picked.push(upstream),
                None => break,
            }
        }
        picked
    }

    /// Gives a piece of this instance's part of the bound on repeats away.
    fn give(&mut self, now: Time, service: ServiceKey) -> u32 {
        let part = self.upstreams.allowance_part(now, service);
        let spending = &mut self.upstreams.service_mut(service).spending;
        spending.give(now, &self.config.repeats, part)
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

    /// Takes over what another instance has collected. Nothing shows that it is at work.
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
                // It takes the place of an answer from elsewhere: what else that instance passes on may
                // lack records that are less than the ones of this answer.
                part.shared = None;
                part.set_answer(answer);
                request.answered_at = now;
                self.cancel_part(now, part, Seen::GivenUp, out);
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

    /// Takes over how a call to an instance that collects has ended. What it has not taken is sent
    /// from here, and what it has lost. Where it has got most, what is missing is not tried again.
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
                    self.send(now, id, &mut request, place, Cause::Failed, out);
                }
            }
        }
        self.requests.insert(id, request);
        self.check(now, id, out);
        self.send_queued(now, out);
    }

    /// Sends the parts from here that instances were to collect that have shown nothing since, or have
    /// got too little.
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
                    self.send(now, id, &mut request, place, Cause::Failed, out);
                }
            }
        }
        self.requests.insert(id, request);
        self.check(now, id, out);
        self.send_queued(now, out);
    }
}

/// Returns whether the instance of a share has got less than its least part.
fn is_poor(request: &Request, call: CallId, share: &Share) -> bool {
    let parts = share.parts.iter().map(|place| &request.parts[*place]);
    let missing = parts.filter(|part| part.shared == Some(call)).count();
    let collected = share.parts.len() - missing;
    (collected as f64) < share.parts.len() as f64 * COLLECTED_PART
}
