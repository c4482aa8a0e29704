//! Starts and stops an instance that dispatches to upstreams directly.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use hemlockrouter_config::DirectSettings;
use hemlockrouter_edge::Protocol;
use hemlockrouter_member::RegistryTiming;
use hemlockrouter_route::direct::Config;
use hemlockrouter_route::direct::RepeatBound;
use hemlockrouter_route::direct::RouteTable;
use hemlockrouter_route::direct::SearchDivision;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use log::error;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::answer_memory::AnswerMemory;
use super::batches::BatchClient;
use super::callers::CallerServer;
use super::calls::UpstreamClient;
use super::collector::Collector;
use super::follower;
use super::follower::Follower;
use super::member;
use super::member::Member;
use super::mirror::Mirror;
use super::node::Identity;
use super::node::Node;
use super::operators::OperatorServer;
use super::relay::RelayServer;
use super::request_log::RequestLog;
use crate::edge::caller_stream::FIRST_REQUEST_MAX;
use crate::edge::phase::ShutdownPhase;
use crate::instance::ShutdownOutcome;
use crate::metrics::Metrics;
use crate::tasks::TaskMonitor;

/// Fraction of the shutdown time during which connections are still accepted. Meanwhile the
/// platform notices that the instance is not ready.
const SHUTDOWN_ACCEPT_FRACTION: f64 = 0.5;

/// Time by which all requests have got their final answer before the end of the shutdown time, in
/// milliseconds.
const SHUTDOWN_ANSWER_MARGIN_MS: u64 = 500;

/// Time by which the process exits before the end of the shutdown time, in milliseconds.
const SHUTDOWN_EXIT_MARGIN_MS: u64 = 300;

/// Interval at which a shutdown checks whether all callers have their answers.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fraction of `drain_ms` for which an upstream that is leaving may still be used. The rest is
/// reserved for learning that the upstream leaves and for requests in flight.
const LEAVING_UPSTREAM_USE_FRACTION: f64 = 0.4;

/// Interval at which the settings are read, in case they have changed without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time within which an instance tries to know of changes of the registry, in milliseconds.
/// With a shorter one, every copy would be stale before its next update.
const KNOWN_WITHIN_MIN_MS: u64 = 500;

/// When settings are read again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reload {
    /// In any case, since a signal says that they have changed.
    Always,
    /// Only if they have changed since they were read last.
    IfChanged,
}

/// Runs an instance until a signal ends the process. `reload` reads the settings again, and returns
/// `None` if they have not changed: on SIGHUP, once a second, and when a shutdown begins, since they
/// may change without a signal.
///
/// # Errors
///
/// Returns an error that names the port if a port can't be bound.
pub fn run<R>(
    settings: DirectSettings,
    protocol: Rc<dyn Protocol>,
    reload: R,
) -> eyre::Result<ShutdownOutcome>
where
    R: Fn(Reload) -> eyre::Result<Option<DirectSettings>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the event loop")?;
    LocalSet::new().block_on(&runtime, run_instance(settings, protocol, reload))
}

async fn run_instance<R>(
    mut settings: DirectSettings,
    protocol: Rc<dyn Protocol>,
    reload: R,
) -> eyre::Result<ShutdownOutcome>
where
    R: Fn(Reload) -> eyre::Result<Option<DirectSettings>>,
{
    let (phase, phase_rx) = watch::channel(ShutdownPhase::Serving);
    let running = start(&settings, protocol, phase_rx).await?;
    let RunningInstance {
        node,
        member,
        timing: timing_in_use,
        callers,
        tasks,
    } = running;
    info!(
        target: "process",
        instance = settings.name.as_str(),
        zone = settings.zone.as_str(),
        callers = settings.callers_listen.to_string();
        "started"
    );
    let stopped = wait_for_stop(|when| {
        if reload_settings(&mut settings, || reload(when)) {
            node.reconfigure(dispatcher_config(&settings));
            timing_in_use.set(follower_timing(&settings));
        }
    });
    let has_failed = tokio::select! {
        stopped = stopped => stopped.map(|()| false)?,
        _ = tasks.failed() => true,
    };
    info!(target: "process", open = callers.open_connections.get(); "shutting down");
    phase.send_replace(ShutdownPhase::Draining);
    tokio::task::spawn_local(async move { member.leave().await });
    let outcome = shut_down(&settings, &callers, &phase).await;
    info!(target: "process", open = callers.open_connections.get(), pending = node.pending(); "stopped");
    Ok(match has_failed {
        true => ShutdownOutcome::Failed,
        false => outcome,
    })
}

/// Parts of a running instance that a reload or a shutdown uses.
struct RunningInstance {
    node: Rc<Node>,
    member: Rc<Member>,
    /// Timing of the registry follower.
    timing: Rc<Cell<RegistryTiming>>,
    callers: Rc<CallerServer>,
    tasks: TaskMonitor,
}

/// Binds the ports and starts the tasks.
async fn start(
    settings: &DirectSettings,
    protocol: Rc<dyn Protocol>,
    phase: watch::Receiver<ShutdownPhase>,
) -> eyre::Result<RunningInstance> {
    let clock = Clock::new();
    let callers_listener = bind("callers_listen", settings.callers_listen).await?;
    let ready_listener = bind("ready_listen", settings.ready_listen).await?;
    let relay_listener = bind_optional("relay", settings.relay_listen).await;
    let identity = Rc::new(identity(settings, relay_listener.is_some()));
    let memory = AnswerMemory::new(settings.memory_bytes);
    let calls = UpstreamClient::new(clock, Rc::clone(&protocol), memory.clone());
    let batches = BatchClient::new(clock, memory);
    let node = Node::new(
        dispatcher_config(settings),
        Rc::clone(&identity),
        clock,
        calls,
        batches,
    );
    let tasks = TaskMonitor::default();
    let timer_node = Rc::clone(&node);
    tasks.spawn_permanent("timer", async move { timer_node.run_timer().await });
    let metrics = Rc::new(Metrics::new());
    let mirror = Rc::new(Mirror::new(clock, &settings.name));
    let log = Rc::new(RequestLog {
        metrics: Rc::clone(&metrics),
    });
    let timing = Rc::new(Cell::new(follower_timing(settings)));
    let (follower, offers) = Follower::new(follower::FollowerParts {
        identity: Rc::clone(&identity),
        clock,
        timing: Rc::clone(&timing),
        registry_address: settings.registry_address,
        protocol: Rc::clone(&protocol),
        node: Rc::clone(&node),
        mirror: Rc::clone(&mirror),
        tasks: tasks.clone(),
    });
    tasks.spawn_permanent("follower", follower.run());
    let member = Rc::new(Member::new(member::MemberParts {
        identity,
        clock,
        registry_address: settings.registry_address,
        protocol: Rc::clone(&protocol),
        node: Rc::clone(&node),
        mirror: Rc::clone(&mirror),
    }));
    let registered_member = Rc::clone(&member);
    tasks.spawn_permanent("member", async move {
        registered_member.keep_registered().await;
    });
    if let Some(listener) = relay_listener {
        let relay = Rc::new(RelayServer {
            mirror: Rc::clone(&mirror),
            collector: Rc::new(Collector {
                node: Rc::clone(&node),
                log: Rc::clone(&log),
                phase: phase.clone(),
            }),
            member: Rc::clone(&member),
            offers,
            zones: settings.zones.keys().cloned().collect(),
        });
        tasks.spawn_permanent("relay", relay.accept(listener));
    }
    let operators = Rc::new(OperatorServer {
        node: Rc::clone(&node),
        metrics,
        phase: phase.clone(),
        mirror,
    });
    serve_metrics(settings, &operators, &tasks).await;
    tasks.spawn_permanent("operators", operators.accept(ready_listener));
    let callers = Rc::new(CallerServer {
        node: Rc::clone(&node),
        protocol,
        log,
        phase,
        is_port_open: Cell::new(true),
        open_connections: Cell::new(0),
    });
    tasks.spawn_permanent("callers", Rc::clone(&callers).accept(callers_listener));
    Ok(RunningInstance {
        node,
        member,
        timing,
        callers,
        tasks,
    })
}

/// Returns the identity of this instance. An instance without a relay port can't be followed and
/// collects no batches for others.
fn identity(settings: &DirectSettings, has_relay: bool) -> Identity {
    Identity {
        entry: InstanceEntry {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            relay: settings.relay_listen.filter(|_| has_relay),
            cpu_permille: settings.cpu_permille,
            registered_by: None,
        },
        seeds: settings.seeds.clone(),
    }
}

async fn bind(field: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener
        .wrap_err_with(|| format!("can't listen on {address}, which the settings give as {field}"))
}

/// Binds an optional port if the settings name it. A failure is logged and returns `None`.
async fn bind_optional(port: &str, address: Option<SocketAddr>) -> Option<TcpListener> {
    let address = address?;
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(err) => {
            let address = address.to_string();
            warn!(target: "process", address = address, why = err.to_string(); "no {port}");
            None
        }
    }
}

/// Serves metrics on a separate port if the settings name one. If the port can't be bound, the
/// instance runs without metrics, since that is better than no instance.
async fn serve_metrics(
    settings: &DirectSettings,
    operators: &Rc<OperatorServer>,
    tasks: &TaskMonitor,
) {
    if let Some(listener) = bind_optional("metrics", settings.metrics_listen).await {
        tasks.spawn_permanent("metrics", Rc::clone(operators).accept(listener));
    }
}

/// Reads the settings again, and returns whether a setting changed that can be applied while the
/// instance runs. Invalid settings change nothing.
fn reload_settings<R>(settings: &mut DirectSettings, reload: R) -> bool
where
    R: FnOnce() -> eyre::Result<Option<DirectSettings>>,
{
    let reloaded = match reload() {
        Ok(Some(reloaded)) => reloaded,
        Ok(None) => return false,
        Err(err) => {
            error!(target: "process", why = format!("{err:#}"); "settings not reloaded");
            return false;
        }
    };
    let changed = settings.diff(&reloaded);
    info!(target: "process", changed = changed.live.join(" "); "settings reloaded");
    if !changed.fixed.is_empty() {
        let fixed = changed.fixed.join(" ");
        warn!(target: "process", fields = fixed; "changed settings need a restart");
    }
    settings.apply_reload(&reloaded);
    !changed.live.is_empty()
}

/// Waits for a signal that ends the process. Calls `reload` on each SIGHUP, at intervals, and when the
/// process is to end: the time for the shutdown may have changed without a signal.
async fn wait_for_stop<F>(mut reload: F) -> eyre::Result<()>
where
    F: FnMut(Reload),
{
    let mut terminate = signal(SignalKind::terminate()).wrap_err("can't wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't wait for SIGINT")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("can't wait for SIGHUP")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(Reload::Always),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => reload(Reload::IfChanged),
        }
    }
    reload(Reload::IfChanged);
    Ok(())
}

/// Keeps accepting requests for a part of the shutdown time, then closes the callers' connections,
/// idle ones first, and their port once they open no more. Requests that have not ended shortly
/// before the shutdown time is over get their final answer then. Waits until all connections are
/// closed and all requests have ended, or the shutdown time is over.
async fn shut_down(
    settings: &DirectSettings,
    callers: &CallerServer,
    phase: &watch::Sender<ShutdownPhase>,
) -> ShutdownOutcome {
    let started_at = Instant::now();
    let answer_timeout_ms = settings
        .shutdown_ms
        .saturating_sub(SHUTDOWN_ANSWER_MARGIN_MS);
    callers.node.start_shutdown(answer_timeout_ms);
    let accept_period_ms = (settings.shutdown_ms as f64 * SHUTDOWN_ACCEPT_FRACTION) as u64;
    tokio::time::sleep(Duration::from_millis(accept_period_ms)).await;
    phase.send_replace(ShutdownPhase::Closing {
        port_open_until: started_at + port_open_period(&callers.node.table(), answer_timeout_ms),
    });
    let drain_timeout =
        Duration::from_millis(settings.shutdown_ms.saturating_sub(SHUTDOWN_EXIT_MARGIN_MS));
    while callers.is_open() || callers.node.pending() > 0 {
        if started_at.elapsed() >= drain_timeout {
            return ShutdownOutcome::TimedOut;
        }
        if callers.node.shutdown_left_ms() == Some(0) && callers.node.pending() > 0 {
            let pending = callers.node.pending();
            warn!(target: "process", pending = pending; "the last requests get their final answer");
            callers.node.time_out_all();
        }
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    ShutdownOutcome::Finished
}

/// Returns the longest time for which a shutdown accepts connections: as long as there is time to
/// send a first request and to get its answer within the shortest target latency.
fn port_open_period(table: &RouteTable, answer_timeout_ms: u64) -> Duration {
    let answer_timeout = Duration::from_millis(answer_timeout_ms);
    let target_latency = Duration::from_millis(table.target_latency_min_ms());
    answer_timeout.saturating_sub(target_latency + FIRST_REQUEST_MAX)
}

/// Returns the timing of the registry follower. Changes must be known within the shortest of the
/// bounds that start at the registry's acknowledgement.
fn follower_timing(settings: &DirectSettings) -> RegistryTiming {
    let bounds_ms = [
        settings.in_force_ms,
        settings.evacuate_ms,
        settings.drain_ms,
    ];
    let bound_ms = bounds_ms
        .into_iter()
        .min()
        .expect("the array has three bounds");
    RegistryTiming::new(bound_ms.max(KNOWN_WITHIN_MIN_MS), settings.catch_up_ms)
}

/// Returns the dispatcher's configuration.
fn dispatcher_config(settings: &DirectSettings) -> Config {
    Config {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
        repeat_bound: RepeatBound {
            ratio: settings.repeat_ratio,
            allowance: settings.repeat_allowance,
            window_ms: settings.repeat_window_ms,
        },
        cold_limit_factor: settings.cold_overage,
        cold_limit_extra_per_s: settings.cold_slack,
        linger_ms: (settings.drain_ms as f64 * LEAVING_UPSTREAM_USE_FRACTION) as u64,
        drain_ms: settings.drain_ms,
        search_division: SearchDivision {
            shards_min: settings.sharing_parts_min,
            shards_per_instance: settings.sharing_parts_each,
        },
    }
}
