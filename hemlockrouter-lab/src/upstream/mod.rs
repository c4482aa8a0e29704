//! Simulated upstreams: replicas of a service, each with few slots.
//!
//! An upstream serves `POST /search`, `/run` and `/cancel` and `GET /health`. Each upstream has
//! slots, a short queue beyond which it sheds requests, a limit on connections and a setup cost for
//! each connection. After a start, or without warning, the upstream is cold: it is slow, and too
//! many requests in flight make all requests fail for a while. The health endpoint lags and may
//! report a false load. Each result names the shard, the snapshot and the `id` field of its query,
//! so that a caller detects mixed or foreign answers.
//!
//! Two more paths control the simulation: `PUT /lab/control` accepts the fields of [`Behaviour`]
//! and the actions `"cold": true` and `"restart": true`, and `GET /lab/counts` returns [`Counts`].

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

pub use self::counts::Counts;
pub use self::spec::Behaviour;
pub use self::spec::Spec;

use self::connections::Admission;
use self::connections::Connections;
use self::connections::Table;
use self::model::Command;
use self::model::Model;
use self::model::Ticket;
use self::model::Work;
use crate::server::overlay;
use crate::server::Answer;
use crate::server::Exchange;
use crate::server::Server;
use crate::server::ServerOptions;
use crate::timer::Timer;

/// Upstreams that share one self-connection per 20 ms; see [`ServerOptions::nudge_ms`].
const UPSTREAMS_PER_NUDGE: u64 = 4;

/// Interval at which the kernel's socket table is read.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// A running simulated upstream, which stops when dropped.
pub struct Upstream {
    server: Server,
    shared: Arc<Shared>,
}

impl Upstream {
    /// Starts one upstream for each spec. All of these upstreams share one timer.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on.
    pub fn start_all(specs: &[Spec], behaviour: &Behaviour) -> eyre::Result<Vec<Upstream>> {
        let timer = Timer::start();
        let count = specs.len() as u64;
        let options = ServerOptions {
            threads: 2,
            nudge_ms: 20 * count.div_ceil(UPSTREAMS_PER_NUDGE).max(1),
        };
        let specs = specs.iter();
        let started: eyre::Result<Vec<Upstream>> = specs
            .map(|spec| Upstream::start(spec.clone(), behaviour.clone(), timer.clone(), options))
            .collect();
        let upstreams = started?;
        let watched = upstreams.iter();
        let watched =
            watched.map(|upstream| (upstream.addr().port(), Arc::downgrade(&upstream.shared)));
        let watched = watched.collect();
        thread::spawn(move || watch_connections(watched));
        Ok(upstreams)
    }

    fn start(
        spec: Spec,
        behaviour: Behaviour,
        timer: Timer,
        options: ServerOptions,
    ) -> eyre::Result<Upstream> {
        let clock = Clock::new();
        let shared = Arc::new(Shared {
            clock,
            timer,
            state: Mutex::new(State {
                model: Model::new(spec.clone(), behaviour, clock.now()),
                exchanges: BTreeMap::new(),
                connections: Connections::default(),
                shown: Health::default(),
                next: Health::default(),
                refreshed: Time::ZERO,
            }),
            spec,
        });
        let handler = Arc::clone(&shared);
        let server = Server::start(shared.spec.listen, options, move |exchange| {
            Shared::serve(&handler, exchange);
        })?;
        Ok(Upstream { server, shared })
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
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts(self.shared.clock.now())
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.shared.lock().model.behaviour.clone()
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
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
fn watch_connections(mut watched: Vec<(u16, Weak<Shared>)>) {
    while !watched.is_empty() {
        thread::sleep(LOOK_EVERY);
        let table = Table::read();
        watched.retain(|(port, shared)| {
            let shared = shared.upgrade();
            if let Some(shared) = &shared {
                shared.lock().connections.forget_closed(&table, *port);
            }
            shared.is_some()
        });
    }
}

struct Shared {
    spec: Spec,
    clock: Clock,
    timer: Timer,
    state: Mutex<State>,
}

struct State {
    model: Model,
    exchanges: BTreeMap<Ticket, Exchange>,
    connections: Connections,
    shown: Health,
    next: Health,
    refreshed: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    cold: bool,
    leaving: bool,
    load: f64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics under the lock")
    }

    fn serve(shared: &Arc<Shared>, exchange: Exchange) {
        match (exchange.method(), exchange.path.as_str()) {
            (Method::Post, "/search" | "/run") => Shared::work(shared, exchange),
            (Method::Post, "/cancel") => {
                let body: Value = exchange.json().unwrap_or_default();
                Shared::act(shared, |model, now, commands| {
                    model.cancel(&body["id"], now, commands);
                });
                exchange.answer(Answer::json(200, &json!({})));
            }
            (Method::Get, "/health") => {
                let health = shared.lock().health(shared.clock.now());
                exchange.answer(Answer::json(200, &health));
            }
            (Method::Get, "/lab/counts") => {
                let counts = shared.lock().counts(shared.clock.now());
                exchange.answer(Answer::json(200, &counts));
            }
            (Method::Put, "/lab/control") => {
                let answer = Shared::control(shared, &exchange);
                exchange.answer(answer);
            }
            _ => exchange.answer(Answer::not_found()),
        }
    }

    fn work(shared: &Arc<Shared>, exchange: Exchange) {
        let mut work: Work = match exchange.json() {
            Ok(work) => work,
            Err(err) => return exchange.answer(Answer::bad_request(err)),
        };
        if exchange.path == "/search" {
            work.run_id = None;
        } else if work.run_id.is_none() {
            return exchange.answer(Answer::bad_request("a run needs a run_id"));
        }
        let now = shared.clock.now();
        let mut commands = Vec::new();
        let mut state = shared.lock();
        let extra_ms = match state.admit(&exchange, &shared.spec) {
            Admission::Ended => {
                state.model.told(now);
                drop(state);
                return exchange.break_off();
            }
            Admission::Known => 0,
            Admission::First => shared.spec.connect_ms,
            Admission::TooMany => {
                let (status, body) = state.model.shed();
                drop(state);
                return exchange.answer(Answer::json(status, &body));
            }
        };
        let ticket = state.model.arrive(work, extra_ms, now, &mut commands);
        state.exchanges.insert(ticket, exchange);
        Shared::run(shared, state, commands);
    }

    /// Applies `step` to the model and executes the resulting commands.
    fn act<F>(shared: &Arc<Shared>, step: F)
    where
        F: FnOnce(&mut Model, Time, &mut Vec<Command>),
    {
        let now = shared.clock.now();
        let mut commands = Vec::new();
        let mut state = shared.lock();
        step(&mut state.model, now, &mut commands);
        Shared::run(shared, state, commands);
    }

    fn run(shared: &Arc<Shared>, mut state: MutexGuard<'_, State>, commands: Vec<Command>) {
        let mut answers = Vec::new();
        for command in commands {
            match command {
                Command::Finish { ticket, after_ms } => {
                    let later = Arc::clone(shared);
                    let delay = Duration::from_millis(after_ms);
                    shared.timer.after(delay, move || {
                        Shared::act(&later, |model, now, commands| {
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
                    answers.push((exchange, Some(Answer::json(status, &body))));
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
                (Some(exchange), None) => exchange.break_off(),
                (None, _) => {}
            }
        }
    }

    fn restart(shared: &Arc<Shared>) {
        shared.lock().connections.end_all();
        Shared::act(shared, |model, now, commands| model.restart(now, commands));
    }

    fn control(shared: &Arc<Shared>, exchange: &Exchange) -> Answer {
        let mut fields: serde_json::Map<String, Value> = match exchange.json() {
            Ok(fields) => fields,
            Err(err) => return Answer::bad_request(err),
        };
        let mut wants = |name: &str| fields.remove(name) == Some(Value::Bool(true));
        let (cold, restart) = (wants("cold"), wants("restart"));
        let behaviour = shared.lock().model.behaviour.clone();
        let behaviour: Behaviour = match overlay(&behaviour, fields) {
            Ok(behaviour) => behaviour,
            Err(err) => return Answer::bad_request(err),
        };
        Shared::act(shared, |model, now, _| {
            model.set_behaviour(behaviour, now);
            if cold {
                model.turn_cold(now);
            }
        });
        if restart {
            Shared::restart(shared);
        }
        Answer::json(200, &shared.lock().model.behaviour)
    }
}

impl State {
    fn admit(&mut self, exchange: &Exchange, spec: &Spec) -> Admission {
        let Some(peer) = exchange.peer() else {
            return Admission::Known;
        };
        let port = exchange.own_port();
        let admission = self.connections.admit(peer, port, spec.connections);
        let counts = &mut self.model.counts;
        if admission == Admission::First {
            counts.connections += 1;
        }
        counts.peak_connections = counts.peak_connections.max(self.connections.open());
        admission
    }

    fn counts(&self, now: Time) -> Counts {
        let mut counts = self.model.counts.clone();
        counts.cold = self.model.is_cold();
        counts.known_cold = self.model.is_known_cold(now);
        counts
    }

    /// Returns the body of the health endpoint, a state that is one to two lags old.
    fn health(&mut self, now: Time) -> Value {
        if now.since(self.refreshed) >= self.model.behaviour.health_lag_ms {
            self.refreshed = now;
            self.shown = self.next;
            self.next = Health {
                cold: self.model.is_cold(),
                leaving: self.model.behaviour.leaving,
                load: self.model.load(),
            };
        }
        let status = match self.shown {
            Health { leaving: true, .. } => "leaving",
            Health { cold: true, .. } => "starting",
            Health { .. } => "ok",
        };
        let claimed = self.model.behaviour.claimed_load_percent;
        let load = claimed.map_or(self.shown.load, |percent| f64::from(percent) / 100.0);
        json!({"status": status, "load": load})
    }
}
