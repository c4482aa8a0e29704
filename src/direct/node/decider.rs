//! The actor that makes the dispatch decisions: passes events and registry changes to the
//! dispatcher, and executes the dispatcher's commands.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;

use hemlockrouter_edge::BatchCall;
use hemlockrouter_edge::EntryChange;
use hemlockrouter_route::direct::BatchOutcome;
use hemlockrouter_route::direct::BatchReport;
use hemlockrouter_route::direct::CallId;
use hemlockrouter_route::direct::CallOutcome;
use hemlockrouter_route::direct::Command;
use hemlockrouter_route::direct::Config;
use hemlockrouter_route::direct::Dispatcher;
use hemlockrouter_route::direct::Explanation;
use hemlockrouter_route::direct::Notice;
use hemlockrouter_route::direct::RegistrationChange;
use hemlockrouter_route::direct::RequestId;
use hemlockrouter_route::direct::Route;
use hemlockrouter_route::direct::Status;
use hemlockrouter_route::direct::Summary;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::RegistryAccess;
use hemlockrouter_types::routing::RouteDocument;
use hemlockrouter_types::routing::UpstreamEntry;
use log::info;
use log::warn;
use stakker::CX;

use super::upstream_log::LoggedUpstream;
use super::upstream_log::UpstreamChanges;
use super::FinishedRequest;
use super::Identity;
use super::Node;
use super::ReplyTo;
use super::SharedState;
use crate::direct::calls::UpstreamCall;
use crate::direct::collector::BatchEvent;

/// Actor that owns the dispatcher and executes its commands.
pub(super) struct Decider {
    dispatcher: Dispatcher,
    shared: Rc<SharedState>,
    node: Weak<Node>,
    commands: Vec<Command>,
    /// Upstream changes to log after the current registry changes are applied.
    upstream_changes: UpstreamChanges,
}

/// Arguments from which a [`Decider`] is created.
pub(super) type DeciderParts = (Dispatcher, Rc<SharedState>, Weak<Node>);

impl Decider {
    pub(super) fn init(_: CX![], parts: DeciderParts) -> Option<Decider> {
        let (dispatcher, shared, node) = parts;
        Some(Decider {
            dispatcher,
            shared,
            node,
            commands: Vec::new(),
            upstream_changes: UpstreamChanges::default(),
        })
    }

    pub(super) fn start(&mut self, _: CX![], id: RequestId, route: Rc<Route>, deadline_ms: u64) {
        let now = self.shared.clock.now();
        let commands = &mut self.commands;
        self.dispatcher.start(now, id, route, deadline_ms, commands);
        self.execute_commands();
    }

    pub(super) fn start_batch(&mut self, _: CX![], id: RequestId, batch: Batch, left_ms: u64) {
        let now = self.shared.clock.now();
        let commands = &mut self.commands;
        self.dispatcher
            .start_batch(now, id, batch, left_ms, commands);
        self.execute_commands();
    }

    pub(super) fn handle_collected(&mut self, _: CX![], id: CallId, collected: BatchReport) {
        let now = self.shared.clock.now();
        let commands = &mut self.commands;
        self.dispatcher
            .handle_batch_report(now, id, collected, commands);
        self.execute_commands();
    }

    pub(super) fn handle_batch_end(&mut self, _: CX![], id: CallId, outcome: BatchOutcome) {
        let now = self.shared.clock.now();
        self.dispatcher
            .batch_ended(now, id, outcome, &mut self.commands);
        self.execute_commands();
    }

    pub(super) fn handle_notice(&mut self, _: CX![], id: CallId, key: UpstreamKey, notice: Notice) {
        let now = self.shared.clock.now();
        let commands = &mut self.commands;
        let is_new = self
            .dispatcher
            .handle_notice(now, id, key, &notice, commands);
        let upstream = self.dispatcher.upstreams().get(key);
        if let (true, Some(upstream)) = (is_new, upstream) {
            info!(
                target: "belief",
                upstream = upstream.entry.id.as_str(),
                leaving = notice.leaving,
                rest_ms = notice.rest_ms;
                "upstream says of itself"
            );
        }
        self.execute_commands();
    }

    pub(super) fn handle_call_end(&mut self, _: CX![], id: CallId, outcome: CallOutcome) {
        let now = self.shared.clock.now();
        self.dispatcher
            .call_ended(now, id, outcome, &mut self.commands);
        self.execute_commands();
    }

    pub(super) fn handle_abandoned(&mut self, _: CX![], id: RequestId) {
        let now = self.shared.clock.now();
        let has_ended = self
            .dispatcher
            .handle_caller_disconnect(now, id, &mut self.commands);
        self.execute_commands();
        if has_ended {
            self.shared.pending_requests.borrow_mut().remove(&id);
        }
    }

    pub(super) fn tick(&mut self, _: CX![]) {
        let now = self.shared.clock.now();
        self.dispatcher.tick(now, &mut self.commands);
        self.execute_commands();
        let upstreams = self.dispatcher.upstreams();
        self.shared
            .calls
            .close_stale(|key| upstreams.get(key).is_some());
        self.shared.batches.close_stale();
    }

    pub(super) fn apply_changes(
        &mut self,
        _: CX![],
        changes: Vec<EntryChange>,
        is_whole: bool,
        staleness_ms: u64,
    ) {
        let now = self.shared.clock.now();
        self.dispatcher
            .upstreams_mut()
            .set_registry_silence_ms(staleness_ms);
        if is_whole {
            self.remove_unlisted(now, &changes);
        }
        self.upstream_changes = UpstreamChanges::default();
        for change in changes {
            self.apply_change(now, change);
        }
        std::mem::take(&mut self.upstream_changes).write();
        if is_whole && !self.shared.is_loaded.replace(true) {
            self.dispatcher.upstreams_mut().record_first_read(now);
            self.log_first_read();
        }
        self.set_timer();
    }

    pub(super) fn time_out_all(&mut self, _: CX![]) {
        let now = self.shared.clock.now();
        self.dispatcher.time_out_all(now, &mut self.commands);
        self.execute_commands();
    }

    pub(super) fn reconfigure(&mut self, _: CX![], config: Config) {
        self.dispatcher.reconfigure(config);
    }

    pub(super) fn registry_access(&mut self, _: CX![], identity: Rc<Identity>) -> RegistryAccess {
        let now = self.shared.clock.now();
        let instances = self.dispatcher.upstreams().instances();
        instances.registry_access(now, &identity.entry, &identity.seeds)
    }

    pub(super) fn first_readers(&mut self, _: CX![], zone: String) -> Vec<InstanceEntry> {
        self.dispatcher.upstreams().instances().first_readers(&zone)
    }

    pub(super) fn registrars(&mut self, _: CX![]) -> HashMap<String, String> {
        let instances = self.dispatcher.upstreams().instances();
        let names = instances.names().filter_map(|name| {
            let registrar = instances.registrar_of(name)?;
            Some((String::from(name), String::from(registrar)))
        });
        names.collect()
    }

    pub(super) fn status(&mut self, _: CX![]) -> Status {
        self.dispatcher.status(self.shared.clock.now())
    }

    pub(super) fn explain(&mut self, _: CX![], host: String, path: String) -> Option<Explanation> {
        let now = self.shared.clock.now();
        self.dispatcher.explain(now, &host, &path)
    }

    /// Removes all upstreams and instances that are not in `changes`, and resets the availability
    /// zones.
    fn remove_unlisted(&mut self, now: Time, changes: &[EntryChange]) {
        let upstreams = self.dispatcher.upstreams_mut();
        upstreams.restore_all_zones();
        let ids = changes.iter().filter_map(|change| match change {
            EntryChange::Upstream(entry) => Some(entry.id.clone()),
            _ => None,
        });
        upstreams.retain_registered(now, &ids.collect());
        let names = changes.iter().filter_map(|change| match change {
            EntryChange::Instance(entry) => Some(entry.name.as_str()),
            _ => None,
        });
        upstreams.instances_mut().retain_registered(now, names);
    }

    fn apply_change(&mut self, now: Time, change: EntryChange) {
        match change {
            EntryChange::Routes(document) => self.apply_routes(document),
            EntryChange::Zone { zone, out } => {
                self.dispatcher.upstreams_mut().evacuate(&zone, out);
                info!(target: "belief", zone = zone.as_str(), out = out; "availability zone");
            }
            EntryChange::Upstream(entry) => self.register(now, entry),
            EntryChange::UpstreamGone { id } => {
                self.dispatcher.upstreams_mut().unregister(now, &id);
                self.upstream_changes.unregistered.push(id);
            }
            EntryChange::Instance(entry) => {
                let name = entry.name.clone();
                let instances = self.dispatcher.upstreams_mut().instances_mut();
                if instances.add_instance(now, entry) && self.shared.is_loaded.get() {
                    self.log_instance(&name, true);
                }
            }
            EntryChange::InstanceGone { name } => {
                let instances = self.dispatcher.upstreams_mut().instances_mut();
                instances.mark_removed(now, &name);
                self.log_instance(&name, false);
            }
            EntryChange::Unreadable { key, upstream, why } => {
                warn!(target: "belief", key = key.as_str(), why = why.as_str(); "unreadable entry");
                if let Some(id) = upstream {
                    self.dispatcher.upstreams_mut().unregister(now, &id);
                }
            }
        }
    }

    fn apply_routes(&mut self, document: RouteDocument) {
        let version = document.version;
        let limits = document.limits;
        let unreadable = document.unreadable.clone();
        if !self.dispatcher.install_routes(document) {
            let in_force = self.dispatcher.route_table().version();
            info!(target: "belief", version = version, in_force = in_force; "routes not newer");
            return;
        }
        let table = Rc::clone(self.dispatcher.route_table());
        info!(target: "belief", version = version, routes = table.len(); "routes in force");
        for why in unreadable {
            warn!(target: "belief", version = version, why = why; "unreadable part of a version");
        }
        self.shared.limits.send_if_modified(|in_force| {
            let has_changed = *in_force != limits;
            *in_force = limits;
            has_changed
        });
        self.shared.table.replace(table);
    }

    fn register(&mut self, now: Time, entry: UpstreamEntry) {
        let id = entry.id.clone();
        let service = entry.service.clone();
        let draining = entry.draining;
        let cold_ms = entry.cold_ms;
        let registration_change = self.dispatcher.upstreams_mut().register(now, entry);
        if registration_change != RegistrationChange::Same && self.shared.is_loaded.get() {
            self.upstream_changes.upstreams.push(LoggedUpstream {
                id,
                service,
                draining,
                cold_ms,
                registration_change,
            });
        }
    }

    /// Logs a summary of the first read. One line suffices, because an instance that starts under
    /// load has no time to write one line per entry.
    fn log_first_read(&self) {
        let upstreams = self.dispatcher.upstreams();
        let version = self.dispatcher.route_table().version();
        info!(
            target: "belief",
            version = version,
            upstreams = upstreams.len(),
            instances = upstreams.instances().count();
            "registry read"
        );
    }

    fn log_instance(&self, name: &str, present: bool) {
        let count = self.dispatcher.upstreams().instances().count();
        info!(target: "belief", instance = name, present = present, count = count; "instance");
    }

    /// Executes the dispatcher's commands.
    fn execute_commands(&mut self) {
        let commands = std::mem::take(&mut self.commands);
        for command in commands {
            match command {
                Command::Send {
                    request,
                    call,
                    upstream,
                    deadline,
                } => self.send_call(request, call, upstream, deadline),
                Command::Delegate {
                    request,
                    call,
                    peer,
                    batch,
                    deadline,
                } => self.send_batch(request, call, peer, batch, deadline),
                Command::Report { request, collected } => self.send_collected(request, collected),
                Command::Cancel { call } => {
                    if let Some(running) = self.shared.running_calls.borrow_mut().remove(&call) {
                        running.abort();
                    }
                }
                Command::Release { call } => {
                    self.shared.running_calls.borrow_mut().remove(&call);
                }
                Command::EndBatch { request, summary } => self.end_batch(request, summary),
                Command::Finish {
                    request,
                    request_result,
                    summary,
                } => {
                    let pending_request =
                        self.shared.pending_requests.borrow_mut().remove(&request);
                    if let Some(ReplyTo::Caller(caller)) =
                        pending_request.map(|pending_request| pending_request.reply_to)
                    {
                        // Sending fails if the caller has disconnected, which needs no handling.
                        let _ = caller.send(FinishedRequest {
                            request_result,
                            summary,
                        });
                    }
                }
            }
        }
        self.set_timer();
    }

    /// Sends collected results to the instance that requested the batch.
    fn send_collected(&self, request: RequestId, collected: BatchReport) {
        let pending_request = self.shared.pending_requests.borrow();
        let reply_to = pending_request
            .get(&request)
            .map(|pending_request| &pending_request.reply_to);
        if let Some(ReplyTo::Peer(events)) = reply_to {
            // Sending fails if the instance has cancelled the call, which needs no handling.
            let _ = events.send(BatchEvent::Report(collected));
        }
    }

    fn end_batch(&self, request: RequestId, summary: Box<Summary>) {
        let pending_request = self.shared.pending_requests.borrow_mut().remove(&request);
        if let Some(ReplyTo::Peer(events)) =
            pending_request.map(|pending_request| pending_request.reply_to)
        {
            // Sending fails if the instance has cancelled the call, which needs no handling.
            let _ = events.send(BatchEvent::Ended(summary));
        }
    }

    /// Sends a batch to another instance.
    fn send_batch(
        &self,
        request: Option<RequestId>,
        id: CallId,
        peer: SocketAddr,
        batch: Batch,
        deadline: Time,
    ) {
        let left_ms = deadline.remaining_ms(self.shared.clock.now());
        let pending_request = self.shared.pending_requests.borrow();
        let call = match request.and_then(|request| pending_request.get(&request)) {
            Some(pending_request) => BatchCall::new(
                &pending_request.request,
                &pending_request.body,
                batch,
                left_ms,
            ),
            None => BatchCall::probe(batch, left_ms),
        };
        let shared = Rc::clone(&self.shared);
        let node = self.node.clone();
        let task = tokio::task::spawn_local(async move {
            let on_collected = |collected| {
                if let Some(node) = node.upgrade() {
                    node.handle_collected(id, collected);
                }
            };
            let collecting = shared.batches.collect(peer, &call, deadline, on_collected);
            let outcome = collecting.await;
            if let Some(node) = node.upgrade() {
                node.handle_batch_end(id, outcome);
            }
        });
        let running = &self.shared.running_calls;
        running.borrow_mut().insert(id, task.abort_handle());
    }

    fn set_timer(&mut self) {
        let wake_at = self.dispatcher.next_wake();
        self.shared.wake_at.set(wake_at);
    }

    fn send_call(&self, request: RequestId, id: CallId, key: UpstreamKey, deadline: Time) {
        let pending_request = self.shared.pending_requests.borrow();
        let pending_request = pending_request
            .get(&request)
            .expect("a request that is sent is pending");
        let upstreams = self.dispatcher.upstreams();
        let upstream = upstreams.get(key).expect("an upstream was just chosen");
        let call = UpstreamCall {
            request: Rc::clone(&pending_request.request),
            body: pending_request.body.clone(),
            idempotent: pending_request.idempotent,
            upstream: key,
            upstream_id: upstream.entry.id.clone(),
            address: upstream.entry.address,
            deadline,
            idle_connections_max: upstreams.connections_max(key),
        };
        let shared = Rc::clone(&self.shared);
        let node = self.node.clone();
        let task = tokio::task::spawn_local(async move {
            let on_notice = |notice| {
                if let Some(node) = node.upgrade() {
                    node.handle_notice(id, key, notice);
                }
            };
            let outcome = shared.calls.call(call, on_notice).await;
            if let Some(node) = node.upgrade() {
                node.handle_call_end(id, outcome);
            }
        });
        let running = &self.shared.running_calls;
        running.borrow_mut().insert(id, task.abort_handle());
    }
}
