//! Simulated upstreams: replicas of a service, each with few slots.
//!
//! An upstream serves `POST /search`, `/run` and `/cancel` and `GET /health`. Each upstream has
//! slots, a short queue beyond which it sheds requests, a limit on connections and a setup cost for
//! each connection. After a start, or without warning, the upstream is cold: it is slow, and too
//! many requests in flight make all requests fail for a while. The health endpoint lags and may
//! report a false load. Each result names the shard, the snapshot and the `id` field of its query,
//! so that a caller detects mixed or foreign answers.
//!
//! Two more paths control the simulation: `PUT /lab/control` accepts the fields of
//! [`UpstreamBehaviour`] and the actions `"cold": true` and `"restart": true`, and
//! `GET /lab/counts` returns [`UpstreamCounts`].

mod connections;
mod counts;
mod model;
mod spec;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use hemlockrouter_types::Clock;
use hemlockrouter_types::Time;
use serde_json::json;
use serde_json::Value;
use tiny_http::Method;

pub use self::counts::UpstreamCounts;
pub use self::spec::UpstreamBehaviour;
pub use self::spec::UpstreamSpec;

use self::connections::ConnectionAdmission;
use self::connections::Connections;
use self::connections::SocketTable;
use self::model::Command;
use self::model::RequestBody;
use self::model::Ticket;
use self::model::UpstreamModel;
use crate::server::merge_fields;
use crate::server::Exchange;
use crate::server::HttpResponse;
use crate::server::Server;
use crate::server::ServerOptions;
use crate::timer::Timer;

/// Number of upstreams in a group up to which each server connects to itself every 20 ms; in larger
/// groups, [`ServerOptions::self_connect_interval_ms`] grows in proportion.
const UPSTREAMS_AT_MIN_SELF_CONNECT_INTERVAL: u64 = 4;

/// Interval at which the kernel's socket table is read.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A running simulated upstream, which stops when dropped.
pub struct SimulatedUpstream {
    server: Server,
    shared: Arc<Shared>,
}

impl SimulatedUpstream {
    /// Starts one upstream for each spec. All of these upstreams share one timer.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on.
    pub fn start_all(
        specs: &[UpstreamSpec],
        behaviour: &UpstreamBehaviour,
    ) -> eyre::Result<Vec<SimulatedUpstream>> {
        let timer = Timer::start();
        let count = specs.len() as u64;
        let options = ServerOptions {
            threads: 2,
            self_connect_interval_ms: 20
                * count
                    .div_ceil(UPSTREAMS_AT_MIN_SELF_CONNECT_INTERVAL)
                    .max(1),
        };
        let specs = specs.iter();
        let started: eyre::Result<Vec<SimulatedUpstream>> = specs
            .map(|spec| {
                SimulatedUpstream::start(spec.clone(), behaviour.clone(), timer.clone(), options)
            })
            .collect();
        let upstreams = started?;
        let monitored = upstreams.iter();
        let monitored =
            monitored.map(|upstream| (upstream.addr().port(), Arc::downgrade(&upstream.shared)));
        let monitored = monitored.collect();
        thread::spawn(move || watch_connections(monitored));
        Ok(upstreams)
    }

    fn start(
        spec: UpstreamSpec,
        behaviour: UpstreamBehaviour,
        timer: Timer,
        options: ServerOptions,
    ) -> eyre::Result<SimulatedUpstream> {
        let clock = Clock::new();
        let shared = Arc::new(Shared {
            clock,
            timer,
            state: Mutex::new(State {
                model: UpstreamModel::new(spec.clone(), behaviour, clock.now()),
                exchanges: BTreeMap::new(),
                connections: Connections::default(),
                reported_health: HealthState::default(),
                next_health: HealthState::default(),
                health_refreshed_at: Time::ZERO,
            }),
            spec,
        });
        let handler = Arc::clone(&shared);
        let server = Server::start(shared.spec.listen, options, move |exchange| {
            Shared::handle_exchange(&handler, exchange);
        })?;
        Ok(SimulatedUpstream { server, shared })
    }

    /// Returns the name of the upstream.
    pub fn name(&self) -> &str {
        &self.shared.spec.name
    }

    /// Returns the address that the upstream listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> UpstreamCounts {
        self.shared.lock().counts(self.shared.clock.now())
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> UpstreamBehaviour {
        self.shared.lock().model.behaviour.clone()
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: UpstreamBehaviour) {
        let now = self.shared.clock.now();
        self.shared.lock().model.set_behaviour(behaviour, now);
    }

    /// Makes the upstream cold without warning.
    pub fn turn_cold(&self) {
        let now = self.shared.clock.now();
        self.shared.lock().model.turn_cold(now);
    }

    /// Restarts the upstream: requests in flight are lost, and the upstream is cold.
    pub fn restart(&self) {
        Shared::restart(&self.shared);
    }
}

/// Removes closed connections once a second, until every upstream has been dropped.
///
/// Each upstream is given with its port.
fn watch_connections(mut monitored: Vec<(u16, Weak<Shared>)>) {
    while !monitored.is_empty() {
        thread::sleep(CONNECTION_POLL_INTERVAL);
        let table = SocketTable::read();
        monitored.retain(|(port, shared)| {
            let shared = shared.upgrade();
            if let Some(shared) = &shared {
                shared.lock().connections.remove_closed(&table, *port);
            }
            shared.is_some()
        });
    }
}

struct Shared {
    spec: UpstreamSpec,
    clock: Clock,
    timer: Timer,
    state: Mutex<State>,
}

struct State {
    model: UpstreamModel,
    exchanges: BTreeMap<Ticket, Exchange>,
    connections: Connections,
    reported_health: HealthState,
    next_health: HealthState,
    health_refreshed_at: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct HealthState {
    cold: bool,
    leaving: bool,
    load: f64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics under the lock")
    }

    fn handle_exchange(shared: &Arc<Shared>, exchange: Exchange) {
        match (exchange.method(), exchange.path.as_str()) {
            (Method::Post, "/search" | "/run") => Shared::handle_request(shared, exchange),
            (Method::Post, "/cancel") => {
                let body: Value = exchange.json().unwrap_or_default();
                Shared::apply_step(shared, |model, now, commands| {
                    model.cancel(&body["id"], now, commands);
                });
                exchange.answer(HttpResponse::json(200, &json!({})));
            }
            (Method::Get, "/health") => {
                let health = shared.lock().health(shared.clock.now());
                exchange.answer(HttpResponse::json(200, &health));
            }
            (Method::Get, "/lab/counts") => {
                let counts = shared.lock().counts(shared.clock.now());
                exchange.answer(HttpResponse::json(200, &counts));
            }
            (Method::Put, "/lab/control") => {
                let answer = Shared::handle_control(shared, &exchange);
                exchange.answer(answer);
            }
            _ => exchange.answer(HttpResponse::not_found()),
        }
    }

    fn handle_request(shared: &Arc<Shared>, exchange: Exchange) {
        let mut request_body: RequestBody = match exchange.json() {
            Ok(request_body) => request_body,
            Err(err) => return exchange.answer(HttpResponse::bad_request(err)),
        };
        if exchange.path == "/search" {
            request_body.run_id = None;
        } else if request_body.run_id.is_none() {
            return exchange.answer(HttpResponse::bad_request("a run needs a run_id"));
        }
        let now = shared.clock.now();
        let mut commands = Vec::new();
        let mut state = shared.lock();
        let setup_ms = match state.admit(&exchange, &shared.spec) {
            ConnectionAdmission::EndedByRestart => {
                state.model.reveal_cold_state(now);
                drop(state);
                return exchange.abort();
            }
            ConnectionAdmission::KnownConnection => 0,
            ConnectionAdmission::FirstRequest => shared.spec.connect_ms,
            ConnectionAdmission::OverLimit => {
                let (status, body) = state.model.shed();
                drop(state);
                return exchange.answer(HttpResponse::json(status, &body));
            }
        };
        let ticket = state
            .model
            .handle_arrival(request_body, setup_ms, now, &mut commands);
        state.exchanges.insert(ticket, exchange);
        Shared::execute_commands(shared, state, commands);
    }

    /// Applies `step` to the model and executes the resulting commands.
    fn apply_step<F>(shared: &Arc<Shared>, step: F)
    where
        F: FnOnce(&mut UpstreamModel, Time, &mut Vec<Command>),
    {
        let now = shared.clock.now();
        let mut commands = Vec::new();
        let mut state = shared.lock();
        step(&mut state.model, now, &mut commands);
        Shared::execute_commands(shared, state, commands);
    }

    fn execute_commands(
        shared: &Arc<Shared>,
        mut state: MutexGuard<'_, State>,
        commands: Vec<Command>,
    ) {
        let mut answers = Vec::new();
        for command in commands {
            match command {
                Command::Finish { ticket, after_ms } => {
                    let later = Arc::clone(shared);
                    let delay = Duration::from_millis(after_ms);
                    shared.timer.run_after(delay, move || {
                        Shared::apply_step(&later, |model, now, commands| {
                            model.finish(ticket, now, commands);
                        });
                    });
                }
                Command::Answer {
                    ticket,
                    status,
                    body,
                } => {
                    let exchange = state.exchanges.remove(&ticket);
                    answers.push((exchange, Some(HttpResponse::json(status, &body))));
                }
                Command::BreakOff { ticket } => {
                    answers.push((state.exchanges.remove(&ticket), None));
                }
            }
        }
        drop(state);
        for (exchange, answer) in answers {
            match (exchange, answer) {
                (Some(exchange), Some(answer)) => exchange.answer(answer),
                (Some(exchange), None) => exchange.abort(),
                (None, _) => {}
            }
        }
    }

    fn restart(shared: &Arc<Shared>) {
        shared.lock().connections.mark_all_ended();
        Shared::apply_step(shared, |model, now, commands| model.restart(now, commands));
    }

    fn handle_control(shared: &Arc<Shared>, exchange: &Exchange) -> HttpResponse {
        let mut fields: serde_json::Map<String, Value> = match exchange.json() {
            Ok(fields) => fields,
            Err(err) => return HttpResponse::bad_request(err),
        };
        let mut take_flag = |name: &str| fields.remove(name) == Some(Value::Bool(true));
        let (cold, restart) = (take_flag("cold"), take_flag("restart"));
        let behaviour = shared.lock().model.behaviour.clone();
        let behaviour: UpstreamBehaviour = match merge_fields(&behaviour, fields) {
            Ok(behaviour) => behaviour,
            Err(err) => return HttpResponse::bad_request(err),
        };
        Shared::apply_step(shared, |model, now, _| {
            model.set_behaviour(behaviour, now);
            if cold {
                model.turn_cold(now);
            }
        });
        if restart {
            Shared::restart(shared);
        }
        HttpResponse::json(200, &shared.lock().model.behaviour)
    }
}

impl State {
    fn admit(&mut self, exchange: &Exchange, spec: &UpstreamSpec) -> ConnectionAdmission {
        let Some(peer) = exchange.peer_addr() else {
            return ConnectionAdmission::KnownConnection;
        };
        let port = exchange.local_port();
        let admission = self.connections.admit(peer, port, spec.connections);
        let counts = &mut self.model.counts;
        if admission == ConnectionAdmission::FirstRequest {
            counts.connections += 1;
        }
        counts.peak_connections = counts.peak_connections.max(self.connections.open_count());
        admission
    }

    fn counts(&self, now: Time) -> UpstreamCounts {
        let mut counts = self.model.counts.clone();
        counts.cold = self.model.is_cold();
        counts.known_cold = self.model.is_known_cold(now);
        counts
    }

    /// Returns the body of the health endpoint, a state that is one to two lags old.
    fn health(&mut self, now: Time) -> Value {
        if now.ms_since(self.health_refreshed_at) >= self.model.behaviour.health_lag_ms {
            self.health_refreshed_at = now;
            self.reported_health = self.next_health;
            self.next_health = HealthState {
                cold: self.model.is_cold(),
                leaving: self.model.behaviour.leaving,
                load: self.model.load(),
            };
        }
        let status = match self.reported_health {
            HealthState { leaving: true, .. } => "leaving",
            HealthState { cold: true, .. } => "starting",
            HealthState { .. } => "ok",
        };
        let claimed = self.model.behaviour.claimed_load_percent;
        let load = claimed.map_or(self.reported_health.load, |percent| {
            f64::from(percent) / 100.0
        });
        json!({"status": status, "load": load})
    }
}
