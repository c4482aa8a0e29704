//! Random events against an oracle that knows the promises and nothing else.

use std::collections::BTreeMap;

use hemlockrouter_route::direct::CallEnd;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Ending;
use hemlockrouter_route::direct::RequestId;
use proptest::prelude::*;

use crate::fixture::failure;
use crate::fixture::rejected;
use crate::fixture::success;
use crate::fixture::upstream;
use crate::fixture::Fixture;
use crate::fixture::BOOK;
use crate::fixture::LOOK_UP;
use crate::fixture::SEARCH;
use crate::fixture::SHARDS;

/// How long a request may take at most, by the deadline that the fixture gives it.
const DEADLINE_MS: u64 = 800;

#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    /// Ends one of the open calls in one of the ways.
    End(prop::sample::Index, u8),
    Wait(u64),
    Leave(prop::sample::Index),
    Evacuate(bool, bool),
    Unregister(bool),
    Register(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3_usize).prop_map(Step::Start),
        10 => (any::<prop::sample::Index>(), 0..5_u8).prop_map(|(at, how)| Step::End(at, how)),
        4 => (0..200_u64).prop_map(Step::Wait),
        1 => any::<prop::sample::Index>().prop_map(Step::Leave),
        1 => any::<(bool, bool)>().prop_map(|(zone, out)| Step::Evacuate(zone, out)),
        1 => any::<bool>().prop_map(Step::Unregister),
        1 => any::<bool>().prop_map(Step::Register),
    ]
}

/// What the oracle knows of a request.
#[derive(Debug)]
struct Known {
    path: &'static str,
    started_ms: u64,
    /// Upstreams by service that got it.
    sent: BTreeMap<String, Vec<String>>,
    /// Whether anything but a rejection may have come of a call.
    may_have_run: bool,
    has_ended: bool,
    has_left: bool,
}

#[derive(Default)]
struct Oracle {
    requests: BTreeMap<RequestId, Known>,
    open: BTreeMap<CallId, (RequestId, String)>,
    out_of_service: Vec<&'static str>,
}

fn zone(first: bool) -> &'static str {
    if first {
        "north-a"
    } else {
        "south-b"
    }
}

impl Oracle {
    fn take(&mut self, fixture: &mut Fixture) {
        let now_ms = fixture.now.as_ms();
        for command in std::mem::take(&mut fixture.out) {
            match command {
                Command::Send {
                    request,
                    call,
                    upstream,
                    ..
                } => {
                    let upstreams = fixture.dispatcher.upstreams();
                    let entry = &upstreams.get(upstream).expect("it is registered").entry;
                    assert!(!self.out_of_service.contains(&entry.zone.as_str()));
                    let known = self.requests.get_mut(&request).expect("it was started");
                    assert!(!known.has_ended, "sent after its end");
                    let sent = known.sent.entry(entry.service.clone()).or_default();
                    if !sent.contains(&entry.id) {
                        sent.push(entry.id.clone());
                    }
                    assert!(sent.len() <= 2, "more upstreams than the route allows");
                    if known.path == BOOK {
                        assert!(!known.may_have_run, "sent again though it may have run");
                        assert!(!self.open.values().any(|(other, _)| *other == request));
                    }
                    self.open.insert(call, (request, entry.id.clone()));
                }
                Command::Cancel { call } | Command::Release { call } => {
                    let (request, _) = self.open.remove(&call).expect("it was open");
                    let known = self.requests.get_mut(&request).expect("it was started");
                    known.may_have_run = true;
                }
                Command::Finish {
                    request, ending, ..
                } => self.finish(now_ms, request, &ending),
            }
        }
    }

    fn finish(&mut self, now_ms: u64, request: RequestId, ending: &Ending) {
        let open = self.open.values().filter(|(other, _)| *other == request);
        assert_eq!(open.count(), 0, "a call is left open");
        let known = self.requests.get_mut(&request).expect("it was started");
        assert!(!known.has_ended, "ended twice");
        known.has_ended = true;
        assert!(now_ms <= known.started_ms + DEADLINE_MS + 200, "ended late");
        match ending {
            Ending::NotRun { .. } => assert!(!known.may_have_run, "refused, and may have run"),
            Ending::Merged {
                stamps, missing, ..
            } => {
                assert_eq!(stamps.len() + missing, SHARDS);
                assert!(stamps.len() >= 3, "below the least coverage");
            }
            Ending::Passed(_) | Ending::Failed { .. } | Ending::TimedOut => {}
        }
    }

    fn end(&mut self, fixture: &mut Fixture, at: prop::sample::Index, how: u8) {
        if self.open.is_empty() {
            return;
        }
        let (&call, _) = at.get(&self.open.iter().collect::<Vec<_>>()).to_owned();
        let (request, id) = self.open.remove(&call).expect("it is open");
        let end = match how {
            0 => rejected(),
            1 => failure(),
            2 => CallEnd::Lost,
            3 => CallEnd::NotSent,
            _ => success(&format!("{id}/{call}"), &[1; 16]),
        };
        let known = self.requests.get_mut(&request).expect("it was started");
        known.may_have_run |= !matches!(how, 0 | 3);
        fixture.end(call, end);
    }

    fn step(&mut self, fixture: &mut Fixture, step: Step) {
        let now = fixture.now;
        match step {
            Step::Start(which) => {
                let path = [SEARCH, BOOK, LOOK_UP][which];
                let started_ms = now.as_ms();
                let id = RequestId(self.requests.len() as u64 + 1);
                self.requests.insert(
                    id,
                    Known {
                        path,
                        started_ms,
                        sent: BTreeMap::new(),
                        may_have_run: false,
                        has_ended: false,
                        has_left: false,
                    },
                );
                assert_eq!(fixture.start(path), id);
            }
            Step::End(at, how) => self.end(fixture, at, how),
            Step::Wait(ms) => fixture.wait(ms),
            Step::Leave(at) => {
                if self.requests.is_empty() {
                    return;
                }
                let id = RequestId(at.index(self.requests.len()) as u64 + 1);
                let over = fixture.dispatcher.abandoned(now, id, &mut fixture.out);
                let known = self.requests.get_mut(&id).expect("it was started");
                known.has_left |= over;
            }
            Step::Evacuate(first, out) => {
                self.out_of_service.retain(|other| *other != zone(first));
                if out {
                    self.out_of_service.push(zone(first));
                }
                fixture
                    .dispatcher
                    .upstreams_mut()
                    .evacuate(zone(first), out);
            }
            Step::Unregister(first) => {
                let id = upstream("ledger", zone(first)).id;
                fixture.dispatcher.upstreams_mut().unregister(now, &id);
            }
            Step::Register(first) => {
                let entry = upstream("ledger", zone(first));
                fixture.dispatcher.upstreams_mut().register(now, entry);
            }
        }
    }
}

proptest! {
    #[test]
    fn promises_hold_for_any_events(steps in prop::collection::vec(step(), 1..250)) {
        let mut fixture = Fixture::new();
        let mut oracle = Oracle::default();
        for step in steps {
            oracle.step(&mut fixture, step);
            oracle.take(&mut fixture);
        }
        // Whatever is still open ends by its deadline.
        for _ in 0..10 {
            fixture.wait(100);
            oracle.take(&mut fixture);
        }
        for known in oracle.requests.values() {
            prop_assert!(known.has_ended || known.has_left, "never ended: {known:?}");
        }
        prop_assert_eq!(fixture.dispatcher.pending(), 0);
    }
}
