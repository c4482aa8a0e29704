//! Simulates several dispatchers in front of one set of upstreams, in virtual time.
//!
//! An upstream serves a few requests at a time, queues a few more and rejects the rest at once.
//! Transit to another region takes time. The simulation advances in steps of one millisecond.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::RequestResult;

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

/// A function that returns the service time of a request in milliseconds, given the id of the
/// upstream and the current time in milliseconds.
type ServiceTimeMs = Box<dyn Fn(&str, u64) -> u64>;

/// A simulated upstream.
#[derive(Default)]
struct SimulatedUpstream {
    /// Calls in transit, each with its arrival time in milliseconds.
    in_transit: Vec<(u64, FleetCall)>,
    waiting: VecDeque<FleetCall>,
    /// Calls being served, each with its completion time in milliseconds.
    in_service: Vec<(u64, FleetCall)>,
}

/// The result of a request.
#[derive(Debug)]
pub(crate) struct EndedRequest {
    pub(crate) request_result: RequestResult,
}

/// The simulated instances and upstreams.
pub(crate) struct Fleet {
    pub(crate) instances: Vec<Fixture>,
    pub(crate) ended: Vec<EndedRequest>,
    pub(crate) rejected: usize,
    pub(crate) arrived: usize,
    pub(crate) now_ms: u64,
    service_time_ms: ServiceTimeMs,
    upstreams: BTreeMap<String, SimulatedUpstream>,
    /// Answers in transit: the arrival time in milliseconds, the call, and whether the answer is a
    /// rejection.
    answers_in_transit: Vec<(u64, FleetCall, bool)>,
}

impl Fleet {
    /// Creates a fleet of these instances. `service_time_ms` returns the service time of a request
    /// that an upstream starts to serve.
    pub(crate) fn new<F>(instances: Vec<Fixture>, service_time_ms: F) -> Fleet
    where
        F: Fn(&str, u64) -> u64 + 'static,
    {
        Fleet {
            instances,
            ended: Vec::new(),
            rejected: 0,
            arrived: 0,
            now_ms: 0,
            service_time_ms: Box::new(service_time_ms),
            upstreams: BTreeMap::new(),
            answers_in_transit: Vec::new(),
        }
    }

    /// Starts a request at an instance.
    pub(crate) fn start(&mut self, instance: usize, path: &str) {
        self.instances[instance].start(path);
        self.take_commands(instance);
    }

    /// Advances the time by one millisecond.
    pub(crate) fn advance_1_ms(&mut self) {
        self.now_ms += 1;
        self.deliver_answers();
        self.serve();
        for instance_index in 0..self.instances.len() {
            self.instances[instance_index].advance(1);
            self.take_commands(instance_index);
        }
    }

    fn take_commands(&mut self, instance: usize) {
        let fixture = &mut self.instances[instance];
        for command in std::mem::take(&mut fixture.commands) {
            match command {
                Command::Send { call, upstream, .. } => {
                    let upstreams = fixture.dispatcher.upstreams();
                    let entry = &upstreams
                        .get(upstream)
                        .expect("the upstream is registered")
                        .entry;
                    let at_ms = self.now_ms + transit_ms(fixture.zone(), &entry.zone);
                    let simulated = self.upstreams.entry(entry.id.clone()).or_default();
                    simulated.in_transit.push((at_ms, (instance, call)));
                }
                Command::Cancel { call } | Command::Release { call } => {
                    let dropped_call = (instance, call);
                    for simulated in self.upstreams.values_mut() {
                        simulated
                            .in_transit
                            .retain(|(_, call)| *call != dropped_call);
                        simulated.waiting.retain(|call| *call != dropped_call);
                    }
                }
                Command::Finish { request_result, .. } => {
                    self.ended.push(EndedRequest { request_result })
                }
                _ => {}
            }
        }
    }

    fn serve(&mut self) {
        let now_ms = self.now_ms;
        for (id, simulated) in &mut self.upstreams {
            let zone = id.split('@').nth(1).expect("upstream ids end with a zone");
            let completed = simulated
                .in_service
                .iter()
                .filter(|(at_ms, _)| *at_ms <= now_ms);
            let completed: Vec<FleetCall> = completed.map(|(_, call)| *call).collect();
            simulated.in_service.retain(|(at_ms, _)| *at_ms > now_ms);
            for call in completed {
                let transit_ms = transit_ms(self.instances[call.0].zone(), zone);
                self.answers_in_transit
                    .push((now_ms + transit_ms, call, false));
            }
            let arrived = simulated
                .in_transit
                .iter()
                .filter(|(at_ms, _)| *at_ms <= now_ms);
            let arrived: Vec<FleetCall> = arrived.map(|(_, call)| *call).collect();
            simulated.in_transit.retain(|(at_ms, _)| *at_ms > now_ms);
            for call in arrived {
                self.arrived += 1;
                if simulated.waiting.len() < QUEUE_LENGTH_MAX {
                    simulated.waiting.push_back(call);
                } else {
                    self.rejected += 1;
                    let transit_ms = transit_ms(self.instances[call.0].zone(), zone);
                    self.answers_in_transit
                        .push((now_ms + transit_ms, call, true));
                }
            }
            while simulated.in_service.len() < SLOTS_PER_UPSTREAM {
                let Some(call) = simulated.waiting.pop_front() else {
                    break;
                };
                let service_time_ms = (self.service_time_ms)(id, now_ms);
                simulated.in_service.push((now_ms + service_time_ms, call));
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now_ms = self.now_ms;
        let answers_in_transit = std::mem::take(&mut self.answers_in_transit).into_iter();
        let (due_answers, later_answers): (Vec<_>, Vec<_>) =
            answers_in_transit.partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.answers_in_transit = later_answers;
        for (_, (instance, call), is_rejection) in due_answers {
            let end = match is_rejection {
                true => rejected(),
                false => success("stamp", b""),
            };
            self.instances[instance].end_call(call, end);
            self.take_commands(instance);
        }
    }
}

fn transit_ms(from: &str, to: &str) -> u64 {
    let region = |zone: &str| zone.split('-').next().map(String::from);
    match region(from) == region(to) {
        true => 0,
        false => OTHER_REGION_TRANSIT_MS,
    }
}
