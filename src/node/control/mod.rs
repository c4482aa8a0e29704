//! Keeps membership, ownership leases and configuration, and routes messages to other instances.

mod deliver;
mod operators;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_config::apply_accepted_note;
use hemlockrouter_config::BaseDocument;
use hemlockrouter_member::Command;
use hemlockrouter_member::Destination;
use hemlockrouter_member::ListedInstance;
use hemlockrouter_member::Member;
use hemlockrouter_member::TieBreakAnswer;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunMessage;
use hemlockrouter_wire::Envelope;
use hemlockrouter_wire::Message;
use log::error;
use log::info;
use stakker::call;
use stakker::timer_min;
use stakker::Actor;
use stakker::MinTimerKey;
use stakker::CX;

use crate::log_line;
use crate::node::entry::Entry;
use crate::node::owner::Owner;
use crate::node::status::SharedStatus;
use crate::node::Event;
use crate::node::Mailbox;
use crate::outbound::peers::Peers;
use crate::outbound::platform::Platform;
use crate::outbound::platform::StoreRead;

/// Maximum number of remembered instances that the membership does not contain.
const UNLISTED_INSTANCES_MAX: usize = 1_024;

/// Actor that keeps membership and configuration.
pub(crate) struct Control {
    parts: ControlParts,
    catalog: Arc<Catalog>,
    actor_links: Option<ActorLinks>,
    /// Reply addresses of instances that sent a message before the membership contained them.
    unlisted_addresses: BTreeMap<InstanceId, SocketAddr>,
    commands: Vec<Command>,
    timer: MinTimerKey,
}

/// Dependencies of the [`Control`] actor.
pub(crate) struct ControlParts {
    pub(crate) clock: Clock,
    pub(crate) own_id: InstanceId,
    pub(crate) zone: String,
    pub(crate) member: Member,
    pub(crate) peers: Peers,
    pub(crate) platform: Platform,
    pub(crate) shared: Arc<SharedStatus>,
    pub(crate) mailbox: Mailbox,
}

/// Links to the other actors, which are created after this one.
#[derive(Clone)]
pub(crate) struct ActorLinks {
    pub(crate) entry: Actor<Entry>,
    pub(crate) owner: Actor<Owner>,
}

impl Control {
    /// Creates the actor.
    pub(crate) fn init(_: CX![], parts: ControlParts) -> Option<Control> {
        Some(Control {
            parts,
            catalog: Arc::default(),
            actor_links: None,
            unlisted_addresses: BTreeMap::new(),
            commands: Vec::new(),
            timer: MinTimerKey::default(),
        })
    }

    /// Links the other actors and starts the timers.
    pub(crate) fn link(&mut self, cx: CX![], actor_links: ActorLinks) {
        self.actor_links = Some(actor_links);
        self.tick(cx);
    }

    fn actor_links(&self) -> &ActorLinks {
        self.actor_links
            .as_ref()
            .expect("the actors are linked before any event")
    }

    /// Handles messages from another instance.
    pub(crate) fn handle_envelope(&mut self, cx: CX![], envelope: Envelope) {
        let now = self.parts.clock.now();
        let from = envelope.from;
        if let (None, Some(address)) = (self.parts.member.peer(from), envelope.reply_to) {
            self.unlisted_addresses.insert(from, address);
        }
        self.parts.member.record_heartbeat(now, from);
        for message in envelope.messages {
            self.handle_message(now, from, message);
        }
        self.execute_commands(cx, now);
    }

    fn handle_message(&mut self, now: Time, from: InstanceId, message: Message) {
        let actor_links = self.actor_links().clone();
        match message {
            Message::Search(batch) => call!([actor_links.owner], search(batch)),
            Message::Run(sub) => call!([actor_links.owner], run(sub)),
            Message::Reply(reply) => call!([actor_links.entry], handle_reply(reply)),
            Message::Cancel(cancel) => call!([actor_links.owner], cancel(cancel.ids)),
            Message::Forward(RunMessage::Forward(run)) => {
                call!([actor_links.entry], handle_forward(from, run));
            }
            Message::Forward(RunMessage::Ended(ended)) => {
                call!(
                    [actor_links.entry],
                    handle_forward_end(ended.id, ended.outcome)
                );
            }
            Message::Drain => self.parts.mailbox.put_or_drop(Event::Shutdown),
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

    /// Applies notes and base documents that were read from the store.
    pub(crate) fn handle_store_read(&mut self, cx: CX![], read: StoreRead) {
        let now = self.parts.clock.now();
        self.parts
            .member
            .apply_stored_notes(now, read.notes, read.base, &mut self.commands);
        self.execute_commands(cx, now);
    }

    /// Applies the platform's list of instances.
    pub(crate) fn handle_instance_list(&mut self, cx: CX![], list: Vec<ListedInstance>) {
        let now = self.parts.clock.now();
        self.parts
            .member
            .update_platform_list(now, list, &mut self.commands);
        self.execute_commands(cx, now);
        self.prune_addresses();
    }

    /// Handles the end of a call about the tie record that this instance shares with another one.
    pub(crate) fn handle_tie_answer(
        &mut self,
        cx: CX![],
        other: InstanceId,
        answer: TieBreakAnswer,
    ) {
        let now = self.parts.clock.now();
        self.parts
            .member
            .handle_tie_break_answer(now, other, answer, &mut self.commands);
        self.execute_commands(cx, now);
    }

    /// Removes the addresses of instances that have left, and of those that the membership contains
    /// by now.
    fn prune_addresses(&mut self) {
        let member = &self.parts.member;
        self.unlisted_addresses
            .retain(|id, _| member.peer(*id).is_none());
        if self.unlisted_addresses.len() > UNLISTED_INSTANCES_MAX {
            self.unlisted_addresses.clear();
        }
        let member = &self.parts.member;
        let peer_addresses: BTreeSet<SocketAddr> =
            member.peer_statuses().map(|row| row.peer.address).collect();
        self.parts
            .peers
            .retain(|address| peer_addresses.contains(&address));
    }

    /// Asks all instances for their configuration numbers.
    pub(crate) fn probe_all(&mut self, cx: CX![]) {
        let now = self.parts.clock.now();
        self.parts.member.probe_all(now, &mut self.commands);
        self.execute_commands(cx, now);
    }

    /// Starts to leave, which hands over the owned upstreams.
    pub(crate) fn leave(&mut self, cx: CX![]) {
        let now = self.parts.clock.now();
        self.parts.member.leave(now, &mut self.commands);
        self.execute_commands(cx, now);
    }

    /// Reports whether all owned upstreams were handed over. If so, the member announces that this
    /// instance has left.
    pub(crate) fn report_left(&mut self, cx: CX![], shared: Arc<SharedStatus>) {
        let has_left = self.parts.member.has_handed_over();
        if has_left {
            self.tick(cx);
        }
        shared.set_handed_over(has_left);
    }

    /// Handles expired timers.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = self.parts.clock.now();
        self.parts.member.tick(now, &mut self.commands);
        self.execute_commands(cx, now);
    }

    /// Executes the member's commands.
    fn execute_commands(&mut self, cx: CX![], now: Time) {
        while !self.commands.is_empty() {
            for command in std::mem::take(&mut self.commands) {
                self.execute_command(now, command);
            }
        }
        if self.parts.member.is_established() {
            self.parts.shared.set_joined();
        }
        let needs_list = self.parts.member.needs_list();
        self.parts.shared.set_needs_list(needs_list);
        if let Some(wake_at) = self.parts.member.next_wake() {
            let wait = Duration::from_millis(wake_at.remaining_ms(now).max(1));
            timer_min!(&mut self.timer, Instant::now() + wait, [cx], tick());
        }
    }

    fn execute_command(&mut self, now: Time, command: Command) {
        match command {
            Command::Send {
                to: Destination::Instance(to),
                message,
            } => self.send_to(to, message),
            Command::Send {
                to: Destination::Address(address),
                message,
            } => {
                // A failed send needs no handling, because joining is retried anyway.
                let _ = self.parts.peers.send(None, address, message);
            }
            Command::HoldLease { upstream, until } => {
                call!([self.actor_links().owner], hold_lease(upstream, until));
            }
            Command::DropLease { upstream } => {
                call!([self.actor_links().owner], release_lease(upstream))
            }
            Command::ApplyNote { number, note } => self.apply(now, number, &note),
            Command::ApplyBase { document } => self.apply_base(now, &document),
            Command::SendBase { to } => {
                let number = self.catalog.number;
                let document = BaseDocument::encode(&self.catalog);
                let base = hemlockrouter_wire::relay::RelayMessage::Base { number, document };
                self.send_to(to, Message::Relay(base));
            }
            Command::WatchStore => self.parts.platform.watch(self.catalog.number),
            Command::UnwatchStore => self.parts.platform.unwatch(),
            Command::BreakTie { other, call } => {
                self.parts
                    .platform
                    .queue_tie_call(self.parts.own_id, other, call)
            }
            Command::Decision(decision) => log_line::decision("control", &decision),
        }
    }

    fn apply(&mut self, now: Time, number: ConfigNumber, bytes: &[u8]) {
        let accepted = apply_accepted_note(&self.catalog, number, bytes);
        match accepted.skip_error {
            None => info!(target: "decision", number = number.0; "release note in force"),
            Some(err) => {
                error!(number = number.0, error = err.to_string(); "release note has no effect");
            }
        }
        self.configure(now, accepted.catalog);
    }

    fn apply_base(&mut self, now: Time, document: &[u8]) {
        match BaseDocument::decode(document) {
            Ok(catalog) if catalog.number > self.catalog.number => {
                info!(target: "decision", number = catalog.number.0; "base document in force");
                self.configure(now, catalog);
            }
            Ok(_) => {}
            Err(err) => error!(error = err.to_string(); "base document can't be read"),
        }
    }

    /// Puts a catalogue in force in all parts of the instance.
    fn configure(&mut self, now: Time, catalog: Catalog) {
        self.catalog = Arc::new(catalog);
        let actor_links = self.actor_links().clone();
        call!([actor_links.owner], configure(Arc::clone(&self.catalog)));
        call!([actor_links.entry], configure(Arc::clone(&self.catalog)));
        self.parts
            .member
            .apply_catalog(now, Arc::clone(&self.catalog), &mut self.commands);
        self.parts.platform.set_catalog(&self.catalog);
        self.parts.shared.set_config(self.catalog.number);
        self.prune_addresses();
    }
}
