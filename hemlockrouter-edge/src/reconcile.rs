//! What an instance believes after the registry was restored from a copy.
//!
//! The copy lacks what was written since it was made. Operators and upstreams write again what they
//! wrote, and what an instance knows must not go back until they have. So its own knowledge stands against the
//! copy, as a rule for each kind of entry, and for most kinds only until [`Held::fallback`] applies:
//!
//! | entry | while it is held | fallback |
//! | --- | --- | --- |
//! | routes | the greater version | the greater version |
//! | availability zone | out of service if either says so | as the registry says |
//! | upstream that the copy lacks | used | gone |
//! | upstream that has started again or says that it leaves since the write that the copy has | as known | gone |
//! | upstream that is known to be gone, and of which the copy has no later write | not used | as the registry says |
//! | instance that the copy lacks | counted | gone |
//!
//! Whatever is written after the return counts at once.

use std::collections::BTreeMap;

use hemlockrouter_types::routing::UpstreamEntry;

use crate::registry::Change;
use crate::registry::Entry;

/// What an entry is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// The routes.
    Routes,
    /// An availability zone.
    Zone(String),
    /// An upstream, by its id.
    Upstream(String),
    /// An instance, by its name.
    Instance(String),
}

/// Tells what an upstream wrote last; the later one is the greater one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LastWrite {
    /// Which start of the upstream.
    pub incarnation: u64,
    /// Which write of that start.
    pub sequence: u64,
}

impl LastWrite {
    /// Returns which write of an upstream its entry is.
    pub fn of(entry: &UpstreamEntry) -> LastWrite {
        LastWrite {
            incarnation: entry.incarnation,
            sequence: entry.sequence,
        }
    }
}

/// What stands against the copy until it had time to be written again.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// What is believed meanwhile.
    pub believed: Entry,
    /// The revision of what the copy has in its place, if it has anything.
    pub copied_revision: Option<u64>,
    /// What applies if nothing was written in time.
    pub fallback: Change,
}

/// What is believed after the registry was restored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reconciled {
    /// All that is believed.
    pub believed: Vec<Entry>,
    /// What of it stands against the copy, and for how long only.
    pub held: BTreeMap<Subject, Held>,
    /// Upstreams of the copy that are not used, with the revisions of their entries. Those that are gone lose
    /// their registration by themselves.
    pub refused: BTreeMap<Subject, u64>,
}

impl Change {
    /// Returns what it is about; `None` for an entry that can't be read and names nothing.
    pub fn subject(&self) -> Option<Subject> {
        Some(match self {
            Change::Routes(_) => Subject::Routes,
            Change::Zone { zone, .. } => Subject::Zone(zone.clone()),
            Change::Upstream(entry) => Subject::Upstream(entry.id.clone()),
            Change::UpstreamGone { id } => Subject::Upstream(id.clone()),
            Change::Instance(entry) => Subject::Instance(entry.name.clone()),
            Change::InstanceGone { name } => Subject::Instance(name.clone()),
            Change::Unreadable { upstream, .. } => Subject::Upstream(upstream.clone()?),
        })
    }

    /// Returns whether its subject is there after the change.
    pub fn is_present(&self) -> bool {
        match self {
            Change::Routes(_) | Change::Upstream(_) | Change::Instance(_) => true,
            Change::Zone { out, .. } => *out,
            Change::UpstreamGone { .. }
            | Change::InstanceGone { .. }
            | Change::Unreadable { .. } => false,
        }
    }
}

/// Works out what to believe of a copy. `known` is what was believed before, and `departed` names upstreams
/// that had left, by their ids, with what they had written last.
pub fn reconcile(
    known: &BTreeMap<Subject, Entry>,
    departed: &BTreeMap<String, LastWrite>,
    copy: &[Entry],
) -> Reconciled {
    let mut result = Reconciled::default();
    let mut lacking = known.clone();
    for entry in copy {
        let subject = entry.change.subject();
        let before = subject.as_ref().and_then(|subject| lacking.remove(subject));
        match subject {
            Some(subject) => result.weigh(subject, before, departed, entry),
            None => result.believed.push(entry.clone()),
        }
    }
    for (subject, entry) in lacking {
        result.keep(subject, entry, None);
    }
    result
}

impl Reconciled {
    /// Takes over an entry of the copy, or what was known in its place.
    fn weigh(
        &mut self,
        subject: Subject,
        before: Option<Entry>,
        departed: &BTreeMap<String, LastWrite>,
        copied: &Entry,
    ) {
        let revision = copied.revision;
        let stands = match (&copied.change, before.as_ref().map(|entry| &entry.change)) {
            (Change::Routes(copied), Some(Change::Routes(before))) => {
                copied.version >= before.version
            }
            (Change::Upstream(copied), Some(Change::Upstream(before))) => {
                let is_later = LastWrite::of(copied) > LastWrite::of(before);
                let is_same_start = copied.incarnation == before.incarnation;
                is_later || (is_same_start && copied.draining == before.draining)
            }
            (Change::Upstream(copied), None) => {
                let departed = departed.get(&copied.id);
                if departed.is_some_and(|last| *last >= LastWrite::of(copied)) {
                    self.refused.insert(subject, revision);
                    return;
                }
                true
            }
            _ => true,
        };
        match before {
            Some(before) if !stands => self.keep(subject, before, Some(revision)),
            _ => self.believed.push(copied.clone()),
        }
    }

    /// Keeps what was known against the copy.
    fn keep(&mut self, subject: Subject, before: Entry, copied_revision: Option<u64>) {
        // Whatever is written from now on is newer.
        let believed = Entry {
            revision: 0,
            ..before
        };
        self.believed.push(believed.clone());
        let fallback = match &subject {
            Subject::Routes => return,
            Subject::Zone(zone) => Change::Zone {
                zone: zone.clone(),
                out: false,
            },
            Subject::Upstream(id) => Change::UpstreamGone { id: id.clone() },
            Subject::Instance(name) => Change::InstanceGone { name: name.clone() },
        };
        let held = Held {
            believed,
            copied_revision,
            fallback,
        };
        self.held.insert(subject, held);
    }
}
