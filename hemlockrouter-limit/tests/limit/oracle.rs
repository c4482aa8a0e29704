//! Oracle of the fuzz test.
//!
//! The oracle records the requests that each upstream is processing, from any instance, and the
//! decision of each instance about each sub-request.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockrouter_limit::Command;
use hemlockrouter_limit::Config;
use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_limit::Limiter;
use hemlockrouter_limit::SubRequest;
use hemlockrouter_types::prelude::*;

use crate::common::catalog;
use crate::common::upstream;
use crate::common::work;
use crate::fake_upstream::FakeUpstream;
use crate::fake_upstream::FakeUpstreamSpec;
use crate::fake_upstream::RequestInProcess;

pub(crate) const OWNERS: usize = 2;
pub(crate) const UPSTREAMS: usize = 2;
const SLOTS: [u32; UPSTREAMS] = [2, 8];
const COLD_SLOTS: [u32; UPSTREAMS] = [1, 3];
pub(crate) const CUSTOMERS: u32 = 3;
const LEASE_MS: u64 = 1_000;

/// Time within which a steady load must bring an upstream back to all its slots, in milliseconds. A
/// cold start that was ended wrongly doubles the settling time, so this bound allows for the
/// longest settling time.
const RECOVERY_MAX_MS: u64 = 90_000;

/// Number of answers of the warm upstream, a few windows, after which the holder knows the baseline
/// latency.
const BASELINE_LEARNED_ANSWERS: u32 = 36;

/// Number of answers after which the owner no longer uses answers from before a cold start: the
/// rest of a series of eight, and one more series.
const ANSWERS_UNTIL_FRESH: u32 = 16;

/// Settling time in milliseconds. An owner that has only seen a cold start can't detect that an
/// unannounced one begins. It accepts a latency that has been constant for this time as that of a
/// warm upstream.
const SETTLING_TIME_MS: u64 = 2_000;

/// Maximum number of overloads before the owner detects an unannounced cold start.
const UNDETECTED_OVERLOADS_MAX: u32 = 2;

/// Events and decisions of one instance.
struct OwnerState {
    limiter: Limiter,
    frozen: bool,
    /// Commands that were not carried out yet.
    outbox: Vec<Command>,
    /// Ends of sub-requests that were not reported to the limiter yet.
    inbox: Vec<(SubRequestId, DispatchOutcome)>,
    offered: BTreeMap<SubRequestId, SubRequest>,
    dispatched: BTreeSet<SubRequestId>,
    refused: BTreeSet<SubRequestId>,
    waiting: BTreeSet<SubRequestId>,
    ended: Vec<(SubRequestId, DispatchOutcome)>,
    /// Latest start id of each upstream that was reported to this instance.
    latest_starts: [Option<StartId>; UPSTREAMS],
}

/// State of the oracle: the instances, the upstreams and the requests in flight.
pub(crate) struct Oracle {
    now: Time,
    catalog: Catalog,
    owners: Vec<OwnerState>,
    upstreams: Vec<UpstreamState>,
    /// Requests in flight by the time of their end. A number keeps the order of those that end at
    /// the same time.
    in_process: BTreeMap<(Time, u64), (usize, usize, SubRequestId, RequestInProcess)>,
    seq: u64,
}

/// Actual state of one upstream.
struct UpstreamState {
    fake_upstream: FakeUpstream,
    holder: Option<(usize, Time)>,
    in_service: bool,
    leaving: bool,
    /// Whether the holder is able to know that the upstream is cold.
    known_cold: bool,
    /// Whether the holder treated the upstream as cold at the last check.
    treated_as_cold: bool,
    /// Whether the holder already treated the upstream as cold when an unannounced cold start
    /// began.
    unannounced_while_cold: bool,
    /// Whether an unannounced cold start began before the holder had learned the baseline latency,
    /// with too few answers since then to learn it.
    unannounced_before_baseline: bool,
    /// Number of answers to the holder while the upstream was warm.
    warm_answers: u32,
    /// Number of answers to the holder since the upstream became cold.
    answers: u32,
    /// Time of the first answer to the holder while it treated the upstream as cold.
    first_answer_at: Option<Time>,
    /// Number of overloads since a cold start began that the holder does not know of.
    undetected_overloads: u32,
}

impl Oracle {
    pub(crate) fn new() -> Oracle {
        let mut catalog = catalog(UPSTREAMS, 0, 0, CUSTOMERS as usize);
        for (upstream_index, (slots, cold_slots)) in SLOTS.into_iter().zip(COLD_SLOTS).enumerate() {
            let entry = catalog.upstreams.get_mut(upstream(upstream_index as u32));
            let entry = entry.expect("the catalogue has both upstreams");
            entry.slots = slots;
            entry.cold_slots = cold_slots;
        }
        let owner = || OwnerState {
            limiter: Limiter::new(Config::new().queue_max(16)),
            frozen: false,
            outbox: Vec::new(),
            inbox: Vec::new(),
            offered: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            refused: BTreeSet::new(),
            waiting: BTreeSet::new(),
            ended: Vec::new(),
            latest_starts: [None; UPSTREAMS],
        };
        let new_state = |upstream_index| UpstreamState {
            fake_upstream: FakeUpstream::new(
                FakeUpstreamSpec::new(SLOTS[upstream_index], COLD_SLOTS[upstream_index]),
                Time::ZERO,
                upstream_index as u64,
            ),
            holder: None,
            in_service: true,
            leaving: false,
            known_cold: true,
            treated_as_cold: true,
            unannounced_while_cold: false,
            unannounced_before_baseline: false,
            warm_answers: 0,
            answers: 0,
            first_answer_at: None,
            undetected_overloads: 0,
        };
        let mut oracle = Oracle {
            now: Time::ZERO,
            catalog,
            owners: (0..OWNERS).map(|_| owner()).collect(),
            upstreams: (0..UPSTREAMS).map(new_state).collect(),
            in_process: BTreeMap::new(),
            seq: 0,
        };
        oracle.configure();
        oracle
    }

    /// Repeats an earlier offer.
    pub(crate) fn repeat_offer(&mut self, nth: usize, deadline_in_ms: u64) {
        for owner in 0..OWNERS {
            let work = self.owners[owner].nth_offered(nth);
            if let Some(mut work) = work.filter(|_| !self.owners[owner].frozen) {
                work.deadline = self.now + deadline_in_ms;
                self.offer(owner, work);
            }
        }
    }

    pub(crate) fn cancel(&mut self, nth: usize) {
        for owner in 0..OWNERS {
            if let Some(SubRequest { id, .. }) = self.owners[owner].nth_offered(nth) {
                self.apply_event(owner, |limiter, now, out| limiter.cancel(now, id, out));
            }
        }
    }

    /// Reports the end of a sub-request a second time.
    pub(crate) fn repeat_end(&mut self, nth: usize) {
        for owner in 0..OWNERS {
            let past_ends = &self.owners[owner].ended;
            if let Some(nth) = nth.checked_rem(past_ends.len()) {
                let (id, outcome) = past_ends[nth];
                self.finish(owner, id, outcome);
            }
        }
    }

    pub(crate) fn freeze(&mut self, owner: usize) {
        self.owners[owner].frozen = true;
    }

    /// Restarts an upstream that stays down for `down_ms` milliseconds, or begins an unannounced
    /// cold start.
    pub(crate) fn begin_cold_start(&mut self, upstream_index: usize, down_ms: Option<u64>) {
        let upstream_state = &mut self.upstreams[upstream_index];
        upstream_state.unannounced_while_cold = upstream_state.treated_as_cold;
        if down_ms.is_none() && upstream_state.warm_answers < BASELINE_LEARNED_ANSWERS {
            upstream_state.unannounced_before_baseline = true;
            upstream_state.warm_answers = 0;
        }
        upstream_state.answers = 0;
        match down_ms {
            Some(down_ms) => upstream_state.fake_upstream.restart(self.now, down_ms),
            None => upstream_state.fake_upstream.begin_cold_start(self.now),
        }
        upstream_state.known_cold = false;
        upstream_state.undetected_overloads = 0;
    }

    pub(crate) fn set_in_service(&mut self, upstream_index: usize, in_service: bool) {
        self.upstreams[upstream_index].in_service = in_service;
        let entry = self
            .catalog
            .upstreams
            .get_mut(upstream(upstream_index as u32));
        entry.expect("upstreams are never removed").in_service = in_service;
        self.configure();
    }

    pub(crate) fn mark_leaving(&mut self, upstream_index: usize, leaving: bool) {
        self.upstreams[upstream_index].leaving = leaving;
        let key = upstream(upstream_index as u32);
        for owner in 0..OWNERS {
            self.apply_event(owner, |limiter, now, out| {
                limiter.mark_leaving(now, key, leaving, out)
            });
        }
    }

    /// Offers a sub-request several times, each time with a new id and deadline.
    pub(crate) fn offer_many(&mut self, owner: usize, work: SubRequest, count: u8, freeze: bool) {
        if self.owners[owner].frozen {
            return;
        }
        self.owners[owner].frozen = freeze;
        for _ in 0..count {
            self.offer_new(owner, work);
        }
    }

    fn offer_new(&mut self, owner: usize, mut work: SubRequest) {
        self.seq += 1;
        work.id.seq = self.seq;
        work.deadline = self.now + work.deadline.as_ms();
        self.offer(owner, work);
    }

    /// Offers a sub-request of the next customer in turn.
    fn offer_next(&mut self, owner: usize, upstream_index: usize, deadline_in_ms: u64) {
        let customer = (self.seq % u64::from(CUSTOMERS)) as u32;
        let mut work = work(0, customer, Time::from_ms(deadline_in_ms));
        work.upstream = upstream(upstream_index as u32);
        self.offer_new(owner, work);
    }

    /// Offers sub-requests to the holder at an interval.
    pub(crate) fn apply_load(&mut self, upstream_index: usize, ms: u64, interval_ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.hold_lease(upstream_index, 0);
            let holder = self.upstreams[upstream_index].holder;
            let Some((owner, _)) = holder.filter(|&(owner, _)| !self.owners[owner].frozen) else {
                self.advance(until.remaining_ms(self.now));
                return;
            };
            self.offer_next(owner, upstream_index, 200);
            self.advance(interval_ms);
            self.check_invariants();
        }
    }

    pub(crate) fn hand_over(&mut self, upstream_index: usize, count: u8) {
        let now = self.now;
        let holder = self.upstreams[upstream_index]
            .holder
            .filter(|&(_, until)| until > now);
        let Some((from, _)) = holder else {
            return;
        };
        let to = 1 - from;
        if self.owners[from].frozen || self.owners[to].frozen {
            return;
        }
        self.release_lease(upstream_index);
        self.hold_lease(upstream_index, to);
        for _ in 0..count {
            self.offer_next(to, upstream_index, 500);
        }
    }

    fn configure(&mut self) {
        let catalog = self.catalog.clone();
        for owner in 0..OWNERS {
            self.apply_event(owner, |limiter, now, out| {
                limiter.configure(now, &catalog, out)
            });
        }
    }

    pub(crate) fn hold_lease(&mut self, upstream_index: usize, owner: usize) {
        let now = self.now;
        let holder = self.upstreams[upstream_index]
            .holder
            .filter(|&(_, until)| until > now);
        let owner = holder.map_or(owner, |(owner, _)| owner);
        if self.owners[owner].frozen {
            return;
        }
        let until = now + LEASE_MS;
        if holder.is_none() {
            // A new holder always treats the upstream as cold.
            self.upstreams[upstream_index].mark_known_cold();
            self.upstreams[upstream_index].warm_answers = 0;
        }
        self.upstreams[upstream_index].holder = Some((owner, until));
        let key = upstream(upstream_index as u32);
        self.apply_event(owner, |limiter, now, out| {
            limiter.record_lease(now, key, until, out)
        });
    }

    pub(crate) fn release_lease(&mut self, upstream_index: usize) {
        let Some((owner, _)) = self.upstreams[upstream_index].holder else {
            return;
        };
        if self.owners[owner].frozen {
            return;
        }
        self.upstreams[upstream_index].holder = None;
        let key = upstream(upstream_index as u32);
        self.apply_event(owner, |limiter, now, out| {
            limiter.release_lease(now, key, out)
        });
    }

    fn offer(&mut self, owner: usize, work: SubRequest) {
        let state = &mut self.owners[owner];
        let has_ended = state.ended.iter().any(|&(id, _)| id == work.id);
        if !work.non_repeatable && (has_ended || state.refused.contains(&work.id)) {
            // A sub-request that may be repeated counts as new after its end.
            state.dispatched.remove(&work.id);
            state.refused.remove(&work.id);
            state.ended.retain(|&(id, _)| id != work.id);
            state.offered.remove(&work.id);
        }
        if let Entry::Vacant(entry) = state.offered.entry(work.id) {
            entry.insert(work);
            state.waiting.insert(work.id);
        }
        self.apply_event(owner, |limiter, now, out| limiter.offer(now, work, out));
    }

    /// Passes an event to an instance and carries out its commands. A frozen instance decides on
    /// the event, and its commands are carried out when it resumes.
    fn apply_event<F>(&mut self, owner: usize, event: F)
    where
        F: FnOnce(&mut Limiter, Time, &mut Vec<Command>),
    {
        let now = self.now;
        let OwnerState {
            limiter, outbox, ..
        } = &mut self.owners[owner];
        let before = outbox.len();
        event(limiter, now, outbox);
        for command in &outbox[before..] {
            if let Command::Dispatch { upstream, .. } = command {
                let upstream_state = &self.upstreams[upstream.slot()];
                assert!(
                    upstream_state.in_service && !upstream_state.leaving,
                    "{command:?} while leaving"
                );
            }
        }
        self.carry_out(owner);
    }

    fn carry_out(&mut self, owner: usize) {
        if self.owners[owner].frozen {
            return;
        }
        for command in std::mem::take(&mut self.owners[owner].outbox) {
            match command {
                Command::Dispatch {
                    id,
                    upstream,
                    lease_until,
                    ..
                } => {
                    self.send_request(owner, id, upstream.slot(), lease_until);
                }
                Command::Refuse { id, .. } => {
                    let owner = &mut self.owners[owner];
                    assert!(
                        !owner.dispatched.contains(&id),
                        "{id} was dispatched before"
                    );
                    assert!(owner.refused.insert(id), "{id} refused twice");
                    owner.waiting.remove(&id);
                }
                Command::CancelAtUpstream { id, .. } => {
                    assert!(self.owners[owner].dispatched.contains(&id));
                }
                Command::Decision(_) => {}
            }
        }
    }

    fn send_request(
        &mut self,
        owner: usize,
        id: SubRequestId,
        upstream_index: usize,
        lease_until: Time,
    ) {
        let now = self.now;
        let state = &mut self.owners[owner];
        let non_repeatable = state.offered[&id].non_repeatable;
        let sent_before = !state.dispatched.insert(id) || state.refused.contains(&id);
        assert!(
            !sent_before || !non_repeatable,
            "{id} was sent twice or after its refusal"
        );
        state.waiting.remove(&id);
        if now >= lease_until {
            state.inbox.push((id, DispatchOutcome::NotSent));
            return;
        }
        let upstream_state = &mut self.upstreams[upstream_index];
        let holder = upstream_state
            .holder
            .expect("only a holder of the lease sends");
        assert_eq!(holder.0, owner, "{id} sent without the lease");
        let was_cold = upstream_state.fake_upstream.is_cold();
        let overloads = upstream_state.fake_upstream.overloads;
        let in_process = upstream_state.fake_upstream.start_request(now, 1);
        assert!(
            upstream_state.fake_upstream.in_flight <= SLOTS[upstream_index],
            "more requests in flight than slots"
        );
        if was_cold && upstream_state.fake_upstream.overloads > overloads {
            let settling_time_over = upstream_state
                .first_answer_at
                .map_or(0, |at| now.ms_since(at))
                >= SETTLING_TIME_MS;
            let answers_stale = upstream_state.answers < ANSWERS_UNTIL_FRESH;
            let undetectable = upstream_state.unannounced_while_cold
                && (answers_stale || settling_time_over)
                || upstream_state.unannounced_before_baseline
                    && upstream_state.undetected_overloads == 0;
            assert!(
                !upstream_state.known_cold || undetectable,
                "{id} exceeded the cold slots of {upstream_index}"
            );
            upstream_state.undetected_overloads += 1;
            assert!(
                upstream_state.undetected_overloads <= UNDETECTED_OVERLOADS_MAX,
                "the cold start of {upstream_index} was not detected"
            );
        }
        self.seq += 1;
        let end_key = (in_process.until, self.seq);
        self.in_process
            .insert(end_key, (owner, upstream_index, id, in_process));
    }

    /// Advances the time event by event.
    pub(crate) fn advance(&mut self, ms: u64) {
        let until = self.now + ms;
        loop {
            let ends = self.in_process.first_key_value().map(|(&(at, _), _)| at);
            let wakes = self.owners.iter().filter(|owner| !owner.frozen);
            let wakes = wakes.filter_map(|owner| owner.limiter.next_wake());
            let next = wakes.chain(ends).min();
            let Some(next) = next.filter(|&next| next <= until) else {
                break;
            };
            self.now = self.now.max(next);
            self.end_served();
            for owner in 0..OWNERS {
                self.process_inbox(owner);
            }
        }
        self.now = until;
    }

    /// Ends the requests whose service time is over.
    fn end_served(&mut self) {
        while let Some(entry) = self.in_process.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (owner, upstream_index, id, in_process) = entry.remove();
            let outcome = self.upstreams[upstream_index]
                .fake_upstream
                .end_request(self.now, in_process);
            self.owners[owner].inbox.push((id, outcome));
        }
    }

    /// Processes the pending events of an instance unless it is frozen.
    fn process_inbox(&mut self, owner: usize) {
        if self.owners[owner].frozen {
            return;
        }
        while !self.owners[owner].inbox.is_empty() {
            let (id, outcome) = self.owners[owner].inbox.remove(0);
            self.owners[owner].ended.push((id, outcome));
            self.finish(owner, id, outcome);
        }
        self.apply_event(owner, |limiter, now, out| limiter.tick(now, out));
    }

    /// Reports the end of a sub-request. A refused connection or a changed start id reveals that
    /// the upstream is cold.
    fn finish(&mut self, owner: usize, id: SubRequestId, outcome: DispatchOutcome) {
        let upstream_state = &mut self.upstreams[self.owners[owner].offered[&id].upstream.slot()];
        let holds = upstream_state
            .holder
            .is_some_and(|(holder, _)| holder == owner);
        if holds && outcome == DispatchOutcome::Unreachable {
            upstream_state.mark_known_cold();
        }
        self.apply_event(owner, |limiter, now, out| {
            limiter.finish(now, id, outcome, out)
        });
        if let DispatchOutcome::Answered {
            start_id: start, ..
        } = outcome
        {
            let state = &mut self.owners[owner];
            let key = state.offered[&id].upstream;
            let latest_starts = &mut state.latest_starts[key.slot()];
            let status = state
                .limiter
                .status(key)
                .expect("upstreams are never removed");
            let restarted = latest_starts.is_some() && *latest_starts < start;
            assert!(!restarted || status.cold, "a restart went unnoticed");
            *latest_starts = (*latest_starts).max(start);
            let upstream_state = &mut self.upstreams[key.slot()];
            if holds && restarted {
                upstream_state.mark_known_cold();
            }
            upstream_state.answers += u32::from(holds);
            upstream_state.warm_answers +=
                u32::from(holds && !upstream_state.fake_upstream.is_cold());
            upstream_state.unannounced_before_baseline &=
                upstream_state.warm_answers < BASELINE_LEARNED_ANSWERS;
            if holds && status.cold {
                upstream_state.first_answer_at.get_or_insert(self.now);
            }
        }
    }

    pub(crate) fn resume(&mut self, owner: usize) {
        if self.owners[owner].frozen {
            self.owners[owner].frozen = false;
            self.carry_out(owner);
            self.process_inbox(owner);
        }
    }

    /// Checks the invariants that must hold after every step.
    pub(crate) fn check_invariants(&mut self) {
        for upstream_index in 0..UPSTREAMS {
            let key = upstream(upstream_index as u32);
            let Some((owner, until)) = self.upstreams[upstream_index].holder else {
                continue;
            };
            let status = self.owners[owner].limiter.status(key);
            let status = status.expect("upstreams are never removed");
            assert!(status.limit >= 1 && status.limit <= SLOTS[upstream_index]);
            assert!(!status.cold || status.limit <= COLD_SLOTS[upstream_index]);
            // The holder must keep to the cold slots as soon as it reports the upstream as cold.
            let upstream_state = &mut self.upstreams[upstream_index];
            if !upstream_state.treated_as_cold && status.cold {
                upstream_state.mark_known_cold();
            }
            upstream_state.known_cold |= status.cold && until > self.now;
            upstream_state.treated_as_cold = status.cold;
        }
        for (number, owner) in self.owners.iter().enumerate() {
            if owner.frozen {
                continue;
            }
            for id in &owner.waiting {
                let work = owner.offered[id];
                assert!(work.deadline >= self.now, "{id} waits past its deadline");
                let upstream_state = &self.upstreams[work.upstream.slot()];
                assert!(
                    upstream_state.in_service && !upstream_state.leaving,
                    "{id} waits for an upstream that is leaving"
                );
                let holder = upstream_state.holder.filter(|&(_, until)| until > self.now);
                let held = holder.is_some_and(|(holder, _)| holder == number);
                assert!(held, "{id} waits at an instance without the lease");
            }
        }
    }

    /// Ends all faults and applies a steady load. Checks that every sub-request was decided and
    /// that each upstream gets back to all its slots.
    pub(crate) fn check_recovery(&mut self) {
        for owner in 0..OWNERS {
            self.resume(owner);
        }
        for upstream_index in 0..UPSTREAMS {
            self.set_in_service(upstream_index, true);
            self.mark_leaving(upstream_index, false);
            self.release_lease(upstream_index);
        }
        self.advance(LEASE_MS + 1_000);
        for owner in &self.owners {
            assert_eq!(
                owner.waiting,
                BTreeSet::new(),
                "sub-requests without a decision"
            );
        }
        for _ in 0..RECOVERY_MAX_MS / 10 {
            for upstream_index in 0..UPSTREAMS {
                self.hold_lease(upstream_index, 0);
                self.offer_next(0, upstream_index, 200);
            }
            self.advance(10);
            self.check_invariants();
            if (0..UPSTREAMS).all(|upstream_index| self.is_restored(upstream_index)) {
                return;
            }
        }
        panic!("an upstream did not get back to all its slots");
    }

    /// Returns whether an upstream is warm, and its holder treats it as warm and uses all slots.
    fn is_restored(&self, upstream_index: usize) -> bool {
        let status = self.owners[0]
            .limiter
            .status(upstream(upstream_index as u32));
        let status = status.expect("upstreams are never removed");
        !self.upstreams[upstream_index].fake_upstream.is_cold()
            && !status.cold
            && status.limit == SLOTS[upstream_index]
    }
}

impl UpstreamState {
    /// Records that the holder now knows that the upstream is cold.
    fn mark_known_cold(&mut self) {
        self.known_cold = true;
        self.unannounced_while_cold = false;
        self.first_answer_at = None;
    }
}

impl OwnerState {
    fn nth_offered(&self, nth: usize) -> Option<SubRequest> {
        let nth = nth.checked_rem(self.offered.len())?;
        self.offered.values().nth(nth).copied()
    }
}
