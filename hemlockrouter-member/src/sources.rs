//! Choice of the source from which an instance learns the contents of the registry.
//!
//! A few instances read the registry and the others follow them as relays, since the registry
//! limits the calls of all instances together. The copy that an instance holds has an age: the
//! longest time for which the registry may have differed from it. A change must be in force
//! everywhere within a bound, so no instance's copy may become that old as long as the registry
//! answers any instance that can be reached. [`RegistryTiming`] divides the bound among the steps.
//!
//! An instance whose copy is stale asks all relays at once and follows one whose copy is fresh. If
//! there is none, it asks the registry itself. Once the registry answers, the instance offers
//! itself to its relays, because the registry may reject exactly the instances that are assigned to
//! read it. Each answer of a relay contains the path of instances that the copy came through, and
//! an instance does not follow a relay whose copy came through itself.
//!
//! During an outage of the registry for all instances, relays still answer, and the instances that
//! are not assigned to read it ask it ever less often.

mod call;
mod outage;
mod registry;
mod relays;
mod timing;

use std::net::SocketAddr;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::RegistryAccess;

pub use self::call::RegistryCall;
use self::outage::OutageEvidence;
use self::registry::RegistryCalls;
use self::relays::LastAnswer;
use self::relays::Relays;
pub use self::timing::RegistryTiming;

/// Largest number of instances that a copy of the registry may have come through. Each step adds
/// delay, and a longer path is found only where a shorter one exists.
const RELAY_PATH_LEN_MAX: usize = 4;

/// Delay before the followed relay is asked again, in milliseconds.
const FOLLOWED_RELAY_PAUSE_MS: u64 = 50;

/// Largest number of relays that one search asks: enough for the readers nearby and those of other
/// availability zones.
const SEARCH_RELAYS_MAX: usize = 8;

/// Delay after a search of all relays that found none, in milliseconds.
const SEARCH_PAUSE_MIN_MS: u64 = 200;

/// Number of failed searches in a row after which the delay between searches doubles each time.
const SEARCHES_BEFORE_BACKOFF: u32 = 3;

/// Longest delay between two searches, in milliseconds. During the delay one relay is asked to wait
/// for changes.
const SEARCH_PAUSE_MAX_MS: u64 = 3_200;

/// Longest time between two calls of [`RegistrySources::due_calls`], in milliseconds.
const POLL_INTERVAL_MAX_MS: u64 = 1_000;

/// Sources of the registry's contents, and the state of the calls to them.
#[derive(Clone, Debug)]
pub struct RegistrySources {
    name: String,
    timing: RegistryTiming,
    /// Number that differs between instances and spreads their calls over time.
    jitter_seed: u64,
    started_at: Time,
    known_as_of: Option<Time>,
    registry: RegistryCalls,
    /// Whether this instance reads the registry for itself because no relay is in touch with it.
    reads_as_fallback: bool,
    relays: Relays,
    /// Relays that this instance may ask, in the order of preference.
    candidates: Vec<SocketAddr>,
    followed: Option<SocketAddr>,
    next_follow_at: Time,
    search: Search,
    next_review_at: Time,
    /// Relays to ask at once, because they offered themselves.
    relays_to_ask: Vec<SocketAddr>,
    was_stale: bool,
    outage: OutageEvidence,
    wake_at: Time,
}

/// State of a search, which asks all relays at once.
#[derive(Clone, Copy, Debug, Default)]
struct Search {
    /// When the search in progress stops waiting for answers of relays.
    answers_due_at: Option<Time>,
    /// Number of searches in a row that found no relay.
    failures: u32,
    next_search_at: Time,
}

impl RegistrySources {
    /// Creates the state of an instance that has made no call yet. `jitter_seed` should differ
    /// between instances.
    pub fn new(name: &str, timing: RegistryTiming, jitter_seed: u64, now: Time) -> RegistrySources {
        RegistrySources {
            name: String::from(name),
            timing,
            jitter_seed,
            started_at: now,
            known_as_of: None,
            registry: RegistryCalls::default(),
            reads_as_fallback: false,
            relays: Relays::default(),
            candidates: Vec::new(),
            followed: None,
            next_follow_at: Time::ZERO,
            search: Search::default(),
            next_review_at: Time::ZERO,
            relays_to_ask: Vec::new(),
            was_stale: true,
            outage: OutageEvidence::default(),
            wake_at: Time::ZERO,
        }
    }

    /// Replaces the timing. Calls in flight keep their limits.
    pub fn set_timing(&mut self, timing: RegistryTiming) {
        self.timing = timing;
    }

    /// Returns whether the copy of the registry is so old that another source is needed.
    fn is_stale(&self, now: Time) -> bool {
        let stale_after_ms = self.timing.stale_after_ms();
        self.known_as_of
            .is_none_or(|at| now.ms_since(at) > stale_after_ms)
    }

    /// Returns the calls to the registry and to relays that are due now.
    pub fn due_calls(&mut self, now: Time, registry_access: &RegistryAccess) -> Vec<RegistryCall> {
        let mut calls = Vec::new();
        self.candidates = self.relays.candidates(&registry_access.relays);
        self.relays.forget_expired(now, &self.candidates);
        self.update_staleness(now);
        self.watch_registry(now, registry_access, &mut calls);
        self.ask_offered_relays(&mut calls);
        if self.needs_relay(now, registry_access) {
            self.end_search_if_over(now);
            self.search(now, &mut calls);
            self.follow(now, &mut calls);
        } else {
            self.followed = None;
            self.search.answers_due_at = None;
            if self.reads_as_fallback && self.registry.is_serving {
                self.ask_preferred_relays(now, &mut calls);
            }
        }
        self.wake_at = self.next_poll_at(now, registry_access);
        calls
    }

    /// Returns the relay that is followed, if there is one.
    pub fn followed_relay(&self) -> Option<SocketAddr> {
        self.followed
    }

    /// Returns when to call [`due_calls`](RegistrySources::due_calls) again if nothing happens
    /// before.
    pub fn wake_at(&self) -> Time {
        self.wake_at
    }

    /// Records that this instance holds the state that the registry had at `heard_at` or later.
    pub fn record_known_as_of(&mut self, heard_at: Time) {
        self.known_as_of = self.known_as_of.max(Some(heard_at));
    }

    /// Records a turn of the event loop, before its event is handled. A long pause between two turns
    /// shows that the process stood still.
    pub fn record_turn(&mut self, now: Time) {
        self.outage.record_turn(now);
    }

    /// Records recent contact with the registry, after [`was_registry_away`] was asked.
    ///
    /// [`was_registry_away`]: RegistrySources::was_registry_away
    pub fn record_contact(&mut self) {
        self.outage.record_contact();
    }

    /// Returns whether the registry was away since the last contact, as far as this instance and the
    /// others that it asked can tell; `false` if it may have been this instance that was cut off or
    /// stood still.
    pub fn was_registry_away(&self) -> bool {
        self.outage.was_registry_away(!self.candidates.is_empty())
    }

    /// Records an answer of the registry. The next call is due after `pace_ms` milliseconds.
    /// Returns the calls that offer this instance to other relays, if it has just begun to read for
    /// itself.
    pub fn record_registry_answer(&mut self, now: Time, pace_ms: u64) -> Vec<RegistryCall> {
        let was_serving = self.registry.is_serving;
        self.registry.record_answer(now, pace_ms);
        if self.reads_as_fallback && !was_serving {
            self.next_review_at = now + self.review_pause_ms();
            self.offer_calls()
        } else {
            Vec::new()
        }
    }

    /// Records that the registry did not answer.
    pub fn record_registry_failure(&mut self, now: Time, registry_access: &RegistryAccess) {
        self.outage.record_registry_failure();
        self.registry.record_failure(
            now,
            registry_access.reads_registry,
            &self.timing,
            self.jitter_seed,
        );
    }

    /// Returns whether a copy that came through the instances of `path` is usable: it did not come
    /// through this instance, and the path is short. Without this limit, paths would grow forever
    /// while no instance reaches the registry.
    pub fn is_usable_path(&self, path: &[String]) -> bool {
        path.len() <= RELAY_PATH_LEN_MAX && !path.contains(&self.name)
    }

    /// Records an answer of a relay whose copy is `age_ms` milliseconds old and came through the
    /// instances of `path`. Returns whether the relay can be followed.
    pub fn record_relay_answer(
        &mut self,
        now: Time,
        relay: SocketAddr,
        age_ms: u64,
        path: &[String],
    ) -> bool {
        let is_in_touch = age_ms <= self.timing.stale_after_ms();
        if !is_in_touch {
            self.outage
                .record_relay_contact(now.minus_ms(age_ms), self.known_as_of);
        }
        let is_usable = is_in_touch && self.is_usable_path(path);
        let last_answer = match is_usable {
            true => LastAnswer::Usable,
            false => LastAnswer::Unusable,
        };
        self.relays.record_answer(relay, last_answer);
        if is_usable && self.is_preferred(relay) {
            self.follow_relay(now, relay);
        }
        if self.followed == Some(relay) {
            self.next_follow_at = now + FOLLOWED_RELAY_PAUSE_MS;
        }
        is_usable
    }

    /// Records that a relay did not answer.
    pub fn record_relay_failure(&mut self, now: Time, relay: SocketAddr) {
        self.outage.record_relay_failure();
        self.leave_relay(now, relay);
    }

    /// Records that a relay has a copy that is older than that of this instance, from its last
    /// contact with the registry `age_ms` milliseconds ago.
    pub fn record_outdated_relay(&mut self, now: Time, relay: SocketAddr, age_ms: u64) {
        self.outage
            .record_relay_contact(now.minus_ms(age_ms), self.known_as_of);
        self.leave_relay(now, relay);
    }

    fn leave_relay(&mut self, now: Time, relay: SocketAddr) {
        self.relays.record_failure(now, relay);
        if self.followed == Some(relay) {
            self.followed = None;
            self.search.next_search_at = now;
        }
    }

    /// Records that another instance offered itself as a relay, because it is in touch with the
    /// registry.
    pub fn handle_offer(&mut self, now: Time, relay: SocketAddr) {
        self.relays
            .record_offer(relay, now + self.timing.offer_lifetime_ms());
        if self.is_stale(now) {
            self.relays_to_ask.push(relay);
        }
    }

    /// Schedules an immediate retry when the copy becomes stale, since calls that failed before may
    /// succeed by now.
    fn update_staleness(&mut self, now: Time) {
        let is_stale = self.is_stale(now);
        if is_stale && !self.was_stale {
            self.registry.retry_by(now + self.call_delay_ms());
            // All instances hold the same state and become stale together when the registry stops
            // answering.
            self.search = Search {
                next_search_at: now + self.call_delay_ms(),
                ..Search::default()
            };
        }
        self.was_stale = is_stale;
    }

    /// Returns whether this instance reads the registry itself.
    fn reads_registry(&self, registry_access: &RegistryAccess) -> bool {
        registry_access.reads_registry || self.reads_as_fallback
    }

    fn watch_registry(
        &mut self,
        now: Time,
        registry_access: &RegistryAccess,
        calls: &mut Vec<RegistryCall>,
    ) {
        if self.reads_registry(registry_access) {
            calls.extend(self.registry.next_watch(now, &self.timing));
        } else {
            self.registry.is_serving = false;
        }
    }

    fn needs_relay(&self, now: Time, registry_access: &RegistryAccess) -> bool {
        if !self.reads_registry(registry_access) || self.registry.has_last_call_failed {
            return true;
        }
        let has_time_left = self.registry.call_duration_ms(now) < self.timing.search_timeout_ms();
        let is_first_call_pending =
            !self.registry.is_serving && !self.reads_as_fallback && has_time_left;
        self.is_stale(now) && !is_first_call_pending
    }

    fn ask_offered_relays(&mut self, calls: &mut Vec<RegistryCall>) {
        for relay in std::mem::take(&mut self.relays_to_ask) {
            self.ask_now(relay, calls);
        }
    }

    /// Asks a relay for its current copy, unless a call to it is in flight.
    fn ask_now(&mut self, relay: SocketAddr, calls: &mut Vec<RegistryCall>) {
        if self.relays.get(relay).is_call_in_flight {
            return;
        }
        self.relays.record_call(relay);
        calls.push(RegistryCall::AskRelay {
            relay,
            wait_ms: 0,
            timeout_ms: self.timing.search_timeout_ms(),
        });
    }

    /// Returns whether the followed relay gave a usable answer last.
    fn follows_usable_relay(&self) -> bool {
        let last_answer = self
            .followed
            .map(|relay| self.relays.get(relay).last_answer);
        last_answer == Some(LastAnswer::Usable)
    }

    fn search(&mut self, now: Time, calls: &mut Vec<RegistryCall>) {
        if self.search.answers_due_at.is_some() {
            return;
        }
        if self.follows_usable_relay() && !self.is_stale(now) {
            return self.ask_preferred_relays(now, calls);
        }
        if now < self.search.next_search_at {
            return;
        }
        self.search.answers_due_at = Some(now + self.timing.search_timeout_ms());
        // Every second search asks the relays in reverse order, so that none is left out for long.
        let mut searched_relays = self.candidates.clone();
        if self.search.failures % 2 == 1 {
            searched_relays.reverse();
        }
        for relay in searched_relays.into_iter().take(SEARCH_RELAYS_MAX) {
            self.ask_now(relay, calls);
        }
        self.end_search_if_over(now);
    }

    /// Ends a search that found no relay, once all relays have answered or the time for that is
    /// over.
    fn end_search_if_over(&mut self, now: Time) {
        let Some(answers_due_at) = self.search.answers_due_at else {
            return;
        };
        let mut searched_relays = self.candidates.iter().map(|relay| self.relays.get(*relay));
        if now < answers_due_at && searched_relays.any(|relay| relay.is_call_in_flight) {
            return;
        }
        self.search.answers_due_at = None;
        let doublings = self.search.failures.saturating_sub(SEARCHES_BEFORE_BACKOFF);
        let pause_ms = backoff_ms(SEARCH_PAUSE_MIN_MS, doublings, SEARCH_PAUSE_MAX_MS);
        self.search.failures += 1;
        self.search.next_search_at = now + pause_ms;
        let is_starting = now.ms_since(self.started_at) < self.timing.stale_after_ms();
        if self.is_stale(now) && !self.reads_as_fallback && !is_starting {
            self.reads_as_fallback = true;
            self.registry.schedule_call_by(now);
        }
        if self.followed.is_none() {
            let has_unusable_answer = |relay: &&SocketAddr| {
                let relay = self.relays.get(**relay);
                relay.last_answer == LastAnswer::Unusable && !relay.is_call_in_flight
            };
            self.followed = self.candidates.iter().find(has_unusable_answer).copied();
            self.next_follow_at = now;
        }
    }

    /// Asks the relays that are preferred to the current source, once in each review interval.
    fn ask_preferred_relays(&mut self, now: Time, calls: &mut Vec<RegistryCall>) {
        if now < self.next_review_at {
            return;
        }
        self.next_review_at = now + self.review_pause_ms();
        let preferred_relays = self.candidates.iter().copied();
        let preferred_relays = preferred_relays.take_while(|relay| Some(*relay) != self.followed);
        let preferred_relays =
            preferred_relays.filter(|relay| !self.relays.is_cooling_down(now, *relay));
        for relay in preferred_relays.collect::<Vec<SocketAddr>>() {
            self.ask_now(relay, calls);
        }
        if self.reads_as_fallback {
            calls.extend(self.offer_calls());
        }
    }

    fn follow(&mut self, now: Time, calls: &mut Vec<RegistryCall>) {
        let Some(relay) = self.followed else {
            return;
        };
        if now < self.next_follow_at || self.relays.get(relay).is_call_in_flight {
            return;
        }
        self.relays.record_call(relay);
        let wait_ms = self.timing.relay_wait_ms();
        calls.push(RegistryCall::AskRelay {
            relay,
            wait_ms,
            timeout_ms: wait_ms + self.timing.search_timeout_ms(),
        });
    }

    /// Returns whether a usable relay is preferred to the current source.
    fn is_preferred(&self, relay: SocketAddr) -> bool {
        if !self.follows_usable_relay() {
            return true;
        }
        let position = |wanted: Option<SocketAddr>| {
            let mut candidates = self.candidates.iter();
            candidates.position(|relay| Some(*relay) == wanted)
        };
        match (position(Some(relay)), position(self.followed)) {
            (Some(position), Some(followed)) => position < followed,
            (position, None) => position.is_some(),
            (None, Some(_)) => false,
        }
    }

    fn follow_relay(&mut self, now: Time, relay: SocketAddr) {
        self.followed = Some(relay);
        self.next_follow_at = now;
        self.search = Search {
            next_search_at: now,
            ..Search::default()
        };
        self.next_review_at = now + self.review_pause_ms();
        self.reads_as_fallback = false;
    }

    fn offer_calls(&self) -> Vec<RegistryCall> {
        let candidates = self.candidates.iter();
        candidates
            .map(|relay| RegistryCall::Offer { relay: *relay })
            .collect()
    }

    fn call_delay_ms(&self) -> u64 {
        self.jitter_seed % self.timing.call_spread_ms().max(1)
    }

    /// Returns the delay until the next review, in milliseconds. The delay differs between
    /// instances, so that two instances that follow each other's readers do not change at the same
    /// moment.
    fn review_pause_ms(&self) -> u64 {
        let review_interval_ms = self.timing.review_interval_ms();
        review_interval_ms + self.jitter_seed % review_interval_ms.max(1)
    }

    fn next_poll_at(&self, now: Time, registry_access: &RegistryAccess) -> Time {
        let mut poll_times = vec![now + POLL_INTERVAL_MAX_MS];
        if self.reads_registry(registry_access) && self.registry.call_started_at.is_none() {
            poll_times.push(self.registry.next_call_at);
        }
        if let Some(started_at) = self
            .registry
            .call_started_at
            .filter(|_| !self.registry.is_serving)
        {
            poll_times.push(started_at + self.timing.search_timeout_ms());
        }
        if let Some(heard_at) = self.known_as_of.filter(|_| !self.is_stale(now)) {
            poll_times.push(heard_at + self.timing.stale_after_ms() + 1);
        }
        if self.needs_relay(now, registry_access) {
            poll_times.push(
                self.search
                    .answers_due_at
                    .unwrap_or(self.search.next_search_at),
            );
            poll_times.push(self.next_follow_at);
        }
        let future_times = poll_times.into_iter().filter(|at| *at > now);
        future_times.min().unwrap_or(now + POLL_INTERVAL_MAX_MS)
    }
}

/// Returns `min_ms` doubled `doublings` times, but at most `max_ms`.
fn backoff_ms(min_ms: u64, doublings: u32, max_ms: u64) -> u64 {
    min_ms.saturating_mul(1 << doublings.min(16)).min(max_ms)
}
