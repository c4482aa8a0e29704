//! Control: membership, ownership leases and configuration, and the way to other instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_config::accept;
use hemlockrouter_config::Base;
use hemlockrouter_member::Command;
use hemlockrouter_member::Listed;
use hemlockrouter_member::Member;
use hemlockrouter_member::To;
use hemlockrouter_route::Claim;
use hemlockrouter_route::ShardChoice;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::ForwardEnded;
use hemlockrouter_wire::run::RunMessage;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::Cancel;
use hemlockrouter_wire::Envelope;
use hemlockrouter_wire::Message;
use hemlockrouter_wire::RunSub;
use hemlockrouter_wire::SearchBatch;
use hemlockrouter_wire::SearchSub;
use hemlockrouter_wire::SubOutcome;
use hemlockrouter_wire::SubReply;
use log::error;
use log::info;
use serde_json::json;
use stakker::call;
use stakker::timer_min;
use stakker::Actor;
use stakker::MinTimerKey;
use stakker::CX;

use crate::edge::tiny::Answer;
use crate::log_line;
use crate::node::entry::Entry;
use crate::node::operator::OperatorCall;
use crate::node::operator::OperatorReply;
use crate::node::operator::Question;
use crate::node::owner::Owner;
use crate::node::status::Shared;
use crate::node::status::Status;
use crate::node::Event;
use crate::node::Mailbox;
use crate::outbound::peers::Lost;
use crate::outbound::peers::Peers;
use crate::outbound::peers::Undeliverable;
use crate::outbound::platform::Platform;
use crate::outbound::platform::StoreRead;

/// When to come back after the owner of an upstream could not be reached, in milliseconds.
const RETRY_MS: u32 = 200;

/// How many instances that membership does not know are remembered.
const STRANGERS_MAX: usize = 1_024;

/// The actor that keeps membership and configuration.
pub(crate) struct Control {
    parts: ControlParts,
    catalog: Arc<Catalog>,
    links: Option<Links>,
    /// Where instances take answers that asked something before membership told of them.
    strangers: BTreeMap<InstanceId, SocketAddr>,
    commands: Vec<Command>,
    timer: MinTimerKey,
}

/// What the actor is made of.
pub(crate) struct ControlParts {
    pub(crate) clock: Clock,
    pub(crate) me: InstanceId,
    pub(crate) zone: String,
    pub(crate) member: Member,
    pub(crate) peers: Peers,
    pub(crate) platform: Platform,
    pub(crate) shared: Arc<Shared>,
    pub(crate) mailbox: Mailbox,
}

/// The other actors, which are made after this one.
#[derive(Clone)]
pub(crate) struct Links {
    pub(crate) entry: Actor<Entry>,
    pub(crate) owner: Actor<Owner>,
}

impl Control {
    /// Makes the actor.
    pub(crate) fn init(_: CX![], parts: ControlParts) -> Option<Control> {
        Some(Control {
            parts,
            catalog: Arc::default(),
            links: None,
            strangers: BTreeMap::new(),
            commands: Vec::new(),
            timer: MinTimerKey::default(),
        })
    }

    /// Takes the other actors and starts.
    pub(crate) fn link(&mut self, cx: CX![], links: Links) {
        self.links = Some(links);
        self.tick(cx);
    }

    fn links(&self) -> &Links {
        self.links
            .as_ref()
            .expect("the actors are linked before any event")
    }

    /// Answers a question of an operator, or passes it on to who can.
    pub(crate) fn operator(&mut self, cx: CX![], call: OperatorCall) {
        let reply = call.reply;
        match call.question {
            Question::Probe => {
                self.probe_all(cx);
                reply.send(Answer::empty(204));
            }
            Question::Status => {
                let now = self.parts.clock.now();
                let status = Status::new(
                    self.parts.me,
                    &self.parts.zone,
                    &self.parts.member,
                    &self.catalog,
                    &self.parts.shared,
                    now,
                );
                call!([self.links().owner], add_status(status, reply));
            }
            Question::Explain { customer, search } => {
                let customer_key = self.catalog.find_customer(&customer);
                let search_key =
                    customer_key.and_then(|customer| self.catalog.find_search(customer, &search));
                match customer_key.zip(search_key) {
                    Some((customer, search)) => {
                        call!([self.links().entry], explain(customer, search, reply));
                    }
                    None => reply.send(Answer::text(404, "no such customer or search")),
                }
            }
            Question::Drain { instance } => self.drain(cx, &instance, &reply),
        }
    }

    /// Has an instance shut down.
    fn drain(&mut self, _: CX![], instance: &str, reply: &OperatorReply) {
        let id = u64::from_str_radix(instance, 16).map(InstanceId);
        match id {
            Ok(id) if id == self.parts.me => self.parts.mailbox.put_soon(Event::Shutdown),
            Ok(id) if self.parts.member.peer(id).is_some() => self.send_to(id, Message::Drain),
            _ => {
                reply.send(Answer::text(
                    404,
                    "no such instance; status lists their ids",
                ));
                return;
            }
        }
        info!(target: "decision", instance = instance; "drain asked for by an operator");
        reply.send(Answer::empty(202));
    }

    /// Completes the explanation of a search with the owners of the upstreams.
    pub(crate) fn explained(&mut self, _: CX![], choices: Vec<ShardChoice>, reply: OperatorReply) {
        let name = |key: UpstreamKey| {
            self.catalog
                .upstreams
                .get(key)
                .map(|upstream| upstream.name.as_str())
        };
        let shards: Vec<serde_json::Value> = choices
            .iter()
            .map(|choice| {
                let owner = choice
                    .chosen
                    .and_then(|key| self.parts.member.owner_of(key));
                let passed_over: Vec<serde_json::Value> = choice
                    .passed_over
                    .iter()
                    .map(|other| json!({ "upstream": name(other.upstream), "why": other.why }))
                    .collect();
                json!({
                    "shard": choice.name,
                    "upstream": choice.chosen.and_then(name),
                    "owner": owner.map(|owner| owner.to_string()),
                    "why": choice.why,
                    "passed_over": passed_over,
                })
            })
            .collect();
        let body = json!({ "config": self.catalog.number, "shards": shards });
        reply.send(Answer::json(200, &body));
    }

    /// Takes messages of another instance.
    pub(crate) fn envelope(&mut self, cx: CX![], envelope: Envelope) {
        let now = self.parts.clock.now();
        let from = envelope.from;
        if let (None, Some(address)) = (self.parts.member.peer(from), envelope.reply_to) {
            self.strangers.insert(from, address);
        }
        self.parts.member.heard(now, from);
        for message in envelope.messages {
            self.message(now, from, message);
        }
        self.execute(cx, now);
    }

    fn message(&mut self, now: Time, from: InstanceId, message: Message) {
        let links = self.links().clone();
        match message {
            Message::Search(batch) => call!([links.owner], search(batch)),
            Message::Run(sub) => call!([links.owner], run(sub)),
            Message::Reply(reply) => call!([links.entry], reply(reply)),
            Message::Cancel(cancel) => call!([links.owner], cancel(cancel.ids)),
            Message::Forward(RunMessage::Forward(run)) => {
                call!([links.entry], forward(from, run));
            }
            Message::Forward(RunMessage::Ended(ended)) => {
                call!([links.entry], forward_ended(ended.id, ended.outcome));
            }
            Message::Drain => self.parts.mailbox.put_soon(Event::Shutdown),
            Message::Member(message) => {
                self.parts
                    .member
                    .receive(now, from, message, &mut self.commands);
            }
            Message::Lease(message) => {
                self.parts
                    .member
                    .receive_lease(now, from, message, &mut self.commands);
            }
            Message::Relay(message) => {
                self.parts
                    .member
                    .receive_relay(now, from, message, &mut self.commands);
            }
        }
    }

    /// Sends the sub-requests of a plan to the owners of their upstreams.
    pub(crate) fn search(&mut self, _: CX![], batch: SearchBatch) {
        let mut by_owner: BTreeMap<InstanceId, Vec<SearchSub>> = BTreeMap::new();
        for sub in &batch.subs {
            match self.parts.member.owner_of(sub.upstream) {
                Some(owner) => by_owner.entry(owner).or_default().push(*sub),
                None => self.refuse_search(&batch, sub, Reason::NotOwner),
            }
        }
        for (owner, subs) in by_owner {
            let batch = SearchBatch {
                subs,
                ..batch.clone()
            };
            self.send_to(owner, Message::Search(batch));
        }
    }

    fn refuse_search(&self, batch: &SearchBatch, sub: &SearchSub, reason: Reason) {
        let id = SubId {
            origin: batch.query.origin,
            seq: sub.seq,
        };
        self.reply_here(id, refuse(reason));
    }

    /// Sends a sub-request that must not be repeated to the owner of its upstream.
    pub(crate) fn run(&mut self, _: CX![], sub: RunSub) {
        match self.parts.member.owner_of(sub.upstream) {
            Some(owner) => self.send_to(owner, Message::Run(sub)),
            None => self.reply_here(sub.id, refuse(Reason::NotOwner)),
        }
    }

    /// Sends a cancellation to the owner of `upstream`.
    pub(crate) fn cancel(&mut self, _: CX![], upstream: UpstreamKey, cancel: Cancel) {
        if let Some(owner) = self.parts.member.owner_of(upstream) {
            self.send_to(owner, Message::Cancel(cancel));
        }
    }

    /// Sends the end of a sub-request to the instance that sent it.
    pub(crate) fn reply(&mut self, _: CX![], reply: SubReply) {
        self.send_to(reply.id.origin, Message::Reply(reply));
    }

    /// Sends a message to an instance.
    pub(crate) fn send(&mut self, _: CX![], to: InstanceId, message: Message) {
        self.send_to(to, message);
    }

    /// Has a claim settled by the store.
    pub(crate) fn claim(&mut self, _: CX![], id: QueryId, key: String, claim: Claim) {
        if let Err(unsettled) = self.parts.platform.claim(id, key, claim) {
            call!([self.links().entry], claimed(id, unsettled));
        }
    }

    /// Hands a message to its receiver, which may be this instance.
    fn send_to(&mut self, to: InstanceId, message: Message) {
        if to == self.parts.me {
            self.message(self.parts.clock.now(), to, message);
            return;
        }
        let known = self.parts.member.peer(to).map(|peer| peer.address);
        let Some(address) = known.or_else(|| self.strangers.get(&to).copied()) else {
            self.not_delivered(Some(to), message, false);
            return;
        };
        if let Err(message) = self.parts.peers.send(Some(to), address, message) {
            self.not_delivered(Some(to), message, false);
        }
    }

    /// Takes messages that did not arrive, or may not have.
    pub(crate) fn undeliverable(&mut self, cx: CX![], lost: Undeliverable) {
        let now = self.parts.clock.now();
        if lost.why == Lost::Refused {
            match lost.to {
                Some(to) => self.parts.member.undeliverable(now, to, &mut self.commands),
                None => self.parts.member.address_refused(now, lost.address),
            }
        }
        for message in lost.messages {
            self.not_delivered(lost.to, message, lost.why == Lost::Unanswered);
        }
        self.execute(cx, now);
    }

    /// Ends what waits for the answer to a message that did not arrive, or may not have.
    fn not_delivered(&mut self, to: Option<InstanceId>, message: Message, maybe: bool) {
        let outcome = || {
            if maybe {
                SubOutcome::Failed
            } else {
                refuse(Reason::Unreachable)
            }
        };
        match message {
            Message::Search(batch) => {
                for sub in &batch.subs {
                    let id = SubId {
                        origin: batch.query.origin,
                        seq: sub.seq,
                    };
                    self.reply_here(id, outcome());
                }
            }
            Message::Run(sub) => self.reply_here(sub.id, outcome()),
            Message::Forward(RunMessage::Forward(run)) => {
                // An earlier try with the same ticket may have run, so that "not run" could be
                // untrue even though this message did not arrive.
                info!(target: "decision", id = run.id.to_string(), to = format!("{to:?}");
                    "the instance that may run the request can't be reached");
                let outcome = RunOutcome::Unknown;
                call!([self.links().entry], forward_ended(run.id, outcome));
            }
            // Answers and control messages are not repeated: whoever waits for them asks again or
            // stops waiting by itself.
            Message::Reply(_)
            | Message::Cancel(_)
            | Message::Forward(RunMessage::Ended(ForwardEnded { .. }))
            | Message::Member(_)
            | Message::Lease(_)
            | Message::Relay(_)
            | Message::Drain => {}
        }
    }

    /// Ends a sub-request that this instance sent.
    fn reply_here(&self, id: SubId, outcome: SubOutcome) {
        let reply = SubReply {
            id,
            outcome,
            queued_ms: 0,
            served_ms: 0,
        };
        call!([self.links().entry], reply(reply));
    }

    /// Takes what was read from the store.
    pub(crate) fn store_read(&mut self, cx: CX![], read: StoreRead) {
        let now = self.parts.clock.now();
        self.parts
            .member
            .stored(now, read.notes, read.base, &mut self.commands);
        self.execute(cx, now);
    }

    /// Takes the platform's list of instances.
    pub(crate) fn listed(&mut self, cx: CX![], list: Vec<Listed>) {
        let now = self.parts.clock.now();
        self.parts.member.listed(now, list, &mut self.commands);
        self.execute(cx, now);
        self.forget_addresses();
    }

    /// Forgets the addresses of instances that are gone, and of those that membership knows by now.
    fn forget_addresses(&mut self) {
        let member = &self.parts.member;
        self.strangers.retain(|id, _| member.peer(*id).is_none());
        if self.strangers.len() > STRANGERS_MAX {
            self.strangers.clear();
        }
        let member = &self.parts.member;
        let known: BTreeSet<SocketAddr> = member.table().map(|row| row.peer.address).collect();
        self.parts.peers.retain(|address| known.contains(&address));
    }

    /// Asks all instances for their configuration numbers.
    pub(crate) fn probe_all(&mut self, cx: CX![]) {
        let now = self.parts.clock.now();
        self.parts.member.probe_all(now, &mut self.commands);
        self.execute(cx, now);
    }

    /// Starts to leave: hands owned upstreams over.
    pub(crate) fn leave(&mut self, cx: CX![]) {
        let now = self.parts.clock.now();
        self.parts.member.leave(now, &mut self.commands);
        self.execute(cx, now);
    }

    /// Tells whether all owned upstreams were handed over, and if so has the member tell its end.
    pub(crate) fn tell_left(&mut self, cx: CX![], shared: Arc<Shared>) {
        let left = self.parts.member.left();
        if left {
            self.tick(cx);
        }
        shared.set_left(left);
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = self.parts.clock.now();
        self.parts.member.tick(now, &mut self.commands);
        self.execute(cx, now);
    }

    /// Carries out what the member decided.
    fn execute(&mut self, cx: CX![], now: Time) {
        while !self.commands.is_empty() {
            for command in std::mem::take(&mut self.commands) {
                self.execute_one(now, command);
            }
        }
        let needs_list = self.parts.member.needs_list();
        self.parts.shared.set_needs_list(needs_list);
        if let Some(at) = self.parts.member.next_wake() {
            let wait = Duration::from_millis(at.left(now).max(1));
            timer_min!(&mut self.timer, Instant::now() + wait, [cx], tick());
        }
    }

    fn execute_one(&mut self, now: Time, command: Command) {
        match command {
            Command::Send {
                to: To::Instance(to),
                message,
            } => self.send_to(to, message),
            Command::Send {
                to: To::Address(address),
                message,
            } => {
                // Joining is tried again anyway.
                let _ = self.parts.peers.send(None, address, message);
            }
            Command::Hold { upstream, until } => {
                call!([self.links().owner], hold(upstream, until));
            }
            Command::Drop { upstream } => call!([self.links().owner], release(upstream)),
            Command::Apply { number, note } => self.apply(now, number, &note),
            Command::ApplyBase { document } => self.apply_base(now, &document),
            Command::SendBase { to } => {
                let number = self.catalog.number;
                let document = Base::encode(&self.catalog);
                let base = hemlockrouter_wire::relay::RelayMessage::Base { number, document };
                self.send_to(to, Message::Relay(base));
            }
            Command::Watch => self.parts.platform.watch(self.catalog.number),
            Command::Unwatch => self.parts.platform.unwatch(),
            Command::Decision(decision) => log_line::decision("control", &decision),
        }
    }

    fn apply(&mut self, now: Time, number: ConfigNumber, bytes: &[u8]) {
        let accepted = accept(&self.catalog, number, bytes);
        match accepted.skipped {
            None => info!(target: "decision", number = number.0; "release note in force"),
            Some(err) => {
                error!(number = number.0, error = err.to_string(); "release note changes nothing");
            }
        }
        self.configure(now, accepted.catalog);
    }

    fn apply_base(&mut self, now: Time, document: &[u8]) {
        match Base::decode(document) {
            Ok(catalog) if catalog.number > self.catalog.number => {
                info!(target: "decision", number = catalog.number.0; "base document in force");
                self.configure(now, catalog);
            }
            Ok(_) => {}
            Err(err) => error!(error = err.to_string(); "base document can't be read"),
        }
    }

    /// Puts a catalogue in force in all parts.
    fn configure(&mut self, now: Time, catalog: Catalog) {
        self.catalog = Arc::new(catalog);
        let links = self.links().clone();
        call!([links.owner], configure(Arc::clone(&self.catalog)));
        call!([links.entry], configure(Arc::clone(&self.catalog)));
        self.parts
            .member
            .configure(now, Arc::clone(&self.catalog), &mut self.commands);
        self.parts.platform.configured(&self.catalog);
        self.parts.shared.set_config(self.catalog.number);
        self.forget_addresses();
    }
}

fn refuse(reason: Reason) -> SubOutcome {
    SubOutcome::NotRun(Refusal {
        reason,
        retry_after_ms: RETRY_MS,
    })
}
