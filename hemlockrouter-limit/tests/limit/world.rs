//! Oracle of the fuzz test.
//!
//! The oracle records the requests that each upstream is processing, from any instance, and the
//! decision of each instance about each sub-request.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockrouter_limit::Command;
use hemlockrouter_limit::Config;
use hemlockrouter_limit::Ended;
use hemlockrouter_limit::Limiter;
use hemlockrouter_limit::Work;
use hemlockrouter_types::prelude::*;

use crate::common::catalog;
use crate::common::upstream;
use crate::common::work;
use crate::fake::Fake;
use crate::fake::Serving;
use crate::fake::Spec;

pub(crate) const OWNERS: usize = 2;
pub(crate) const UPSTREAMS: usize = 2;
const SLOTS: [u32; UPSTREAMS] = [2, 8];
const COLD_SLOTS: [u32; UPSTREAMS] = [1, 3];
pub(crate) const CUSTOMERS: u32 = 3;
const LEASE_MS: u64 = 1_000;

/// Time within which a steady load must bring an upstream back to all its slots, in milliseconds. A
/// cold start that was ended wrongly doubles the settling time, so this bound allows for the
/// longest settling time.
const CALM_MS: u64 = 90_000;

/// Number of answers of the warm upstream, a few windows, after which the holder knows the baseline
/// latency.
const LEARNED_AFTER: u32 = 36;

/// Number of answers after which the owner no longer uses answers from before a cold start: the
/// rest of a series of eight, and one more series.
const JUDGED_AFTER: u32 = 16;

/// Settling time in milliseconds. An owner that has only seen a cold start can't detect that an
/// unannounced one begins. It accepts a latency that has been constant for this time as that of a
/// warm upstream.
const SETTLE_MS: u64 = 2_000;

/// Maximum number of overloads before the owner detects an unannounced cold start.
const BLIND_FALLS_MAX: u32 = 2;

/// Events and decisions of one instance.
struct Owner {
    limiter: Limiter,
    frozen: bool,
    /// Commands that were not carried out yet.
    outbox: Vec<Command>,
    /// Ends of sub-requests that were not reported to the limiter yet.
    inbox: Vec<(SubId, Ended)>,
    offered: BTreeMap<SubId, Work>,
    dispatched: BTreeSet<SubId>,
    refused: BTreeSet<SubId>,
    waiting: BTreeSet<SubId>,
    ended: Vec<(SubId, Ended)>,
    /// Latest start id of each upstream that was reported to this instance.
    seen: [Option<StartId>; UPSTREAMS],
}

/// State of the oracle: the instances, the upstreams and the requests in flight.
pub(crate) struct World {
    now: Time,
    catalog: Catalog,
    owners: Vec<Owner>,
    ups: Vec<Up>,
    /// Requests in flight by the time of their end. A number keeps the order of those that end at
    /// the same time.
    serving: BTreeMap<(Time, u64), (usize, usize, SubId, Serving)>,
    seq: u64,
}

/// Actual state of one upstream.
struct Up {
    fake: Fake,
    holder: Option<(usize, Time)>,
    in_service: bool,
    leaving: bool,
    /// Whether the holder is able to know that the upstream is cold.
    known_cold: bool,
    /// Whether the holder treated the upstream as cold at the last check.
    taken_for_cold: bool,
    /// Whether the holder already treated the upstream as cold when an unannounced cold start
    /// began.
    turned_while_cold: bool,
    /// Whether an unannounced cold start began before the holder had learned the baseline latency,
    /// with too few answers since then to learn it.
    turned_unlearned: bool,
    /// Number of answers to the holder while the upstream was warm.
    warm_answers: u32,
    /// Number of answers to the holder since the upstream became cold.
    answers: u32,
    /// Time of the first answer to the holder while it treated the upstream as cold.
    first_answer: Option<Time>,
    /// Number of overloads since a cold start began that the holder does not know of.
    blind: u32,
}

impl World {
    pub(crate) fn new() -> World {
        let mut catalog = catalog(UPSTREAMS, 0, 0, CUSTOMERS as usize);
        for (up, (slots, cold_slots)) in SLOTS.into_iter().zip(COLD_SLOTS).enumerate() {
            let entry = catalog.upstreams.get_mut(upstream(up as u32));
            let entry = entry.expect("the catalogue has both upstreams");
            entry.slots = slots;
            entry.cold_slots = cold_slots;
        }
        let owner = || Owner {
            limiter: Limiter::new(Config::new().queue_max(16)),
            frozen: false,
            outbox: Vec::new(),
            inbox: Vec::new(),
            offered: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            refused: BTreeSet::new(),
            waiting: BTreeSet::new(),
            ended: Vec::new(),
            seen: [None; UPSTREAMS],
        };
        let up = |up| Up {
            fake: Fake::new(Spec::new(SLOTS[up], COLD_SLOTS[up]), Time::ZERO, up as u64),
            holder: None,
            in_service: true,
            leaving: false,
            known_cold: true,
            taken_for_cold: true,
            turned_while_cold: false,
            turned_unlearned: false,
            warm_answers: 0,
            answers: 0,
            first_answer: None,
            blind: 0,
        };
        let mut world = World {
            now: Time::ZERO,
            catalog,
            owners: (0..OWNERS).map(|_| owner()).collect(),
            ups: (0..UPSTREAMS).map(up).collect(),
            serving: BTreeMap::new(),
            seq: 0,
        };
        world.configure();
        world
    }

    /// Repeats an earlier offer.
    pub(crate) fn repeat(&mut self, nth: usize, in_ms: u64) {
        for owner in 0..OWNERS {
            let work = self.owners[owner].nth_offered(nth);
            if let Some(mut work) = work.filter(|_| !self.owners[owner].frozen) {
                work.deadline = self.now + in_ms;
                self.offer(owner, work);
            }
        }
    }

    pub(crate) fn cancel(&mut self, nth: usize) {
        for owner in 0..OWNERS {
            if let Some(Work { id, .. }) = self.owners[owner].nth_offered(nth) {
                self.event(owner, |limiter, now, out| limiter.cancel(now, id, out));
            }
        }
    }

    /// Reports the end of a sub-request a second time.
    pub(crate) fn end_again(&mut self, nth: usize) {
        for owner in 0..OWNERS {
            let ended = &self.owners[owner].ended;
            if let Some(nth) = nth.checked_rem(ended.len()) {
                let (id, ended) = ended[nth];
                self.finish(owner, id, ended);
            }
        }
    }

    pub(crate) fn freeze(&mut self, owner: usize) {
        self.owners[owner].frozen = true;
    }

    /// Restarts an upstream that stays down for `down_ms` milliseconds, or begins an unannounced
    /// cold start.
    pub(crate) fn cool(&mut self, up: usize, down_ms: Option<u64>) {
        let up = &mut self.ups[up];
        up.turned_while_cold = up.taken_for_cold;
        if down_ms.is_none() && up.warm_answers < LEARNED_AFTER {
            up.turned_unlearned = true;
            up.warm_answers = 0;
        }
        up.answers = 0;
        match down_ms {
            Some(down_ms) => up.fake.restart(self.now, down_ms),
            None => up.fake.turn_cold(self.now),
        }
        up.known_cold = false;
        up.blind = 0;
    }

    pub(crate) fn serve(&mut self, up: usize, in_service: bool) {
        self.ups[up].in_service = in_service;
        let entry = self.catalog.upstreams.get_mut(upstream(up as u32));
        entry.expect("upstreams stay").in_service = in_service;
        self.configure();
    }

    pub(crate) fn mark_leaving(&mut self, up: usize, leaving: bool) {
        self.ups[up].leaving = leaving;
        let key = upstream(up as u32);
        for owner in 0..OWNERS {
            self.event(owner, |limiter, now, out| {
                limiter.mark_leaving(now, key, leaving, out)
            });
        }
    }

    /// Offers a sub-request several times, each time with a new id and deadline.
    pub(crate) fn burst(&mut self, owner: usize, work: Work, count: u8, freeze: bool) {
        if self.owners[owner].frozen {
            return;
        }
        self.owners[owner].frozen = freeze;
        for _ in 0..count {
            self.offer_new(owner, work);
        }
    }

    fn offer_new(&mut self, owner: usize, mut work: Work) {
        self.seq += 1;
        work.id.seq = self.seq;
        work.deadline = self.now + work.deadline.as_ms();
        self.offer(owner, work);
    }

    /// Offers a sub-request of the next customer in turn.
    fn offer_next(&mut self, owner: usize, up: usize, in_ms: u64) {
        let customer = (self.seq % u64::from(CUSTOMERS)) as u32;
        let mut work = work(0, customer, Time::from_ms(in_ms));
        work.upstream = upstream(up as u32);
        self.offer_new(owner, work);
    }

    /// Offers sub-requests to the holder at an interval.
    pub(crate) fn load(&mut self, up: usize, ms: u64, every_ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.hold(up, 0);
            let holder = self.ups[up].holder;
            let Some((owner, _)) = holder.filter(|&(owner, _)| !self.owners[owner].frozen) else {
                self.pass(until.left(self.now));
                return;
            };
            self.offer_next(owner, up, 200);
            self.pass(every_ms);
            self.check();
        }
    }

    pub(crate) fn hand_over(&mut self, up: usize, count: u8) {
        let now = self.now;
        let holder = self.ups[up].holder.filter(|&(_, until)| until > now);
        let Some((from, _)) = holder else {
            return;
        };
        let to = 1 - from;
        if self.owners[from].frozen || self.owners[to].frozen {
            return;
        }
        self.release(up);
        self.hold(up, to);
        for _ in 0..count {
            self.offer_next(to, up, 500);
        }
    }

    fn configure(&mut self) {
        let catalog = self.catalog.clone();
        for owner in 0..OWNERS {
            self.event(owner, |limiter, now, out| {
                limiter.configure(now, &catalog, out)
            });
        }
    }

    pub(crate) fn hold(&mut self, up: usize, owner: usize) {
        let now = self.now;
        let holder = self.ups[up].holder.filter(|&(_, until)| until > now);
        let owner = holder.map_or(owner, |(owner, _)| owner);
        if self.owners[owner].frozen {
            return;
        }
        let until = now + LEASE_MS;
        if holder.is_none() {
            // A new holder always treats the upstream as cold.
            self.ups[up].know_cold();
            self.ups[up].warm_answers = 0;
        }
        self.ups[up].holder = Some((owner, until));
        let key = upstream(up as u32);
        self.event(owner, |limiter, now, out| {
            limiter.hold(now, key, until, out)
        });
    }

    pub(crate) fn release(&mut self, up: usize) {
        let Some((owner, _)) = self.ups[up].holder else {
            return;
        };
        if self.owners[owner].frozen {
            return;
        }
        self.ups[up].holder = None;
        let key = upstream(up as u32);
        self.event(owner, |limiter, now, out| limiter.release(now, key, out));
    }

    fn offer(&mut self, owner: usize, work: Work) {
        let state = &mut self.owners[owner];
        let ended = state.ended.iter().any(|&(id, _)| id == work.id);
        if !work.once && (ended || state.refused.contains(&work.id)) {
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
        self.event(owner, |limiter, now, out| limiter.offer(now, work, out));
    }

    /// Passes an event to an instance and carries out its commands. A frozen instance decides on
    /// the event, and its commands are carried out when it resumes.
    fn event<F>(&mut self, owner: usize, event: F)
    where
        F: FnOnce(&mut Limiter, Time, &mut Vec<Command>),
    {
        let now = self.now;
        let Owner {
            limiter, outbox, ..
        } = &mut self.owners[owner];
        let before = outbox.len();
        event(limiter, now, outbox);
        for command in &outbox[before..] {
            if let Command::Dispatch { upstream, .. } = command {
                let up = &self.ups[upstream.slot()];
                assert!(up.in_service && !up.leaving, "{command:?} while leaving");
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
                    self.send(owner, id, upstream.slot(), lease_until);
                }
                Command::Refuse { id, .. } => {
                    let owner = &mut self.owners[owner];
                    assert!(!owner.dispatched.contains(&id), "{id} went out before");
                    assert!(owner.refused.insert(id), "{id} refused twice");
                    owner.waiting.remove(&id);
                }
                Command::CancelUpstream { id, .. } => {
                    assert!(self.owners[owner].dispatched.contains(&id));
                }
                Command::Decision(_) => {}
            }
        }
    }

    fn send(&mut self, owner: usize, id: SubId, up: usize, lease_until: Time) {
        let now = self.now;
        let state = &mut self.owners[owner];
        let once = state.offered[&id].once;
        let again = !state.dispatched.insert(id) || state.refused.contains(&id);
        assert!(!again || !once, "{id} went out twice or after its refusal");
        state.waiting.remove(&id);
        if now >= lease_until {
            state.inbox.push((id, Ended::NotSent));
            return;
        }
        let up_state = &mut self.ups[up];
        let holder = up_state.holder.expect("whoever sends holds the lease");
        assert_eq!(holder.0, owner, "{id} sent without the lease");
        let was_cold = up_state.fake.is_cold();
        let overloads = up_state.fake.overloads;
        let serving = up_state.fake.arrive(now, 1);
        assert!(up_state.fake.in_flight <= SLOTS[up], "above the slots");
        if was_cold && up_state.fake.overloads > overloads {
            let settled = up_state.first_answer.map_or(0, |at| now.since(at)) >= SETTLE_MS;
            let unjudged = up_state.answers < JUDGED_AFTER;
            let unknowable = up_state.turned_while_cold && (unjudged || settled)
                || up_state.turned_unlearned && up_state.blind == 0;
            assert!(
                !up_state.known_cold || unknowable,
                "{id} passed the cold bound of {up}"
            );
            up_state.blind += 1;
            assert!(up_state.blind <= BLIND_FALLS_MAX, "{up} is cold unnoticed");
        }
        self.seq += 1;
        let at = (serving.until, self.seq);
        self.serving.insert(at, (owner, up, id, serving));
    }

    /// Advances the time event by event.
    pub(crate) fn pass(&mut self, ms: u64) {
        let until = self.now + ms;
        loop {
            let ends = self.serving.first_key_value().map(|(&(at, _), _)| at);
            let wakes = self.owners.iter().filter(|owner| !owner.frozen);
            let wakes = wakes.filter_map(|owner| owner.limiter.next_wake());
            let next = wakes.chain(ends).min();
            let Some(next) = next.filter(|&next| next <= until) else {
                break;
            };
            self.now = self.now.max(next);
            self.end_served();
            for owner in 0..OWNERS {
                self.work_off(owner);
            }
        }
        self.now = until;
    }

    /// Ends the requests whose service time is over.
    fn end_served(&mut self) {
        while let Some(entry) = self.serving.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (owner, up, id, serving) = entry.remove();
            let ended = self.ups[up].fake.end(self.now, serving);
            self.owners[owner].inbox.push((id, ended));
        }
    }

    /// Processes the pending events of an instance unless it is frozen.
    fn work_off(&mut self, owner: usize) {
        if self.owners[owner].frozen {
            return;
        }
        while !self.owners[owner].inbox.is_empty() {
            let (id, ended) = self.owners[owner].inbox.remove(0);
            self.owners[owner].ended.push((id, ended));
            self.finish(owner, id, ended);
        }
        self.event(owner, |limiter, now, out| limiter.tick(now, out));
    }

    /// Reports the end of a sub-request. A refused connection or a changed start id reveals that
    /// the upstream is cold.
    fn finish(&mut self, owner: usize, id: SubId, ended: Ended) {
        let up = &mut self.ups[self.owners[owner].offered[&id].upstream.slot()];
        let holds = up.holder.is_some_and(|(holder, _)| holder == owner);
        if holds && ended == Ended::Unreachable {
            up.know_cold();
        }
        self.event(owner, |limiter, now, out| {
            limiter.finish(now, id, ended, out)
        });
        if let Ended::Answered { start, .. } = ended {
            let state = &mut self.owners[owner];
            let key = state.offered[&id].upstream;
            let seen = &mut state.seen[key.slot()];
            let status = state.limiter.status(key).expect("upstreams stay");
            let restarted = seen.is_some() && *seen < start;
            assert!(!restarted || status.cold, "a restart went unnoticed");
            *seen = (*seen).max(start);
            let up = &mut self.ups[key.slot()];
            if holds && restarted {
                up.know_cold();
            }
            up.answers += u32::from(holds);
            up.warm_answers += u32::from(holds && !up.fake.is_cold());
            up.turned_unlearned &= up.warm_answers < LEARNED_AFTER;
            if holds && status.cold {
                up.first_answer.get_or_insert(self.now);
            }
        }
    }

    pub(crate) fn thaw(&mut self, owner: usize) {
        if self.owners[owner].frozen {
            self.owners[owner].frozen = false;
            self.carry_out(owner);
            self.work_off(owner);
        }
    }

    /// Checks the invariants that must hold after every step.
    pub(crate) fn check(&mut self) {
        for up in 0..UPSTREAMS {
            let key = upstream(up as u32);
            let Some((owner, until)) = self.ups[up].holder else {
                continue;
            };
            let status = self.owners[owner].limiter.status(key);
            let status = status.expect("upstreams stay");
            assert!(status.limit >= 1 && status.limit <= SLOTS[up]);
            assert!(!status.cold || status.limit <= COLD_SLOTS[up]);
            // The holder must keep to the cold slots as soon as it reports the upstream as cold.
            let up = &mut self.ups[up];
            if !up.taken_for_cold && status.cold {
                up.know_cold();
            }
            up.known_cold |= status.cold && until > self.now;
            up.taken_for_cold = status.cold;
        }
        for (number, owner) in self.owners.iter().enumerate() {
            if owner.frozen {
                continue;
            }
            for id in &owner.waiting {
                let work = owner.offered[id];
                assert!(work.deadline >= self.now, "{id} waits past its deadline");
                let up = &self.ups[work.upstream.slot()];
                assert!(up.in_service && !up.leaving, "{id} waits for what leaves");
                let holder = up.holder.filter(|&(_, until)| until > self.now);
                let held = holder.is_some_and(|(holder, _)| holder == number);
                assert!(held, "{id} waits without lease");
            }
        }
    }

    /// Ends all faults and applies a steady load. Checks that every sub-request was decided and
    /// that each upstream gets back to all its slots.
    pub(crate) fn settle(&mut self) {
        for owner in 0..OWNERS {
            self.thaw(owner);
        }
        for up in 0..UPSTREAMS {
            self.serve(up, true);
            self.mark_leaving(up, false);
            self.release(up);
        }
        self.pass(LEASE_MS + 1_000);
        for owner in &self.owners {
            assert_eq!(owner.waiting, BTreeSet::new(), "not decided");
        }
        for _ in 0..CALM_MS / 10 {
            for up in 0..UPSTREAMS {
                self.hold(up, 0);
                self.offer_next(0, up, 200);
            }
            self.pass(10);
            self.check();
            if (0..UPSTREAMS).all(|up| self.is_restored(up)) {
                return;
            }
        }
        panic!("an upstream did not get back to all its slots");
    }

    /// Returns whether an upstream is warm, and its holder treats it as warm and uses all slots.
    fn is_restored(&self, up: usize) -> bool {
        let status = self.owners[0].limiter.status(upstream(up as u32));
        let status = status.expect("upstreams stay");
        !self.ups[up].fake.is_cold() && !status.cold && status.limit == SLOTS[up]
    }
}

impl Up {
    /// Records that the holder now knows that the upstream is cold.
    fn know_cold(&mut self) {
        self.known_cold = true;
        self.turned_while_cold = false;
        self.first_answer = None;
    }
}

impl Owner {
    fn nth_offered(&self, nth: usize) -> Option<Work> {
        let nth = nth.checked_rem(self.offered.len())?;
        self.offered.values().nth(nth).copied()
    }
}
