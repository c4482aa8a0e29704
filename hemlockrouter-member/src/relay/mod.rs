//! Distribution of release notes to every instance.
//!
//! Two watchers of each zone follow the store and push new notes down a tree over the living
//! members of the zone. Every membership message carries the sender's configuration number, and an
//! instance that lacks notes pulls them from the sender after a jitter. Notes are applied in the
//! order of their numbers, and a number never decreases.

mod tail;

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::relay::NoteBytes;
use hemlockrouter_wire::relay::RelayMessage;
use hemlockrouter_wire::Message;
use rand::rngs::SmallRng;
use rand::RngExt;

use crate::command::Command;
use crate::command::To;
use crate::config::Config;
use crate::relay::tail::Tail;

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
    me: InstanceId,
    rng: SmallRng,
    /// Number of the last note that the daemon has applied or was told to apply.
    have: ConfigNumber,
    tail: Tail,
    /// Living members of the zone, sorted by id, this instance included.
    zone: Vec<InstanceId>,
    ahead: Option<(InstanceId, ConfigNumber)>,
    pull_at: Option<Time>,
    pulled_at: Option<Time>,
    bases: Vec<Time>,
}

impl Relay {
    pub(crate) fn new(config: Config, me: InstanceId, rng: SmallRng) -> Relay {
        Relay {
            tail: Tail::new(config.tail_notes, config.tail_bytes),
            config,
            me,
            rng,
            have: ConfigNumber(0),
            zone: vec![me],
            ahead: None,
            pull_at: None,
            pulled_at: None,
            bases: Vec::new(),
        }
    }

    pub(crate) fn configure(&mut self, number: ConfigNumber) {
        self.advance(number);
    }

    pub(crate) fn see(&mut self, mut zone: Vec<InstanceId>) {
        zone.sort();
        self.zone = zone;
    }

    fn advance(&mut self, number: ConfigNumber) {
        if number > self.have {
            self.have = number;
            self.tail.restart(number);
        }
    }

    /// Applies the notes and the base document that a watcher read from the store, and pushes new
    /// notes on.
    pub(crate) fn stored(
        &mut self,
        notes: Vec<(ConfigNumber, Vec<u8>)>,
        base: Option<(ConfigNumber, Vec<u8>)>,
        out: &mut Vec<Command>,
    ) {
        let notes: BTreeMap<ConfigNumber, Vec<u8>> = notes.into_iter().collect();
        if let Some((number, document)) = base {
            let is_reachable = number <= self.have || self.spans(&notes, number);
            if !is_reachable {
                self.apply_base(number, document, out);
            }
        }
        let fresh = self.apply(notes, out);
        self.push(self.me, fresh, out);
    }

    /// Returns whether `notes` contain every note from the next one of this instance up to
    /// `number`.
    fn spans(&self, notes: &BTreeMap<ConfigNumber, Vec<u8>>, number: ConfigNumber) -> bool {
        let first = self.have.next();
        let count = notes.range(first..=number.max(first)).count() as u64;
        count == number.0 - self.have.0
    }

    fn apply_base(&mut self, number: ConfigNumber, document: Vec<u8>, out: &mut Vec<Command>) {
        if number <= self.have {
            return;
        }
        self.advance(number);
        out.push(Command::ApplyBase { document });
    }

    /// Applies the notes that follow the last applied one without a gap, and returns them.
    fn apply(
        &mut self,
        notes: BTreeMap<ConfigNumber, Vec<u8>>,
        out: &mut Vec<Command>,
    ) -> Vec<(ConfigNumber, Vec<u8>)> {
        let mut fresh = Vec::new();
        for (number, note) in notes {
            if number != self.have.next() {
                continue;
            }
            self.have = number;
            self.tail.push(number, note.clone());
            out.push(Command::Apply {
                number,
                note: note.clone(),
            });
            fresh.push((number, note));
        }
        fresh
    }

    /// Sends notes to the children of this instance in the tree that is rooted at `root`.
    fn push(
        &mut self,
        root: InstanceId,
        fresh: Vec<(ConfigNumber, Vec<u8>)>,
        out: &mut Vec<Command>,
    ) {
        let Some((first, _)) = fresh.first() else {
            return;
        };
        let first = *first;
        let notes: Vec<NoteBytes> = fresh.into_iter().map(|(_, note)| NoteBytes(note)).collect();
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
        let len = self.zone.len();
        let root_at = self.zone.binary_search(&root);
        let own_at = self.zone.binary_search(&self.me);
        let (Ok(root_at), Ok(own_at)) = (root_at, own_at) else {
            return Vec::new();
        };
        let position = (own_at + len - root_at) % len;
        let first = position * self.config.fan_out + 1;
        (first..first + self.config.fan_out)
            .filter(|child| *child < len)
            .map(|child| self.zone[(root_at + child) % len])
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
                self.take_notes(now, from, is_own_zone, root, first, notes, out);
            }
            RelayMessage::Pull { have } => self.answer_pull(now, from, have, out),
            RelayMessage::Base { number, document } => {
                self.apply_base(number, document, out);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn take_notes(
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
        let numbered = notes
            .into_iter()
            .enumerate()
            .map(|(index, note)| (ConfigNumber(first.0 + index as u64), note.0))
            .collect();
        let fresh = self.apply(numbered, out);
        // Notes from another zone are spread in this zone along a tree that is rooted at this
        // instance.
        let root = if is_own_zone { root } else { Some(self.me) };
        if let Some(root) = root {
            self.push(root, fresh, out);
        }
        self.heard_number(now, from, last);
    }

    /// Records that `from` has the configuration `number`, and schedules a pull if this instance
    /// lacks notes.
    pub(crate) fn heard_number(&mut self, now: Time, from: InstanceId, number: ConfigNumber) {
        if number <= self.have {
            return;
        }
        let is_further = self.ahead.is_none_or(|(_, known)| number >= known);
        if is_further {
            self.ahead = Some((from, number));
        }
        if self.pull_at.is_none() {
            let jitter_ms = self.rng.random_range(0..=self.config.pull_jitter_ms);
            let earliest = self
                .pulled_at
                .map_or(now, |at| now.max(at + PULL_INTERVAL_MIN_MS));
            self.pull_at = Some(earliest + jitter_ms);
        }
    }

    fn answer_pull(
        &mut self,
        now: Time,
        from: InstanceId,
        have: ConfigNumber,
        out: &mut Vec<Command>,
    ) {
        if have >= self.have {
            return;
        }
        let Some(notes) = self.tail.after(have, NOTES_MESSAGE_MAX_BYTES) else {
            self.bases.retain(|sent_at| now.since(*sent_at) < 1_000);
            if self.bases.len() < BASE_DOCUMENTS_PER_SECOND_MAX {
                self.bases.push(now);
                out.push(Command::SendBase { to: from });
            }
            return;
        };
        let message = RelayMessage::Notes {
            root: None,
            first: have.next(),
            notes: notes.into_iter().map(NoteBytes).collect(),
        };
        send(from, message, out);
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.pull_at.is_none_or(|pull_at| pull_at > now) {
            return;
        }
        self.pull_at = None;
        let Some((from, number)) = self.ahead.take() else {
            return;
        };
        if number <= self.have {
            return;
        }
        self.pulled_at = Some(now);
        let have = self.have;
        send(from, RelayMessage::Pull { have }, out);
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.pull_at.unwrap_or(Time::MAX)
    }
}

fn send(to: InstanceId, message: RelayMessage, out: &mut Vec<Command>) {
    out.push(Command::Send {
        to: To::Instance(to),
        message: Message::Relay(message),
    });
}
