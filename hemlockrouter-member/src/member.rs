//! Entry point of the package: the state machine that the daemon drives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::lease::LeaseMessage;
use hemlockrouter_wire::member::MemberMessage;
use hemlockrouter_wire::member::Peer;
use hemlockrouter_wire::member::PeerCondition;
use hemlockrouter_wire::relay::RelayMessage;
use rand::rngs::SmallRng;
use rand::RngExt;
use rand::SeedableRng;

use crate::command::Command;
use crate::command::ListedInstance;
use crate::command::PeerStatus;
use crate::command::TieBreakAnswer;
use crate::config::Config;
use crate::directory::Directory;
use crate::membership::Membership;
use crate::ownership::rank::Candidate;
use crate::ownership::Ownership;
use crate::ownership::ZoneView;
use crate::relay::Relay;

/// Number of instances in each zone that follow the store.
const WATCHERS_PER_ZONE: usize = 2;

/// Delay after the start before an instance decides whether it follows the store, in milliseconds,
/// to which a jitter of the same size is added. The instance should know its peers by then.
const WATCHER_SELECTION_DELAY_MS: u64 = 500;

/// Membership, ownership and configuration relay of one instance.
///
/// Every method with a parameter `out` appends commands to it, which are to be executed in order.
#[derive(Debug)]
pub struct Member {
    config: Config,
    membership: Membership,
    ownership: Ownership,
    relay: Relay,
    directory: Directory,
    catalog: Arc<Catalog>,
    now: Time,
    select_watcher_at: Time,
    ranks_as_watcher: bool,
    is_watcher: bool,
    leaving_at: Option<Time>,
    has_ended: bool,
    /// Versions of each zone's table that ownership, relay and directory were updated to.
    applied_versions: BTreeMap<String, u64>,
    applied_version: u64,
    applied_rights: ZoneRights,
}

impl Member {
    /// Creates the member for a new start of an instance.
    ///
    /// `seeds` are addresses of instances that may already run. They may contain this instance's
    /// own address only if they name every address that instances of its zone ever have. In that
    /// case the first instances of a zone can start without the platform's list. `seed` seeds the
    /// random number generator.
    pub fn new(
        config: Config,
        own_peer: Peer,
        seeds: Vec<SocketAddr>,
        now: Time,
        seed: u64,
    ) -> Member {
        let mut rng = SmallRng::seed_from_u64(seed);
        let select_watcher_at =
            now + WATCHER_SELECTION_DELAY_MS + rng.random_range(0..WATCHER_SELECTION_DELAY_MS);
        let relay_rng = SmallRng::seed_from_u64(rng.random());
        let ownership = Ownership::new(config.clone(), own_peer.id, own_peer.zone.clone(), now);
        let relay = Relay::new(config.clone(), own_peer.id, relay_rng);
        let membership = Membership::new(config.clone(), own_peer, seeds, now, rng);
        let mut member = Member {
            config,
            membership,
            ownership,
            relay,
            directory: Directory::default(),
            catalog: Arc::new(Catalog::default()),
            now,
            select_watcher_at,
            ranks_as_watcher: false,
            is_watcher: false,
            leaving_at: None,
            has_ended: false,
            applied_versions: BTreeMap::new(),
            applied_version: 0,
            applied_rights: ZoneRights::default(),
        };
        member.propagate_changes(&mut Vec::new());
        member
    }

    /// Applies the catalogue after the daemon has applied a note or a base document to it.
    pub fn apply_catalog(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Command>) {
        self.advance_time(now);
        if catalog.number < self.catalog.number {
            return;
        }
        self.catalog = Arc::clone(&catalog);
        self.membership.set_config_number(catalog.number);
        self.relay.configure(catalog.number);
        self.ownership.configure(now, catalog, out);
        self.applied_versions.clear();
        self.applied_version = 0;
        self.propagate_changes(out);
    }

    /// Applies the platform's list of instances, which may lag behind their real state.
    pub fn update_platform_list(
        &mut self,
        now: Time,
        list: Vec<ListedInstance>,
        out: &mut Vec<Command>,
    ) {
        self.advance_time(now);
        self.membership.set_platform_list(now, list);
        self.propagate_changes(out);
    }

    /// Handles a message of the membership protocol.
    pub fn receive(
        &mut self,
        now: Time,
        from: InstanceId,
        message: MemberMessage,
        out: &mut Vec<Command>,
    ) {
        if self.has_ended {
            return;
        }
        self.advance_time(now);
        self.relay.record_peer_number(now, from, message.config);
        self.membership.receive(now, from, message, out);
        self.propagate_changes(out);
    }

    /// Handles a message about leases.
    pub fn receive_lease(
        &mut self,
        now: Time,
        from: InstanceId,
        message: LeaseMessage,
        out: &mut Vec<Command>,
    ) {
        if self.has_ended {
            return;
        }
        self.advance_time(now);
        self.membership.record_heard_and_notify(now, from, out);
        self.propagate_changes(out);
        self.ownership.receive(now, from, message, out);
    }

    /// Handles a message of the configuration relay.
    pub fn receive_relay(
        &mut self,
        now: Time,
        from: InstanceId,
        message: RelayMessage,
        out: &mut Vec<Command>,
    ) {
        self.advance_time(now);
        self.membership.record_heard_and_notify(now, from, out);
        let sender = self.membership.table().get(from);
        let is_own_zone =
            sender.is_none_or(|entry| entry.peer.zone == self.membership.own_peer().zone);
        self.relay.receive(now, from, is_own_zone, message, out);
        self.propagate_changes(out);
    }

    /// Records that any other message was received from `from`, which counts as a heartbeat.
    pub fn record_heartbeat(&mut self, now: Time, from: InstanceId) {
        self.advance_time(now);
        self.membership.record_heard(now, from);
    }

    /// Records that a connection to `to` was refused.
    pub fn record_refused_connection(&mut self, now: Time, to: InstanceId, out: &mut Vec<Command>) {
        self.advance_time(now);
        self.membership.record_refused_connection(now, to);
        self.propagate_changes(out);
    }

    /// Records that a connection to an address was refused at which no known instance runs.
    pub fn record_refused_address(&mut self, now: Time, address: SocketAddr) {
        self.advance_time(now);
        self.membership.record_refused_address(now, address);
    }

    /// Applies the notes and the base document that were read from the store.
    pub fn apply_stored_notes(
        &mut self,
        now: Time,
        notes: Vec<(ConfigNumber, Vec<u8>)>,
        base: Option<(ConfigNumber, Vec<u8>)>,
        out: &mut Vec<Command>,
    ) {
        self.advance_time(now);
        self.relay.apply_stored(notes, base, out);
        self.propagate_changes(out);
    }

    /// Handles the result of a [`Command::BreakTie`].
    pub fn handle_tie_break_answer(
        &mut self,
        now: Time,
        other: InstanceId,
        answer: TieBreakAnswer,
        out: &mut Vec<Command>,
    ) {
        self.advance_time(now);
        self.membership
            .handle_tie_break_answer(now, other, answer, out);
        self.propagate_changes(out);
    }

    /// Starts a graceful shutdown, which hands over the owned upstreams. Once
    /// [`has_handed_over`](Member::has_handed_over) returns true, the member announces its end and
    /// takes part in nothing more. Other work of the process may continue.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Command>) {
        self.advance_time(now);
        if self.leaving_at.is_some() {
            return;
        }
        self.leaving_at = Some(now);
        self.membership.start_leaving(now);
        self.propagate_changes(out);
        let successors = self.ownership.successors();
        self.membership.send_own_rumour(successors, out);
        self.ownership.give_up_without_successor(now, out);
    }

    /// Returns whether [`leave`](Member::leave) was called and this instance no longer owns any
    /// upstream.
    pub fn has_handed_over(&self) -> bool {
        self.leaving_at.is_some() && self.ownership.holds_nothing()
    }

    /// Probes every known instance once, to learn the number of its configuration.
    pub fn probe_all(&mut self, now: Time, out: &mut Vec<Command>) {
        self.advance_time(now);
        self.membership.probe_all(out);
    }

    /// Performs everything that is due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        self.advance_time(now);
        if self.has_ended {
            return;
        }
        self.membership.tick(now, out);
        self.propagate_changes(out);
        self.ownership.tick(now, out);
        self.relay.tick(now, out);
        self.tick_leave(out);
    }

    fn tick_leave(&mut self, out: &mut Vec<Command>) {
        let Some(leaving_at) = self.leaving_at else {
            return;
        };
        if self.now.ms_since(leaving_at) >= self.config.lease_ms {
            self.ownership.give_up_remaining(self.now, out);
        }
        if self.has_handed_over() && !self.has_ended {
            self.has_ended = true;
            self.membership.announce_end(self.now, out);
        }
    }

    /// Returns when [`tick`](Member::tick) is to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        if self.has_ended {
            return None;
        }
        let select_watcher_at =
            (self.select_watcher_at > self.now).then_some(self.select_watcher_at);
        let wake = self
            .membership
            .next_wake()
            .min(self.ownership.next_wake())
            .min(self.relay.next_wake())
            .min(select_watcher_at.unwrap_or(Time::MAX));
        Some(wake)
    }

    /// Returns the owner of an upstream of any zone, as far as this instance knows.
    pub fn owner_of(&self, upstream: UpstreamKey) -> Option<InstanceId> {
        self.directory.owner_of(upstream)
    }

    /// Returns the end of this instance's own lease on an upstream.
    pub fn lease_until(&self, upstream: UpstreamKey) -> Option<Time> {
        self.ownership.lease_until(upstream)
    }

    /// Returns the peer with the given id.
    pub fn peer(&self, id: InstanceId) -> Option<&Peer> {
        self.membership.table().get(id).map(|entry| &entry.peer)
    }

    /// Returns the state of every known instance, this one included.
    pub fn peer_statuses(&self) -> impl Iterator<Item = PeerStatus> + '_ {
        let now = self.now;
        self.membership.table().iter().map(move |entry| PeerStatus {
            peer: entry.peer.clone(),
            condition: entry.condition,
            established: entry.established,
            config: entry.config,
            heard_ms_ago: entry
                .last_heard_at
                .map(|last_heard_at| now.ms_since(last_heard_at)),
        })
    }

    /// Returns whether this instance counts in the quorums of its zone. Until it does, it needs the
    /// platform's list to find the other instances.
    pub fn is_established(&self) -> bool {
        self.membership.is_established()
    }

    /// Returns whether the platform's list is needed now: this instance is not established, or
    /// another instance of its zone is dead without a proof of its end. At other times the list
    /// need not be read.
    pub fn needs_list(&self) -> bool {
        !self.is_established() || self.membership.has_unproved_dead()
    }

    /// Returns whether this instance is to follow the store.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    fn advance_time(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.membership.observe_time(now);
    }

    /// Updates ownership, relay and directory after a change of the table or of this instance's own
    /// rights.
    fn propagate_changes(&mut self, out: &mut Vec<Command>) {
        let rights = ZoneRights {
            is_established: self.membership.is_established(),
            may_grant: self.membership.may_grant(),
            is_leaving: self.leaving_at.is_some(),
        };
        let version = self.membership.table().version();
        if version != self.applied_version || rights != self.applied_rights {
            let have_rights_changed = rights != self.applied_rights;
            self.applied_version = version;
            self.applied_rights = rights;
            self.apply_table_changes(have_rights_changed, out);
        }
        if self.now >= self.select_watcher_at {
            self.update_watcher_role(out);
        }
    }

    fn apply_table_changes(&mut self, have_rights_changed: bool, out: &mut Vec<Command>) {
        let versions = self.membership.table().versions();
        let changed: Vec<String> = versions
            .iter()
            .filter(|(zone, version)| self.applied_versions.get(*zone) != Some(*version))
            .map(|(zone, _)| zone.clone())
            .collect();
        self.applied_versions = versions.clone();
        for zone in &changed {
            let candidates = self.candidates(zone);
            self.directory.update_zone(&self.catalog, zone, &candidates);
        }
        let zone = self.membership.own_peer().zone.clone();
        if have_rights_changed || changed.contains(&zone) {
            self.ranks_as_watcher = self
                .membership
                .is_top_ranked_for_role("watcher", WATCHERS_PER_ZONE);
            self.apply_own_zone_changes(&zone, out);
        }
    }

    fn apply_own_zone_changes(&mut self, zone: &str, out: &mut Vec<Command>) {
        let candidates = self.candidates(zone);
        let living = candidates
            .iter()
            .filter(|candidate| candidate.is_living)
            .map(|candidate| candidate.id)
            .collect();
        self.relay.set_zone_members(living);
        let view = ZoneView {
            is_established: self.applied_rights.is_established,
            may_grant: self.applied_rights.may_grant,
            is_leaving: self.applied_rights.is_leaving,
            candidates,
        };
        self.ownership.apply_view(self.now, view, out);
    }

    fn candidates(&self, zone: &str) -> Vec<Candidate> {
        self.membership
            .table()
            .in_zone(zone)
            .map(|entry| Candidate {
                id: entry.peer.id,
                is_living: entry.is_living(),
                is_established: entry.established,
            })
            .collect()
    }

    fn update_watcher_role(&mut self, out: &mut Vec<Command>) {
        let is_watcher = self.ranks_as_watcher;
        if is_watcher == self.is_watcher {
            return;
        }
        self.is_watcher = is_watcher;
        out.push(if is_watcher {
            Command::WatchStore
        } else {
            Command::UnwatchStore
        });
    }

    /// Returns the condition of an instance, as far as this instance knows.
    pub fn condition(&self, id: InstanceId) -> Option<PeerCondition> {
        self.membership.table().get(id).map(|entry| entry.condition)
    }
}

/// Rights of this instance in its zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ZoneRights {
    is_established: bool,
    may_grant: bool,
    is_leaving: bool,
}
