//! Simulates several dispatchers in front of one set of upstreams, in virtual time.
//!
//! An upstream serves a few requests at a time, queues a few more and rejects the rest at once.
//! Transit to another region takes time. The simulation advances in steps of one millisecond.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Ending;

use crate::fixture::rejected;
use crate::fixture::success;
use crate::fixture::Fixture;

/// The number of requests that an upstream serves at a time.
const SLOTS_PER_UPSTREAM: usize = 2;

/// The maximum number of requests in the queue of an upstream.
const QUEUE_LENGTH_MAX: usize = 12;

/// The one-way transit time from an instance to an upstream of another region, in milliseconds.
const OTHER_REGION_TRANSIT_MS: u64 = 12;

/// A call, identified by the index of its instance and its id.
type FleetCall = (usize, CallId);

/// Returns the service time of a request in milliseconds, given the id of the upstream and the
/// current time in milliseconds.
type WorkMs = Box<dyn Fn(&str, u64) -> u64>;

/// A simulated upstream.
#[derive(Default)]
struct Model {
    /// Calls in transit, each with its arrival time in milliseconds.
    arriving: Vec<(u64, FleetCall)>,
    waiting: VecDeque<FleetCall>,
    /// Calls being served, each with its completion time in milliseconds.
    working: Vec<(u64, FleetCall)>,
}

/// The result of a request.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) ending: Ending,
}

/// The simulated instances and upstreams.
pub(crate) struct Fleet {
    pub(crate) instances: Vec<Fixture>,
    pub(crate) ended: Vec<Ended>,
    pub(crate) rejected: usize,
    pub(crate) arrived: usize,
    pub(crate) now_ms: u64,
    work_ms: WorkMs,
    upstreams: BTreeMap<String, Model>,
    /// Answers in transit: the arrival time in milliseconds, the call, and whether the answer is a
    /// rejection.
    answers: Vec<(u64, FleetCall, bool)>,
}

impl Fleet {
    /// Creates a fleet of these instances. `work_ms` returns the service time of a request that an
    /// upstream starts to serve.
    pub(crate) fn new<F>(instances: Vec<Fixture>, work_ms: F) -> Fleet
    where
        F: Fn(&str, u64) -> u64 + 'static,
    {
        Fleet {
            instances,
            ended: Vec::new(),
            rejected: 0,
            arrived: 0,
            now_ms: 0,
            work_ms: Box::new(work_ms),
            upstreams: BTreeMap::new(),
            answers: Vec::new(),
        }
    }

    /// Starts a request at an instance.
    pub(crate) fn start(&mut self, instance: usize, path: &str) {
        self.instances[instance].start(path);
        self.take_commands(instance);
    }

    /// Advances the time by one millisecond.
    pub(crate) fn step(&mut self) {
        self.now_ms += 1;
        self.deliver_answers();
        self.serve();
        for at in 0..self.instances.len() {
            self.instances[at].wait(1);
            self.take_commands(at);
        }
    }

    fn take_commands(&mut self, instance: usize) {
        let fixture = &mut self.instances[instance];
        for command in std::mem::take(&mut fixture.out) {
            match command {
                Command::Send { call, upstream, .. } => {
                    let upstreams = fixture.dispatcher.upstreams();
                    let entry = &upstreams.get(upstream).expect("it is registered").entry;
                    let at_ms = self.now_ms + way_ms(fixture.zone(), &entry.zone);
                    let model = self.upstreams.entry(entry.id.clone()).or_default();
                    model.arriving.push((at_ms, (instance, call)));
                }
                Command::Cancel { call } | Command::Release { call } => {
                    let gone = (instance, call);
                    for model in self.upstreams.values_mut() {
                        model.arriving.retain(|(_, one)| *one != gone);
                        model.waiting.retain(|one| *one != gone);
                    }
                }
                Command::Finish { ending, .. } => self.ended.push(Ended { ending }),
                _ => {}
            }
        }
    }

    fn serve(&mut self) {
        let now_ms = self.now_ms;
        for (id, model) in &mut self.upstreams {
            let zone = id.split('@').nth(1).expect("ids end with a zone");
            let done = model.working.iter().filter(|(at_ms, _)| *at_ms <= now_ms);
            let done: Vec<FleetCall> = done.map(|(_, call)| *call).collect();
            model.working.retain(|(at_ms, _)| *at_ms > now_ms);
            for call in done {
                let way_ms = way_ms(self.instances[call.0].zone(), zone);
                self.answers.push((now_ms + way_ms, call, false));
            }
            let arrived = model.arriving.iter().filter(|(at_ms, _)| *at_ms <= now_ms);
            let arrived: Vec<FleetCall> = arrived.map(|(_, call)| *call).collect();
            model.arriving.retain(|(at_ms, _)| *at_ms > now_ms);
            for call in arrived {
                self.arrived += 1;
                if model.waiting.len() < QUEUE_LENGTH_MAX {
                    model.waiting.push_back(call);
                } else {
                    self.rejected += 1;
                    let way_ms = way_ms(self.instances[call.0].zone(), zone);
                    self.answers.push((now_ms + way_ms, call, true));
                }
            }
            while model.working.len() < SLOTS_PER_UPSTREAM {
                let Some(call) = model.waiting.pop_front() else {
                    break;
                };
                let work_ms = (self.work_ms)(id, now_ms);
                model.working.push((now_ms + work_ms, call));
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now_ms = self.now_ms;
        let answers = std::mem::take(&mut self.answers).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = answers.partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.answers = later;
        for (_, (instance, call), is_rejection) in due {
            let end = match is_rejection {
                true => rejected(),
                false => success("stamp", b""),
            };
            self.instances[instance].end(call, end);
            self.take_commands(instance);
        }
    }
}

fn way_ms(from: &str, to: &str) -> u64 {
    let region = |zone: &str| zone.split('-').next().map(String::from);
    match region(from) == region(to) {
        true => 0,
        false => OTHER_REGION_TRANSIT_MS,
    }
}
