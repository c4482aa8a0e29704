//! Feeds random events to a dispatcher, and checks its commands against an oracle that knows only
//! the guarantees of the interface.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockrouter_route::direct::BatchOutcome;
use hemlockrouter_route::direct::BatchReport;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::CallOutcome;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Notice;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_route::direct::RequestResult;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::BatchPart;
use proptest::prelude::*;

use crate::fixture::failure;
use crate::fixture::instance;
use crate::fixture::rejected;
use crate::fixture::shards;
use crate::fixture::success;
use crate::fixture::upstream;
use crate::fixture::Fixture;
use crate::fixture::BOOK_PATH;
use crate::fixture::LOOK_UP_PATH;
use crate::fixture::SEARCH_PATH;
use crate::fixture::SHARD_COUNT;

/// The deadline that the fixture gives each request, in milliseconds after its start.
const DEADLINE_MS: u64 = 800;

/// How long an upstream may be used after its shutdown is known, in milliseconds.
const LINGER_MS: u64 = 1_200;

#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    /// Ends an open call; the number selects the outcome.
    End(prop::sample::Index, u8),
    Wait(u64),
    /// Has the upstream of an open call announce its shutdown (if true) and ask for a pause of so
    /// many milliseconds.
    Notice(prop::sample::Index, bool, u64),
    DisconnectCaller(prop::sample::Index),
    /// Takes the first zone (if the first flag is set) or the second one out of service (if the
    /// second flag is set) or back into service.
    Evacuate(bool, bool),
    Unregister(bool),
    Register(bool),
    /// Reports answers of an open batch; the bit mask selects the parts.
    Report(prop::sample::Index, u8),
    /// Ends an open batch; the number selects the outcome.
    EndBatch(prop::sample::Index, u8),
}

fn step_strategy() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3_usize).prop_map(Step::Start),
        10 => (any::<prop::sample::Index>(), 0..5_u8).prop_map(|(index, outcome)| Step::End(index, outcome)),
        4 => (0..200_u64).prop_map(Step::Wait),
        1 => (any::<prop::sample::Index>(), any::<bool>(), 0..1_000_u64)
            .prop_map(|(index, leaving, rest_ms)| Step::Notice(index, leaving, rest_ms)),
        1 => any::<prop::sample::Index>().prop_map(Step::DisconnectCaller),
        1 => any::<(bool, bool)>().prop_map(|(zone, out_of_service)| Step::Evacuate(zone, out_of_service)),
        1 => any::<bool>().prop_map(Step::Unregister),
        1 => any::<bool>().prop_map(Step::Register),
        4 => any::<(prop::sample::Index, u8)>().prop_map(|(index, mask)| Step::Report(index, mask)),
        3 => (any::<prop::sample::Index>(), 0..3_u8).prop_map(|(index, outcome)| Step::EndBatch(index, outcome)),
    ]
}

/// The state of a request as known to the oracle.
#[derive(Debug)]
struct RequestState {
    path: &'static str,
    started_ms: u64,
    /// The upstreams that received the request, by service.
    sent: BTreeMap<String, Vec<String>>,
    /// Whether any call had an outcome other than a rejection.
    may_have_run: bool,
    has_ended: bool,
    caller_disconnected: bool,
    /// Whether the request was dropped when its caller disconnected, so that it has no result.
    is_dropped: bool,
}

/// A batch that is delegated to another instance.
#[derive(Debug)]
struct OpenBatch {
    /// The request; `None` if the batch only probes whether the instance responds.
    request: Option<RequestId>,
    parts: Vec<BatchPart>,
    has_reported: bool,
    /// Indexes of parts that the other instance has reported as sent to no upstream.
    unsent: BTreeSet<usize>,
}

impl OpenBatch {
    /// Returns whether the other instance may have sent any part to an upstream.
    fn may_have_sent(&self) -> bool {
        self.unsent.len() < self.parts.len()
    }
}

#[derive(Default)]
struct Oracle {
    requests: BTreeMap<RequestId, RequestState>,
    open_calls: BTreeMap<CallId, (RequestId, String)>,
    open_batches: BTreeMap<CallId, OpenBatch>,
    evacuated_zones: Vec<&'static str>,
    /// When each upstream first announced its shutdown.
    leaving: BTreeMap<String, Time>,
    /// When the pause that each upstream asked for ends.
    paused_until: BTreeMap<String, Time>,
}

fn zone(is_first_zone: bool) -> &'static str {
    if is_first_zone {
        "north-a"
    } else {
        "south-b"
    }
}

impl Oracle {
    fn check_commands(&mut self, fixture: &mut Fixture) {
        let now_ms = fixture.now.as_ms();
        for command in std::mem::take(&mut fixture.commands) {
            match command {
                Command::Send {
                    request,
                    call,
                    upstream,
                    ..
                } => {
                    let upstreams = fixture.dispatcher.upstreams();
                    let entry = &upstreams
                        .get(upstream)
                        .expect("the upstream is registered")
                        .entry;
                    assert!(!self.evacuated_zones.contains(&entry.zone.as_str()));
                    let paused_until = self.paused_until.get(&entry.id);
                    assert!(
                        paused_until.is_none_or(|pause_end| *pause_end <= fixture.now),
                        "sent to a paused upstream"
                    );
                    let leaving = self.leaving.get(&entry.id);
                    let left_ms =
                        leaving.map_or(0, |announced_at| fixture.now.ms_since(*announced_at));
                    assert!(
                        left_ms <= LINGER_MS,
                        "sent to an upstream {left_ms} ms after its shutdown notice"
                    );
                    let request_state = self
                        .requests
                        .get_mut(&request)
                        .expect("the request was started");
                    assert!(!request_state.has_ended, "request sent after its end");
                    assert!(
                        !request_state.caller_disconnected,
                        "request sent after its caller disconnected"
                    );
                    let sent = request_state.sent.entry(entry.service.clone()).or_default();
                    if !sent.contains(&entry.id) {
                        sent.push(entry.id.clone());
                    }
                    assert!(sent.len() <= 2, "more upstreams than the route allows");
                    if request_state.path == BOOK_PATH {
                        assert!(
                            !request_state.may_have_run,
                            "non-idempotent request sent again although it may have run"
                        );
                        assert!(!self.open_calls.values().any(|(other, _)| *other == request));
                    }
                    self.open_calls.insert(call, (request, entry.id.clone()));
                }
                Command::Delegate {
                    request,
                    call,
                    batch,
                    ..
                } => self.check_delegation(request, call, batch.parts),
                Command::Report { .. } | Command::EndBatch { .. } => {
                    panic!("this instance collects no batches for other instances")
                }
                Command::Cancel { call } | Command::Release { call } => {
                    self.drop_call(call);
                }
                Command::Finish {
                    request,
                    request_result,
                    ..
                } => self.finish(now_ms, request, &request_result),
            }
        }
    }

    fn check_delegation(
        &mut self,
        request: Option<RequestId>,
        call: CallId,
        parts: Vec<BatchPart>,
    ) {
        if let Some(request) = request {
            let request_state = self
                .requests
                .get_mut(&request)
                .expect("the request was started");
            assert!(!request_state.has_ended, "request delegated after its end");
            for part in &parts {
                let sent = request_state.sent.entry(part.service.clone()).or_default();
                assert!(sent.is_empty(), "part delegated after it was sent");
                assert!(
                    part.upstreams.len() <= 2,
                    "more upstreams than the route allows"
                );
                sent.extend(part.upstreams.clone());
                for id in &part.upstreams {
                    let is_evacuated = self.evacuated_zones.iter().any(|zone| id.contains(zone));
                    assert!(!is_evacuated, "{id} is out of service");
                }
            }
        }
        let batch = OpenBatch {
            request,
            parts,
            has_reported: false,
            unsent: BTreeSet::new(),
        };
        self.open_batches.insert(call, batch);
    }

    /// Records that the dispatcher no longer waits for a call to an upstream or to another
    /// instance.
    fn drop_call(&mut self, call: CallId) {
        if let Some(batch) = self.open_batches.remove(&call) {
            assert!(batch.request.is_some(), "a probe was cancelled");
            if batch.may_have_sent() {
                self.mark_may_have_run(batch.request);
            }
            return;
        }
        let (request, _) = self.open_calls.remove(&call).expect("the call is open");
        self.mark_may_have_run(Some(request));
    }

    /// Selects one of the open batches by a random index.
    fn select_batch(&self, index: prop::sample::Index) -> Option<CallId> {
        let calls: Vec<CallId> = self.open_batches.keys().copied().collect();
        (!calls.is_empty()).then(|| *index.get(&calls))
    }

    fn mark_may_have_run(&mut self, request: Option<RequestId>) {
        if let Some(request) = request {
            let request_state = self
                .requests
                .get_mut(&request)
                .expect("the request was started");
            request_state.may_have_run = true;
        }
    }

    fn report(&mut self, fixture: &mut Fixture, call: CallId, mask: u8) {
        let batch = self.open_batches.get_mut(&call).expect("the batch is open");
        let had_reported = std::mem::replace(&mut batch.has_reported, true);
        let parts = batch.parts.iter().enumerate();
        let selected = parts.filter(|(index, _)| mask >> index & 1 == 1);
        let answers = selected.map(|(index, part)| {
            let stamp = format!("{}/{call}", part.service);
            match success(&stamp, &[2; 16]) {
                CallOutcome::Answered(reply) => (index, reply),
                other => panic!("no answer: {other:?}"),
            }
        });
        // If the highest bit is set and the batch has had no report yet, all parts without an
        // answer are reported as unsent.
        let reports_unsent = mask >= 128 && !had_reported;
        let unsent =
            (0..batch.parts.len()).filter(|index| reports_unsent && mask >> index & 1 == 0);
        let collected = BatchReport {
            answers: answers.collect(),
            unsent: unsent.collect(),
            notices: Vec::new(),
        };
        batch.unsent.extend(&collected.unsent);
        let request = batch.request;
        if !collected.answers.is_empty() || batch.may_have_sent() {
            self.mark_may_have_run(request);
        }
        let (now, commands) = (fixture.now, &mut fixture.commands);
        fixture
            .dispatcher
            .handle_batch_report(now, call, collected, commands);
    }

    fn end_batch(&mut self, fixture: &mut Fixture, call: CallId, outcome: u8) {
        let batch = self.open_batches.remove(&call).expect("the batch is open");
        let end = match outcome {
            0 if !batch.has_reported => BatchOutcome::NotAccepted,
            1 => BatchOutcome::Lost,
            _ => BatchOutcome::Done,
        };
        if end != BatchOutcome::NotAccepted && batch.may_have_sent() {
            self.mark_may_have_run(batch.request);
        }
        let (now, commands) = (fixture.now, &mut fixture.commands);
        fixture.dispatcher.batch_ended(now, call, end, commands);
    }

    fn finish(&mut self, now_ms: u64, request: RequestId, request_result: &RequestResult) {
        let open_calls = self
            .open_calls
            .values()
            .filter(|(other, _)| *other == request);
        assert_eq!(open_calls.count(), 0, "a call is left open");
        let mut open_batches = self.open_batches.values();
        let has_open_batch = open_batches.any(|batch| batch.request == Some(request));
        assert!(!has_open_batch, "a batch is left open");
        let request_state = self
            .requests
            .get_mut(&request)
            .expect("the request was started");
        assert!(!request_state.has_ended, "request ended twice");
        request_state.has_ended = true;
        assert!(
            now_ms <= request_state.started_ms + DEADLINE_MS + 200,
            "request ended after its deadline"
        );
        match request_result {
            RequestResult::NotRun { .. } => {
                assert!(
                    !request_state.may_have_run,
                    "request refused although it may have run"
                )
            }
            RequestResult::Merged {
                signatures: stamps,
                missing,
                ..
            } => {
                assert_eq!(stamps.len() + missing, SHARD_COUNT);
                assert!(stamps.len() >= 3, "answer below the minimum coverage");
                let services = stamps.iter().map(|stamp| stamp.split(['@', '/']).next());
                let services: BTreeSet<_> = services.collect();
                assert_eq!(
                    services.len(),
                    stamps.len(),
                    "answer contains a service twice: {stamps:?}"
                );
            }
            RequestResult::Forwarded(_)
            | RequestResult::Failed { .. }
            | RequestResult::TimedOut => {}
        }
    }

    fn end_call(&mut self, fixture: &mut Fixture, index: prop::sample::Index, outcome: u8) {
        if self.open_calls.is_empty() {
            return;
        }
        let (&call, _) = index
            .get(&self.open_calls.iter().collect::<Vec<_>>())
            .to_owned();
        let (request, id) = self.open_calls.remove(&call).expect("the call is open");
        let end = match outcome {
            0 => rejected(),
            1 => failure(),
            2 => CallOutcome::Lost,
            3 => CallOutcome::NotSent,
            _ => success(&format!("{id}/{call}"), &[1; 16]),
        };
        let request_state = self
            .requests
            .get_mut(&request)
            .expect("the request was started");
        request_state.may_have_run |= !matches!(outcome, 0 | 3);
        fixture.end_call(call, end);
    }

    fn notice(
        &mut self,
        fixture: &mut Fixture,
        index: prop::sample::Index,
        leaving: bool,
        rest_ms: u64,
    ) {
        if self.open_calls.is_empty() {
            return;
        }
        let (&call, (_, id)) = index
            .get(&self.open_calls.iter().collect::<Vec<_>>())
            .to_owned();
        let upstreams = fixture.dispatcher.upstreams();
        let Some(key) = upstreams.key_by_id(id) else {
            return;
        };
        let now = fixture.now;
        if leaving {
            self.leaving.entry(id.clone()).or_insert(now);
        }
        let paused_until = self.paused_until.entry(id.clone()).or_insert(now);
        *paused_until = (*paused_until).max(now + rest_ms);
        let notice = Notice {
            leaving,
            rest_ms,
            malformed_header: None,
        };
        let commands = &mut fixture.commands;
        fixture
            .dispatcher
            .handle_notice(now, call, key, &notice, commands);
    }

    fn apply_step(&mut self, fixture: &mut Fixture, step: Step) {
        let now = fixture.now;
        match step {
            Step::Start(path_index) => {
                let path = [SEARCH_PATH, BOOK_PATH, LOOK_UP_PATH][path_index];
                let started_ms = now.as_ms();
                let id = RequestId(self.requests.len() as u64 + 1);
                self.requests.insert(
                    id,
                    RequestState {
                        path,
                        started_ms,
                        sent: BTreeMap::new(),
                        may_have_run: false,
                        has_ended: false,
                        caller_disconnected: false,
                        is_dropped: false,
                    },
                );
                assert_eq!(fixture.start(path), id);
            }
            Step::End(index, outcome) => self.end_call(fixture, index, outcome),
            Step::Wait(ms) => fixture.advance(ms),
            Step::Notice(index, leaving, rest_ms) => self.notice(fixture, index, leaving, rest_ms),
            Step::DisconnectCaller(index) => {
                if self.requests.is_empty() {
                    return;
                }
                let id = RequestId(index.index(self.requests.len()) as u64 + 1);
                let is_dropped_now =
                    fixture
                        .dispatcher
                        .handle_caller_disconnect(now, id, &mut fixture.commands);
                let request_state = self.requests.get_mut(&id).expect("the request was started");
                request_state.caller_disconnected = true;
                request_state.is_dropped |= is_dropped_now;
            }
            Step::Evacuate(is_first_zone, out_of_service) => {
                self.evacuated_zones
                    .retain(|other| *other != zone(is_first_zone));
                if out_of_service {
                    self.evacuated_zones.push(zone(is_first_zone));
                }
                fixture
                    .dispatcher
                    .upstreams_mut()
                    .evacuate(zone(is_first_zone), out_of_service);
            }
            Step::Unregister(is_first_zone) => {
                let id = upstream("ledger", zone(is_first_zone)).id;
                fixture.dispatcher.upstreams_mut().unregister(now, &id);
            }
            Step::Report(index, mask) => {
                if let Some(call) = self.select_batch(index) {
                    self.report(fixture, call, mask);
                }
            }
            Step::EndBatch(index, outcome) => {
                if let Some(call) = self.select_batch(index) {
                    self.end_batch(fixture, call, outcome);
                }
            }
            Step::Register(is_first_zone) => {
                let entry = upstream("ledger", zone(is_first_zone));
                fixture.dispatcher.upstreams_mut().register(now, entry);
            }
        }
    }
}

fn run_steps(mut fixture: Fixture, steps: Vec<Step>) {
    let mut oracle = Oracle::default();
    for step in steps {
        oracle.apply_step(&mut fixture, step);
        oracle.check_commands(&mut fixture);
    }
    // All requests that are still open end by their deadlines.
    for _ in 0..10 {
        fixture.advance(100);
        oracle.check_commands(&mut fixture);
    }
    for request_state in oracle.requests.values() {
        assert!(
            request_state.has_ended || request_state.is_dropped,
            "request never ended: {request_state:?}"
        );
    }
    assert_eq!(fixture.dispatcher.pending_requests(), 0);
}

/// Creates a dispatcher that divides searches among itself and two other instances, with three
/// upstreams for each shard where the route allows two.
fn fixture_dividing_searches() -> Fixture {
    let mut fixture = Fixture::dividing_searches(2, 2);
    let upstreams = fixture.dispatcher.upstreams_mut();
    for service in shards() {
        let mut third_upstream = upstream(&service, "south-b");
        third_upstream.id = format!("{service}@third");
        upstreams.register(Time::ZERO, third_upstream);
    }
    for port in [7, 8] {
        let mut entry = instance(&format!("other-{port}"), "north-a");
        entry.relay = Some(([127, 0, 0, 1], port).into());
        upstreams.instances_mut().add_instance(Time::ZERO, entry);
    }
    fixture
}

proptest! {
    #[test]
    fn guarantees_hold_for_random_events(steps in prop::collection::vec(step_strategy(), 1..250)) {
        run_steps(Fixture::new(), steps);
    }

    #[test]
    fn guarantees_hold_when_another_region_collects(steps in prop::collection::vec(step_strategy(), 1..250)) {
        run_steps(Fixture::in_region_without_upstreams(), steps);
    }

    #[test]
    fn guarantees_hold_when_searches_are_delegated(steps in prop::collection::vec(step_strategy(), 1..250)) {
        run_steps(fixture_dividing_searches(), steps);
    }
}
