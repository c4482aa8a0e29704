//! Distribution of release notes to every instance.
//!
//! Two watchers of each zone follow the store and push new notes down a tree over the living
//! members of the zone. Every membership message carries the sender's configuration number, and an
//! instance that lacks notes pulls them from the sender after a jitter. Notes are applied in the
//! order of their numbers, and the number of the last applied note never decreases.

mod recent_notes;

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::relay::NoteBytes;
use hemlockrouter_wire::relay::RelayMessage;
use hemlockrouter_wire::Message;
use rand::rngs::SmallRng;
use rand::RngExt;

use crate::command::Command;
use crate::command::Destination;
use crate::config::Config;
use crate::relay::recent_notes::RecentNotes;

/// Shortest interval between two pulls, in milliseconds.
const PULL_INTERVAL_MIN_MS: u64 = 1_000;

/// Largest number of base documents that one instance sends in a second.
const BASE_DOCUMENTS_PER_SECOND_MAX: usize = 4;

/// Largest total size of the notes in one message, in bytes.
const NOTES_MESSAGE_MAX_BYTES: usize = 256 << 10;

/// State of the configuration relay of this instance.
#[derive(Debug)]
pub(crate) struct Relay {
    config: Config,
    own_id: InstanceId,
    rng: SmallRng,
    /// Number of the last note that the daemon has applied or was told to apply.
    last_applied: ConfigNumber,
    recent_notes: RecentNotes,
    /// Living members of the zone, sorted by id, this instance included.
    zone_members: Vec<InstanceId>,
    most_advanced_peer: Option<(InstanceId, ConfigNumber)>,
    next_pull_at: Option<Time>,
    last_pull_at: Option<Time>,
    base_sent_at: Vec<Time>,
}

impl Relay {
    pub(crate) fn new(config: Config, own_id: InstanceId, rng: SmallRng) -> Relay {
        Relay {
            recent_notes: RecentNotes::new(
                config.retained_notes_max,
                config.retained_notes_max_bytes,
            ),
            config,
            own_id,
            rng,
            last_applied: ConfigNumber(0),
            zone_members: vec![own_id],
            most_advanced_peer: None,
            next_pull_at: None,
            last_pull_at: None,
            base_sent_at: Vec::new(),
        }
    }

    pub(crate) fn configure(&mut self, number: ConfigNumber) {
        self.advance_to(number);
    }

    pub(crate) fn set_zone_members(&mut self, mut zone_members: Vec<InstanceId>) {
        zone_members.sort();
        self.zone_members = zone_members;
    }

    fn advance_to(&mut self, number: ConfigNumber) {
        if number > self.last_applied {
            self.last_applied = number;
            self.recent_notes.restart_after(number);
        }
    }

    /// Applies the notes and the base document that a watcher read from the store, and pushes new
    /// notes on.
    pub(crate) fn apply_stored(
        &mut self,
        notes: Vec<(ConfigNumber, Vec<u8>)>,
        base: Option<(ConfigNumber, Vec<u8>)>,
        out: &mut Vec<Command>,
    ) {
        let notes: BTreeMap<ConfigNumber, Vec<u8>> = notes.into_iter().collect();
        if let Some((number, document)) = base {
            let is_reachable_by_notes =
                number <= self.last_applied || self.has_all_notes_up_to(&notes, number);
            if !is_reachable_by_notes {
                self.apply_base(number, document, out);
            }
        }
        let new_notes = self.apply(notes, out);
        self.push(self.own_id, new_notes, out);
    }

    /// Returns whether `notes` contain every note from the next one of this instance up to
    /// `number`.
    fn has_all_notes_up_to(
        &self,
        notes: &BTreeMap<ConfigNumber, Vec<u8>>,
        number: ConfigNumber,
    ) -> bool {
        let first = self.last_applied.next();
        let count = notes.range(first..=number.max(first)).count() as u64;
        count == number.0 - self.last_applied.0
    }

    fn apply_base(&mut self, number: ConfigNumber, document: Vec<u8>, out: &mut Vec<Command>) {
        if number <= self.last_applied {
            return;
        }
        self.advance_to(number);
        out.push(Command::ApplyBase { document });
    }

    /// Applies the notes that follow the last applied one without a gap, and returns them.
    fn apply(
        &mut self,
        notes: BTreeMap<ConfigNumber, Vec<u8>>,
        out: &mut Vec<Command>,
    ) -> Vec<(ConfigNumber, Vec<u8>)> {
        let mut new_notes = Vec::new();
        for (number, note) in notes {
            if number != self.last_applied.next() {
                continue;
            }
            self.last_applied = number;
            self.recent_notes.push(number, note.clone());
            out.push(Command::ApplyNote {
                number,
                note: note.clone(),
            });
            new_notes.push((number, note));
        }
        new_notes
    }

    /// Sends notes to the children of this instance in the tree that is rooted at `root`.
    fn push(
        &mut self,
        root: InstanceId,
        new_notes: Vec<(ConfigNumber, Vec<u8>)>,
        out: &mut Vec<Command>,
    ) {
        let Some((first, _)) = new_notes.first() else {
            return;
        };
        let first = *first;
        let notes: Vec<NoteBytes> = new_notes
            .into_iter()
            .map(|(_, note)| NoteBytes(note))
            .collect();
        for child in self.children(root) {
            let message = RelayMessage::Notes {
                root: Some(root),
                first,
                notes: notes.clone(),
            };
            send(child, message, out);
        }
    }

    /// Returns the children of this instance in the implicit heap over the zone's members, rotated
    /// so that `root` comes first.
    fn children(&self, root: InstanceId) -> Vec<InstanceId> {
        let len = self.zone_members.len();
        let root_index = self.zone_members.binary_search(&root);
        let own_index = self.zone_members.binary_search(&self.own_id);
        let (Ok(root_index), Ok(own_index)) = (root_index, own_index) else {
            return Vec::new();
        };
        let position = (own_index + len - root_index) % len;
        let first = position * self.config.relay_fan_out + 1;
        (first..first + self.config.relay_fan_out)
            .filter(|child| *child < len)
            .map(|child| self.zone_members[(root_index + child) % len])
            .collect()
    }

    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: InstanceId,
        is_own_zone: bool,
        message: RelayMessage,
        out: &mut Vec<Command>,
    ) {
        match message {
            RelayMessage::Notes { root, first, notes } => {
                self.handle_notes(now, from, is_own_zone, root, first, notes, out);
            }
            RelayMessage::Pull { have } => self.handle_pull(now, from, have, out),
            RelayMessage::Base { number, document } => {
                self.apply_base(number, document, out);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn handle_notes(
        &mut self,
        now: Time,
        from: InstanceId,
        is_own_zone: bool,
        root: Option<InstanceId>,
        first: ConfigNumber,
        notes: Vec<NoteBytes>,
        out: &mut Vec<Command>,
    ) {
        let last = ConfigNumber(first.0 + notes.len() as u64 - u64::from(!notes.is_empty()));
        let numbered_notes = notes
            .into_iter()
            .enumerate()
            .map(|(index, note)| (ConfigNumber(first.0 + index as u64), note.0))
            .collect();
        let new_notes = self.apply(numbered_notes, out);
        // Notes from another zone are spread in this zone along a tree that is rooted at this
        // instance.
        let root = if is_own_zone { root } else { Some(self.own_id) };
        if let Some(root) = root {
            self.push(root, new_notes, out);
        }
        self.record_peer_number(now, from, last);
    }

    /// Records that `from` has the configuration `number`, and schedules a pull if this instance
    /// lacks notes.
    pub(crate) fn record_peer_number(&mut self, now: Time, from: InstanceId, number: ConfigNumber) {
        if number <= self.last_applied {
            return;
        }
        let is_most_advanced = self
            .most_advanced_peer
            .is_none_or(|(_, highest_number)| number >= highest_number);
        if is_most_advanced {
            self.most_advanced_peer = Some((from, number));
        }
        if self.next_pull_at.is_none() {
            let jitter_ms = self.rng.random_range(0..=self.config.pull_jitter_max_ms);
            let earliest_pull_at = self
                .last_pull_at
                .map_or(now, |at| now.max(at + PULL_INTERVAL_MIN_MS));
            self.next_pull_at = Some(earliest_pull_at + jitter_ms);
        }
    }

    fn handle_pull(
        &mut self,
        now: Time,
        from: InstanceId,
        known_number: ConfigNumber,
        out: &mut Vec<Command>,
    ) {
        if known_number >= self.last_applied {
            return;
        }
        let Some(notes) = self
            .recent_notes
            .notes_after(known_number, NOTES_MESSAGE_MAX_BYTES)
        else {
            self.base_sent_at
                .retain(|sent_at| now.ms_since(*sent_at) < 1_000);
            if self.base_sent_at.len() < BASE_DOCUMENTS_PER_SECOND_MAX {
                self.base_sent_at.push(now);
                out.push(Command::SendBase { to: from });
            }
            return;
        };
        let message = RelayMessage::Notes {
            root: None,
            first: known_number.next(),
            notes: notes.into_iter().map(NoteBytes).collect(),
        };
        send(from, message, out);
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.next_pull_at.is_none_or(|pull_at| pull_at > now) {
            return;
        }
        self.next_pull_at = None;
        let Some((from, number)) = self.most_advanced_peer.take() else {
            return;
        };
        if number <= self.last_applied {
            return;
        }
        self.last_pull_at = Some(now);
        let have = self.last_applied;
        send(from, RelayMessage::Pull { have }, out);
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.next_pull_at.unwrap_or(Time::MAX)
    }
}

fn send(to: InstanceId, message: RelayMessage, out: &mut Vec<Command>) {
    out.push(Command::Send {
        to: Destination::Instance(to),
        message: Message::Relay(message),
    });
}
