//! Properties of the merge of known entries with any registry that was restored from a backup.

use std::collections::BTreeMap;

use hemlockrouter_edge::reconcile;
use hemlockrouter_edge::Change;
use hemlockrouter_edge::Entry;
use hemlockrouter_edge::LastWrite;
use hemlockrouter_edge::Reconciled;
use hemlockrouter_edge::Subject;
use hemlockrouter_types::routing::CallerLimits;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::RouteDocument;
use hemlockrouter_types::routing::UpstreamEntry;
use proptest::prelude::*;

type Known = BTreeMap<Subject, Entry>;

fn routes(version: u64) -> Change {
    Change::Routes(RouteDocument {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            header_max_bytes: 1,
            body_max_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
    })
}

fn zone(name: u8) -> Change {
    Change::Zone {
        zone: format!("zone-{name}"),
        out: true,
    }
}

fn upstream(id: u8, incarnation: u64, sequence: u64, draining: bool) -> Change {
    Change::Upstream(UpstreamEntry {
        id: format!("upstream-{id}"),
        incarnation,
        sequence,
        service: String::from("ledger"),
        address: "127.0.0.1:1".parse().expect("it is an address"),
        zone: String::from("zone-0"),
        slots: 2,
        draining,
        cold_ms: 0,
    })
}

fn instance(name: u8) -> Change {
    Change::Instance(InstanceEntry {
        name: format!("instance-{name}"),
        zone: String::from("zone-0"),
        relay: None,
        cpu_permille: 250,
        registered_by: None,
    })
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (1..9_u64).prop_map(routes),
        (0..3_u8).prop_map(zone),
        (0..4_u8, 1..4_u64, 1..4_u64, any::<bool>())
            .prop_map(|(id, start, sequence, draining)| upstream(id, start, sequence, draining)),
        (0..3_u8).prop_map(instance),
    ]
}

/// Generates the content of a registry, with one entry per subject.
fn entries() -> impl Strategy<Value = Known> {
    prop::collection::vec((1..99_u64, change()), 0..16).prop_map(|changes| {
        let entries = changes.into_iter().map(|(revision, change)| {
            let subject = change.subject().expect("it names something");
            (subject, Entry { revision, change })
        });
        entries.collect()
    })
}

fn departed() -> impl Strategy<Value = BTreeMap<String, LastWrite>> {
    let one = (0..4_u8, 1..4_u64, 1..4_u64);
    prop::collection::vec(one, 0..4).prop_map(|ids| {
        let departed = ids.into_iter().map(|(id, incarnation, sequence)| {
            let last = LastWrite {
                incarnation,
                sequence,
            };
            (format!("upstream-{id}"), last)
        });
        departed.collect()
    })
}

fn believed(result: &Reconciled) -> BTreeMap<Subject, &Change> {
    let entries = result.believed.iter();
    let subjects =
        entries.map(|entry| (entry.change.subject().expect("it is known"), &entry.change));
    subjects.collect()
}

fn as_upstream(change: Option<&Change>) -> Option<&UpstreamEntry> {
    match change {
        Some(Change::Upstream(entry)) => Some(entry),
        _ => None,
    }
}

proptest! {
    #[test]
    fn nothing_that_was_known_goes_back(known in entries(), departed in departed(), copy in entries()) {
        let copied: Vec<Entry> = copy.values().cloned().collect();
        let result = reconcile(&known, &departed, &copied);
        let believed = believed(&result);
        prop_assert_eq!(believed.len(), result.believed.len(), "a subject is named twice");
        for (subject, entry) in &known {
            let now = believed.get(subject).copied();
            prop_assert!(now.is_some(), "{:?} is lost", subject);
            match (&entry.change, now) {
                (Change::Routes(before), Some(Change::Routes(now))) => {
                    prop_assert!(now.version >= before.version);
                }
                (Change::Upstream(before), Some(Change::Upstream(now))) => {
                    prop_assert!(now.incarnation >= before.incarnation);
                    let is_later = LastWrite::of(now) > LastWrite::of(before);
                    prop_assert!(is_later || now.draining || !before.draining);
                }
                _ => {}
            }
        }
        for (id, departed) in &departed {
            let subject = Subject::Upstream(id.clone());
            if known.contains_key(&subject) {
                continue;
            }
            let now = as_upstream(believed.get(&subject).copied());
            prop_assert!(now.is_none_or(|now| LastWrite::of(now) > *departed));
        }
    }

    #[test]
    fn what_the_copy_holds_counts_where_nothing_newer_was_known(copy in entries()) {
        let copied: Vec<Entry> = copy.values().cloned().collect();
        let result = reconcile(&Known::new(), &BTreeMap::new(), &copied);
        prop_assert_eq!(result.believed, copied);
        prop_assert!(result.held.is_empty());
        prop_assert!(result.refused.is_empty());
    }

    /// Guards against an upstream that was written again before the restored registry was read, and
    /// was nevertheless removed in the end.
    #[test]
    fn a_later_write_of_an_upstream_counts_at_once(
        known in entries(),
        departed in departed(),
        copy in entries(),
    ) {
        let copied: Vec<Entry> = copy.values().cloned().collect();
        let result = reconcile(&known, &departed, &copied);
        let believed = believed(&result);
        for (subject, entry) in &copy {
            let Some(now) = as_upstream(Some(&entry.change)) else {
                continue;
            };
            let before = as_upstream(known.get(subject).map(|entry| &entry.change));
            let before = before.map(LastWrite::of).or_else(|| departed.get(&now.id).copied());
            if before.is_none_or(|before| LastWrite::of(now) > before) {
                prop_assert_eq!(believed.get(subject).copied(), Some(&entry.change));
                prop_assert!(!result.held.contains_key(subject));
                prop_assert!(!result.refused.contains_key(subject));
            }
        }
    }

    /// An entry that is held although the restored registry differs falls back to the registry's
    /// state unless it is written again.
    #[test]
    fn what_is_held_is_believed_and_ends(known in entries(), departed in departed(), copy in entries()) {
        let copied: Vec<Entry> = copy.values().cloned().collect();
        let result = reconcile(&known, &departed, &copied);
        let believed = believed(&result);
        for (subject, held) in &result.held {
            prop_assert_eq!(believed.get(subject), Some(&&held.believed.change));
            prop_assert_eq!(held.fallback.subject(), Some(subject.clone()));
            prop_assert!(!held.fallback.is_present());
            let copied = copy.get(subject).map(|entry| entry.revision);
            prop_assert_eq!(held.copied_revision, copied);
        }
        for subject in known.keys().filter(|subject| !copy.contains_key(subject)) {
            let lasts = *subject == Subject::Routes;
            prop_assert_eq!(result.held.contains_key(subject), !lasts);
        }
    }
}
