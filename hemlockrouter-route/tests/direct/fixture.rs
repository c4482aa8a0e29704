//! A small deployment, and helpers that feed events to its dispatcher.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::CallOutcome;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Config;
use hemlockrouter_route::direct::Dispatcher;
use hemlockrouter_route::direct::RepeatBound;
use hemlockrouter_route::direct::Reply;
use hemlockrouter_route::direct::ReplyKind;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_route::direct::RequestResult;
use hemlockrouter_route::direct::Route;
use hemlockrouter_route::direct::SearchDivision;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::CallerLimits;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::RouteDocument;
use hemlockrouter_types::routing::RouteEntry;
use hemlockrouter_types::routing::ServiceEntry;
use hemlockrouter_types::routing::ShardTarget;
use hemlockrouter_types::routing::TargetServices;
use hemlockrouter_types::routing::UpstreamEntry;
use http::HeaderMap;

pub(crate) const ROUTE_HOST: &str = "halls.example";
pub(crate) const SEARCH_PATH: &str = "/search/x";
pub(crate) const BOOK_PATH: &str = "/book/x";
pub(crate) const LOOK_UP_PATH: &str = "/look-up/x";
pub(crate) const SHARD_COUNT: usize = 4;

/// The time after which a collecting instance without a report counts as silent, in milliseconds:
/// half of the route's target latency.
pub(crate) const PROGRESS_TIMEOUT_MS: u64 = 75;

/// The time at which tests begin, long after the list of instances was read.
pub(crate) const TEST_START: Time = Time::from_ms(100_000);

pub(crate) fn config(name: &str) -> Config {
    let zones = [
        ("north-a", "north"),
        ("north-c", "north"),
        ("south-b", "south"),
        ("east-d", "east"),
    ];
    Config {
        name: String::from(name),
        zone: String::from("north-a"),
        zones: BTreeMap::from(zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()))),
        repeat_bound: RepeatBound {
            ratio: 0.2,
            allowance: 40.0,
            window_ms: 10_000,
        },
        cold_limit_factor: 1.5,
        cold_limit_extra_per_s: 5.0,
        linger_ms: 1_200,
        drain_ms: 3_000,
        search_division: SearchDivision {
            shards_min: 40,
            shards_per_instance: 14,
        },
    }
}

pub(crate) fn route(
    name: &str,
    prefix: &str,
    target: TargetServices,
    idempotent: bool,
) -> RouteEntry {
    RouteEntry {
        name: String::from(name),
        host: String::from(ROUTE_HOST),
        path_prefix: String::from(prefix),
        target,
        idempotent,
        attempts_max: 2,
        timeout_ms: 2_000,
        target_latency_ms: 150,
        priority: 1,
        regions: Vec::new(),
    }
}

pub(crate) fn document(version: u64, routes: Vec<RouteEntry>) -> RouteDocument {
    let names = shards().into_iter().chain([String::from("ledger")]);
    let services = names.map(|name| ServiceEntry {
        name,
        connections_max: 50,
        cold_per_s: Some(6.0),
        health_path: None,
    });
    RouteDocument {
        version,
        routes,
        services: services.collect(),
        limits: CallerLimits {
            header_max_bytes: 16_384,
            body_max_bytes: 65_536,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        unreadable: Vec::new(),
    }
}

pub(crate) fn routes() -> Vec<RouteEntry> {
    let search = TargetServices::Shards(ShardTarget {
        services: shards(),
        records_max: 3,
        coverage_min: 0.75,
    });
    let ledger = TargetServices::Service(String::from("ledger"));
    vec![
        route("search", "/search/", search, true),
        route("book", "/book/", ledger.clone(), false),
        route("look-up", "/look-up/", ledger, true),
    ]
}

pub(crate) fn shards() -> Vec<String> {
    (0..SHARD_COUNT)
        .map(|number| format!("shard-{number}"))
        .collect()
}

pub(crate) fn upstream(service: &str, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("{service}@{zone}"),
        incarnation: 1,
        sequence: 1,
        service: String::from(service),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        zone: String::from(zone),
        slots: 2,
        draining: false,
        cold_ms: 0,
    }
}

pub(crate) fn instance(name: &str, zone: &str) -> InstanceEntry {
    InstanceEntry {
        name: String::from(name),
        zone: String::from(zone),
        relay: Some("127.0.0.1:2".parse().expect("the address is valid")),
        cpu_permille: 250,
        registered_by: None,
    }
}

/// Returns the address at which an instance accepts batches.
pub(crate) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A dispatcher with two upstreams of each service, one in each availability zone.
pub(crate) struct Fixture {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Time,
    pub(crate) commands: Vec<Command>,
    zone: String,
    last_request_id: u64,
}

impl Fixture {
    pub(crate) fn new() -> Fixture {
        Fixture::with_routes("me", routes())
    }

    pub(crate) fn with_routes(name: &str, routes: Vec<RouteEntry>) -> Fixture {
        Fixture::with_config(config(name), routes)
    }

    /// Creates an instance that divides searches over `shards_min` shards or more, with
    /// `shards_per_instance` shards for each instance.
    pub(crate) fn dividing_searches(shards_min: usize, shards_per_instance: usize) -> Fixture {
        let search_division = SearchDivision {
            shards_min,
            shards_per_instance,
        };
        let config = Config {
            search_division,
            ..config("me")
        };
        Fixture::with_config(config, routes())
    }

    /// Like [`Fixture::dividing_searches`], for the instance `name` of an availability zone.
    pub(crate) fn dividing_searches_in(
        name: &str,
        zone: &str,
        shards_min: usize,
        shards_per_instance: usize,
    ) -> Fixture {
        let search_division = SearchDivision {
            shards_min,
            shards_per_instance,
        };
        let config = Config {
            search_division,
            zone: String::from(zone),
            ..config(name)
        };
        Fixture::with_config(config, routes())
    }

    /// Creates an instance in a region without upstreams, with one other instance in each region
    /// that has upstreams.
    pub(crate) fn in_region_without_upstreams() -> Fixture {
        let mut fixture = Fixture::dividing_searches_in("me", "east-d", 40, 14);
        let instances = fixture.dispatcher.upstreams_mut().instances_mut();
        for (name, zone, port) in [("north", "north-a", 7), ("south", "south-b", 8)] {
            let mut entry = instance(name, zone);
            entry.relay = Some(address(port));
            instances.add_instance(Time::ZERO, entry);
        }
        fixture
    }

    fn with_config(config: Config, routes: Vec<RouteEntry>) -> Fixture {
        let name = config.name.clone();
        let zone = config.zone.clone();
        let mut dispatcher = Dispatcher::new(config);
        let upstreams = dispatcher.upstreams_mut();
        upstreams
            .instances_mut()
            .add_instance(Time::ZERO, instance(&name, "north-a"));
        for service in shards().into_iter().chain([String::from("ledger")]) {
            for zone in ["north-a", "south-b"] {
                upstreams.register(Time::ZERO, upstream(&service, zone));
            }
        }
        assert!(dispatcher.install_routes(document(1, routes)));
        Fixture {
            dispatcher,
            now: TEST_START,
            commands: Vec::new(),
            zone,
            last_request_id: 0,
        }
    }

    pub(crate) fn route(&self, path: &str) -> Rc<Route> {
        let table = self.dispatcher.route_table();
        Rc::clone(table.find(ROUTE_HOST, path).expect("the route exists"))
    }

    pub(crate) fn configure(&mut self, version: u64, routes: Vec<RouteEntry>) -> bool {
        self.dispatcher.install_routes(document(version, routes))
    }

    /// Starts a request to `path`, and returns its id.
    pub(crate) fn start(&mut self, path: &str) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let route = self.route(path);
        self.dispatcher
            .start(self.now, id, route, 800, &mut self.commands);
        id
    }

    /// Adds instances, given by name and availability zone, to the list of instances.
    pub(crate) fn add_instances<'n, I>(&mut self, names: I)
    where
        I: Iterator<Item = (&'n str, &'n str)>,
    {
        let instances = self.dispatcher.upstreams_mut().instances_mut();
        for (name, zone) in names {
            instances.add_instance(Time::ZERO, instance(name, zone));
        }
    }

    /// Returns the availability zone of the instance.
    pub(crate) fn zone(&self) -> &str {
        &self.zone
    }

    /// Advances the time by `ms` milliseconds, and runs the timers that are due.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.now = self.now + ms;
        self.dispatcher.tick(self.now, &mut self.commands);
    }

    pub(crate) fn end_call(&mut self, call: CallId, end: CallOutcome) {
        self.dispatcher
            .call_ended(self.now, call, end, &mut self.commands);
    }

    /// Ends all given calls with successful answers.
    pub(crate) fn answer_all(&mut self, sent: Vec<(CallId, String)>) {
        for (call, _) in sent {
            self.end_call(call, success("stamp", b""));
        }
    }

    /// Removes the commands that send calls, and returns the calls with the ids of their upstreams.
    pub(crate) fn take_sent_calls(&mut self) -> Vec<(CallId, String)> {
        let mut sent = Vec::new();
        let upstreams = self.dispatcher.upstreams();
        self.commands.retain(|command| {
            let Command::Send { call, upstream, .. } = command else {
                return true;
            };
            let upstream = upstreams
                .get(*upstream)
                .expect("the upstream was just chosen");
            sent.push((*call, upstream.entry.id.clone()));
            false
        });
        sent
    }

    /// Removes and returns the result of a request; `None` if the request has not ended.
    pub(crate) fn take_result(&mut self, id: RequestId) -> Option<RequestResult> {
        let is_finish = |command: &Command| matches!(command, Command::Finish { request, .. } if *request == id);
        let index = self.commands.iter().position(is_finish)?;
        match self.commands.remove(index) {
            Command::Finish { request_result, .. } => Some(request_result),
            _ => None,
        }
    }
}

/// Returns a successful answer with the signature `stamp`.
pub(crate) fn success(stamp: &str, body: &[u8]) -> CallOutcome {
    CallOutcome::Answered(Reply {
        status: 200,
        kind: ReplyKind::Success {
            signature: String::from(stamp),
        },
        headers: HeaderMap::new(),
        body: Bytes::copy_from_slice(body),
    })
}

/// Returns an answer which states that the request was not run.
pub(crate) fn rejected() -> CallOutcome {
    CallOutcome::Answered(Reply {
        status: 503,
        kind: ReplyKind::NotRun,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    })
}

/// Returns an upstream's own failure, signed.
pub(crate) fn failure() -> CallOutcome {
    CallOutcome::Answered(Reply {
        status: 500,
        kind: ReplyKind::Failure,
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"failed"),
    })
}
