//! One instance of the query tier: starts all parts, runs the node, and shuts down gracefully.

use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use hemlockrouter_config::settings::Keys;
use hemlockrouter_config::Settings;
use hemlockrouter_limit::Admission;
use hemlockrouter_limit::Limiter;
use hemlockrouter_member::Member;
use hemlockrouter_route::Runner;
use hemlockrouter_route::Searcher;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::Peer;
use log::info;
use log::warn;
use stakker::actor;
use stakker::call;
use stakker::ret_nop;
use stakker::ActorOwn;
use stakker::Stakker;

use crate::edge::callers::CallerBounds;
use crate::edge::callers::CallersServer;
use crate::edge::instances;
use crate::edge::operators;
use crate::edge::operators::OperatorsHandler;
use crate::edge::tiny::TrustedHttpServer;
use crate::metrics::Metrics;
use crate::node::control::ActorLinks;
use crate::node::control::Control;
use crate::node::control::ControlParts;
use crate::node::entry::Entry;
use crate::node::owner::Owner;
use crate::node::shutdown::Shutdown;
use crate::node::status::SharedStatus;
use crate::node::Event;
use crate::node::Mailbox;
use crate::outbound::peers::Peers;
use crate::outbound::platform::Platform;
use crate::outbound::upstreams::Upstreams;

/// Number of threads that receive envelopes of other instances.
const ENVELOPE_THREADS: usize = 8;

/// Maximum time for which the node waits for an event before it checks its timers.
const EVENT_WAIT_MAX: Duration = Duration::from_millis(100);

/// Maximum number of events that are handled before timers are checked.
const EVENT_BATCH_MAX: usize = 256;

/// Outcome of an instance's shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownOutcome {
    /// All accepted requests were answered.
    Finished,
    /// The shutdown timed out with work in flight.
    TimedOut,
    /// The instance shut down because a part of it failed.
    Failed,
}

/// One instance of the query tier.
pub struct Instance {
    settings: Settings,
    id: InstanceId,
    clock: Clock,
    stakker: Stakker,
    events: Receiver<Event>,
    mailbox: Mailbox,
    shared: Arc<SharedStatus>,
    actors: Actors,
    peers: Peers,
    callers: Option<CallersServer>,
    callers_address: SocketAddr,
    operators: TrustedHttpServer,
    instances: TrustedHttpServer,
}

struct Actors {
    control: ActorOwn<Control>,
    entry: ActorOwn<Entry>,
    owner: ActorOwn<Owner>,
}

/// Asks a running instance to shut down, from another thread.
#[derive(Clone)]
pub struct ShutdownHandle {
    mailbox: Mailbox,
}

impl ShutdownHandle {
    /// Asks for a graceful shutdown. Asking again changes nothing.
    pub fn stop(&self) {
        self.mailbox.put(Event::Shutdown);
    }
}

impl Instance {
    /// Binds all ports and starts all parts.
    ///
    /// # Errors
    ///
    /// Returns an error that names the port if a port can't be bound, or an error if a thread can't
    /// be started.
    pub fn start(settings: Settings, keys: Keys) -> eyre::Result<Instance> {
        let id = InstanceId::random();
        let clock = Clock::new();
        let (mailbox, events) = Mailbox::new(id);
        let shared = Arc::new(SharedStatus::new());
        let metrics = Arc::new(Metrics::new());
        let mut stakker = Stakker::new(Instant::now());

        let instances_key = keys.instances.clone();
        let instances = instances::start(
            settings.instances_listen,
            ENVELOPE_THREADS,
            instances_key,
            mailbox.clone(),
            Arc::clone(&metrics),
        )
        .wrap_err_with(|| listen_error("instances_listen", settings.instances_listen))?;
        let own_peer = Peer {
            id,
            address: advertised_address(&settings, instances.address()),
            zone: settings.zone.clone(),
        };
        let peers = Peers::start(
            own_peer.clone(),
            keys.instances,
            &settings.limits,
            clock,
            mailbox.clone(),
        )
        .wrap_err("can't start the threads that call other instances")?;
        let platform = Platform::start(
            settings.platform.clone(),
            settings.timing.clone(),
            mailbox.clone(),
            Arc::clone(&shared),
        )
        .wrap_err("can't start the threads that call the platform")?;
        let operators = operators::start(
            settings.operators_listen,
            OperatorsHandler {
                key: keys.operators,
                mailbox: mailbox.clone(),
                platform: platform.operator_handle(),
                shared_status: Arc::clone(&shared),
                metrics: Arc::clone(&metrics),
            },
        )
        .wrap_err_with(|| listen_error("operators_listen", settings.operators_listen))?;
        let upstreams = Upstreams::start(&settings, clock, mailbox.clone())
            .wrap_err("can't start the threads that call upstreams")?;
        let seed = id.0;
        let member = Member::new(
            crate::tuning::member_config(&settings),
            own_peer,
            settings.seeds.clone(),
            clock.now(),
            seed,
        );
        let parts = ActorParts {
            clock,
            id,
            member,
            platform,
            upstreams,
            metrics,
        };
        let actors = parts.link(&mut stakker, &settings, &peers, &shared, &mailbox);
        let callers = CallersServer::start(
            settings.callers_listen,
            caller_bounds(&settings),
            mailbox.clone(),
        )
        .wrap_err_with(|| listen_error("callers_listen", settings.callers_listen))?;
        Ok(Instance {
            id,
            clock,
            stakker,
            events,
            mailbox,
            shared,
            actors,
            peers,
            callers_address: callers.address(),
            callers: Some(callers),
            operators,
            instances,
            settings,
        })
    }

    /// Returns the id of this instance, which is new for each start.
    pub fn id(&self) -> InstanceId {
        self.id
    }

    /// Returns the address of the callers' port.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Returns the address of the operators' port.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address of the port for other instances.
    pub fn instances_address(&self) -> SocketAddr {
        self.instances.address()
    }

    /// Returns a handle that asks this instance to shut down.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        ShutdownHandle {
            mailbox: self.mailbox.clone(),
        }
    }

    /// Runs the instance until it has shut down.
    pub fn run(mut self) -> ShutdownOutcome {
        let mut shutdown: Option<Shutdown> = None;
        self.stakker.run(Instant::now(), false);
        loop {
            self.handle_events();
            if shutdown.is_none() && self.shared.is_leaving() {
                shutdown = Some(self.start_shutdown());
            }
            if let Some(state) = &mut shutdown {
                if let Some(ended) = self.advance_shutdown(state) {
                    return ended;
                }
            }
        }
    }

    /// Waits for events and timers, and lets the actors handle them.
    fn handle_events(&mut self) {
        let wait = self
            .stakker
            .next_wait_max(Instant::now(), EVENT_WAIT_MAX, false);
        match self.events.recv_timeout(wait) {
            Ok(event) => self.dispatch(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => {
                unreachable!("the instance holds a mailbox itself")
            }
        }
        for _ in 1..EVENT_BATCH_MAX {
            let Ok(event) = self.events.try_recv() else {
                break;
            };
            self.dispatch(event);
        }
        self.stakker.run(Instant::now(), false);
    }

    fn dispatch(&mut self, event: Event) {
        let Actors {
            control,
            entry,
            owner,
        } = &self.actors;
        match event {
            Event::Request(id, request) => call!([entry], handle_request(id, request)),
            Event::Abandoned(id) => call!([entry], handle_abandoned(id)),
            Event::Envelope(envelope) => call!([control], handle_envelope(envelope)),
            Event::Undeliverable(lost) => call!([control], handle_undeliverable(lost)),
            Event::CallEnded(ended) => call!([owner], handle_call_end(ended)),
            Event::Claimed(id, result) => call!([entry], handle_claim_result(id, result)),
            Event::StoreRead(read) => call!([control], handle_store_read(read)),
            Event::Listed(list) => call!([control], handle_instance_list(list)),
            Event::TieAnswered(other, answer) => call!([control], handle_tie_answer(other, answer)),
            Event::Operator(request) => call!([control], handle_operator(request)),
            Event::Shutdown => self.shared.set_leaving(),
            Event::CallersClosed => self.shared.set_callers_closed(),
        }
    }

    /// Turns readiness off and starts to hand over owned upstreams; callers are still served.
    fn start_shutdown(&mut self) -> Shutdown {
        info!(target: "decision", instance = self.id.to_string(); "shutting down");
        if let Some(callers) = &self.callers {
            callers.drain();
        }
        call!([self.actors.control], leave());
        let shutdown = Shutdown::new(self.clock.now(), &self.settings.timing);
        let final_answers_at = shutdown.final_answers_at();
        call!([self.actors.entry], start_shutdown(final_answers_at));
        shutdown
    }

    /// Advances the shutdown, and returns its outcome once it has ended.
    fn advance_shutdown(&mut self, state: &mut Shutdown) -> Option<ShutdownOutcome> {
        let now = self.clock.now();
        if state.has_timed_out(now) {
            warn!(instance = self.id.to_string(); "the time for the shutdown ran out");
            return Some(ShutdownOutcome::TimedOut);
        }
        if state.should_close_callers(now) {
            if let Some(callers) = self.callers.take() {
                let mailbox = self.mailbox.clone();
                let answer_timeout_ms = state.final_answers_at().remaining_ms(now);
                let wait_ms = state.remaining_ms(now);
                thread::spawn(move || {
                    callers.close(answer_timeout_ms, wait_ms);
                    mailbox.put(Event::CallersClosed);
                });
            }
        }
        if state.should_answer_finally(now) {
            call!([self.actors.entry], answer_finally());
            self.stakker.run(Instant::now(), false);
        }
        if !self.shared.callers_closed() {
            return None;
        }
        let (control, entry, owner) =
            (&self.actors.control, &self.actors.entry, &self.actors.owner);
        let stakker = &mut self.stakker;
        let shared = &self.shared;
        call!([entry], report_pending(Arc::clone(shared)));
        call!([owner], report_pending(Arc::clone(shared)));
        call!([control], report_left(Arc::clone(shared)));
        stakker.run(Instant::now(), false);
        if shared.is_idle() && self.peers.pending() == 0 {
            info!(target: "decision", instance = self.id.to_string(); "shut down");
            return Some(ShutdownOutcome::Finished);
        }
        None
    }
}

/// Dependencies of the actors.
struct ActorParts {
    clock: Clock,
    id: InstanceId,
    member: Member,
    platform: Platform,
    upstreams: Upstreams,
    metrics: Arc<Metrics>,
}

impl ActorParts {
    /// Creates the actors and links them to each other.
    fn link(
        self,
        stakker: &mut Stakker,
        settings: &Settings,
        peers: &Peers,
        shared: &Arc<SharedStatus>,
        mailbox: &Mailbox,
    ) -> Actors {
        let ActorParts {
            clock,
            id,
            member,
            platform,
            upstreams,
            metrics,
        } = self;
        let control = actor!(
            stakker,
            Control::init(ControlParts {
                clock,
                own_id: id,
                zone: settings.zone.clone(),
                member,
                peers: peers.clone(),
                platform,
                shared: Arc::clone(shared),
                mailbox: mailbox.clone(),
            }),
            ret_nop!()
        );
        let limiter = Limiter::new(crate::tuning::limiter_config(settings));
        let owner = actor!(
            stakker,
            Owner::init(
                clock,
                limiter,
                upstreams,
                control.clone(),
                Arc::clone(&metrics)
            ),
            ret_nop!()
        );
        let searcher = Searcher::new(crate::tuning::searcher_config(settings), id, id.0);
        let runner = Runner::new(crate::tuning::runner_config(settings), id, rand::random());
        let entry = actor!(
            stakker,
            Entry::init(
                clock,
                Admission::new(),
                searcher,
                runner,
                control.clone(),
                Arc::clone(&metrics)
            ),
            ret_nop!()
        );
        let links = ActorLinks {
            entry: entry.clone(),
            owner: owner.clone(),
        };
        call!([control], link(links));
        Actors {
            control,
            entry,
            owner,
        }
    }
}

fn listen_error(field: &str, address: SocketAddr) -> String {
    format!("can't listen on {address}, which the settings give as {field}")
}

/// Returns the address under which other instances reach this one: the `instances_advertise` setting
/// or, without it, the bound address. If `instances_listen` has port 0, the bound address has the
/// actual port.
fn advertised_address(settings: &Settings, bound_address: SocketAddr) -> SocketAddr {
    settings.instances_advertise.unwrap_or(bound_address)
}

fn caller_bounds(settings: &Settings) -> CallerBounds {
    let limits = &settings.limits;
    CallerBounds {
        connections: limits.callers_connections,
        header_max_bytes: limits.header_max_bytes,
        header_timeout_ms: limits.header_timeout_ms,
        body_max_bytes: limits.body_max_bytes,
        body_timeout_ms: limits.body_timeout_ms,
        deadline_max_ms: settings.timing.deadline_max_ms,
        threads: limits.callers_threads,
    }
}
