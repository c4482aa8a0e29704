//! Properties of the merge of known entries with any registry that was restored from a backup.

use std::collections::BTreeMap;

use hemlockrouter_edge::keep_newer;
use hemlockrouter_edge::reconcile;
use hemlockrouter_edge::Entry;
use hemlockrouter_edge::EntryChange;
use hemlockrouter_edge::EntrySubject;
use hemlockrouter_edge::ReconciledEntries;
use hemlockrouter_edge::UpstreamWrite;
use hemlockrouter_types::routing::CallerLimits;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::RouteDocument;
use hemlockrouter_types::routing::UpstreamEntry;
use proptest::prelude::*;

type EntriesBySubject = BTreeMap<EntrySubject, Entry>;

fn routes(version: u64) -> EntryChange {
    EntryChange::Routes(RouteDocument {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            header_max_bytes: 1,
            body_max_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        unreadable: Vec::new(),
    })
}

fn zone(name: u8) -> EntryChange {
    EntryChange::Zone {
        zone: format!("zone-{name}"),
        out: true,
    }
}

fn upstream(id: u8, incarnation: u64, sequence: u64, draining: bool) -> EntryChange {
    EntryChange::Upstream(UpstreamEntry {
        id: format!("upstream-{id}"),
        incarnation,
        sequence,
        service: String::from("ledger"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        zone: String::from("zone-0"),
        slots: 2,
        draining,
        cold_ms: 0,
    })
}

fn instance(name: u8) -> EntryChange {
    EntryChange::Instance(InstanceEntry {
        name: format!("instance-{name}"),
        zone: String::from("zone-0"),
        relay: None,
        cpu_permille: 250,
        registered_by: None,
    })
}

fn any_change() -> impl Strategy<Value = EntryChange> {
    prop_oneof![
        (1..9_u64).prop_map(routes),
        (0..3_u8).prop_map(zone),
        (0..4_u8, 1..4_u64, 1..4_u64, any::<bool>())
            .prop_map(|(id, start, sequence, draining)| upstream(id, start, sequence, draining)),
        (0..3_u8).prop_map(instance),
    ]
}

/// Generates the content of a registry, with one entry per subject.
fn any_entries() -> impl Strategy<Value = EntriesBySubject> {
    prop::collection::vec((1..99_u64, any_change()), 0..16).prop_map(|changes| {
        let entries = changes.into_iter().map(|(revision, change)| {
            let subject = change
                .subject()
                .expect("every generated change has a subject");
            (subject, Entry { revision, change })
        });
        entries.collect()
    })
}

fn any_departed_upstreams() -> impl Strategy<Value = BTreeMap<String, UpstreamWrite>> {
    let write = (0..4_u8, 1..4_u64, 1..4_u64);
    prop::collection::vec(write, 0..4).prop_map(|writes| {
        let departed = writes.into_iter().map(|(id, incarnation, sequence)| {
            let last = UpstreamWrite {
                incarnation,
                sequence,
            };
            (format!("upstream-{id}"), last)
        });
        departed.collect()
    })
}

fn entries_by_subject(result: &ReconciledEntries) -> BTreeMap<EntrySubject, &EntryChange> {
    let entries = result.entries.iter();
    let subjects = entries.map(|entry| {
        (
            entry
                .change
                .subject()
                .expect("every merged entry has a subject"),
            &entry.change,
        )
    });
    subjects.collect()
}

fn as_upstream(change: Option<&EntryChange>) -> Option<&UpstreamEntry> {
    match change {
        Some(EntryChange::Upstream(entry)) => Some(entry),
        _ => None,
    }
}

proptest! {
    /// Guards against a complete read of another instance that undoes newer content.
    #[test]
    fn complete_read_never_undoes_newer_known_entries(
        known_entries in any_entries(),
        read in any_entries(),
        read_revision in 1..99_u64,
    ) {
        let read_entries: Vec<Entry> = read.values().cloned().collect();
        let merged = keep_newer(&known_entries, &read_entries, read_revision);
        let revisions = |entries: &[Entry]| -> BTreeMap<EntrySubject, u64> {
            let revisions = entries.iter();
            revisions
                .filter_map(|entry| Some((entry.change.subject()?, entry.revision)))
                .collect()
        };
        let mut expected = revisions(&read_entries);
        for (subject, entry) in &known_entries {
            if entry.revision > read_revision {
                let revision = expected.entry(subject.clone()).or_default();
                *revision = entry.revision.max(*revision);
            }
        }
        prop_assert_eq!(merged.len(), expected.len(), "a subject is named twice");
        prop_assert_eq!(revisions(&merged), expected);
    }

    #[test]
    fn known_entries_never_revert_to_older_backup_entries(
        known_entries in any_entries(),
        departed in any_departed_upstreams(),
        backup in any_entries(),
    ) {
        let backup_entries: Vec<Entry> = backup.values().cloned().collect();
        let result = reconcile(&known_entries, &departed, &backup_entries);
        let merged_entries = entries_by_subject(&result);
        prop_assert_eq!(merged_entries.len(), result.entries.len(), "a subject is named twice");
        for (subject, entry) in &known_entries {
            let merged = merged_entries.get(subject).copied();
            prop_assert!(merged.is_some(), "{:?} is lost", subject);
            match (&entry.change, merged) {
                (EntryChange::Routes(known_entry), Some(EntryChange::Routes(merged))) => {
                    prop_assert!(merged.version >= known_entry.version);
                }
                (EntryChange::Upstream(known_entry), Some(EntryChange::Upstream(merged))) => {
                    prop_assert!(merged.incarnation >= known_entry.incarnation);
                    let is_later = UpstreamWrite::from_entry(merged) > UpstreamWrite::from_entry(known_entry);
                    prop_assert!(is_later || merged.draining || !known_entry.draining);
                }
                _ => {}
            }
        }
        for (id, departed) in &departed {
            let subject = EntrySubject::Upstream(id.clone());
            if known_entries.contains_key(&subject) {
                continue;
            }
            let merged = as_upstream(merged_entries.get(&subject).copied());
            prop_assert!(merged.is_none_or(|merged| UpstreamWrite::from_entry(merged) > *departed));
        }
    }

    #[test]
    fn backup_is_used_unchanged_without_known_entries(backup in any_entries()) {
        let backup_entries: Vec<Entry> = backup.values().cloned().collect();
        let result = reconcile(&EntriesBySubject::new(), &BTreeMap::new(), &backup_entries);
        prop_assert_eq!(result.entries, backup_entries);
        prop_assert!(result.held.is_empty());
        prop_assert!(result.departed_upstreams.is_empty());
    }

    /// Guards against an upstream that was written again before the restored registry was read, and
    /// was nevertheless removed in the end.
    #[test]
    fn later_upstream_write_in_backup_applies_immediately(
        known_entries in any_entries(),
        departed in any_departed_upstreams(),
        backup in any_entries(),
    ) {
        let backup_entries: Vec<Entry> = backup.values().cloned().collect();
        let result = reconcile(&known_entries, &departed, &backup_entries);
        let merged_entries = entries_by_subject(&result);
        for (subject, entry) in &backup {
            let Some(backup_upstream) = as_upstream(Some(&entry.change)) else {
                continue;
            };
            let known_entry = as_upstream(known_entries.get(subject).map(|entry| &entry.change));
            let known_write =
                known_entry.map(UpstreamWrite::from_entry).or_else(|| departed.get(&backup_upstream.id).copied());
            if known_write.is_none_or(|known_write| UpstreamWrite::from_entry(backup_upstream) > known_write) {
                prop_assert_eq!(merged_entries.get(subject).copied(), Some(&entry.change));
                prop_assert!(!result.held.contains_key(subject));
                prop_assert!(!result.departed_upstreams.contains_key(subject));
            }
        }
    }

    /// An entry that is held although the restored registry differs falls back to the registry's
    /// state unless it is written again.
    #[test]
    fn held_entries_are_used_until_they_fall_back(
        known_entries in any_entries(),
        departed in any_departed_upstreams(),
        backup in any_entries(),
    ) {
        let backup_entries: Vec<Entry> = backup.values().cloned().collect();
        let result = reconcile(&known_entries, &departed, &backup_entries);
        let merged_entries = entries_by_subject(&result);
        for (subject, held) in &result.held {
            prop_assert_eq!(merged_entries.get(subject), Some(&&held.entry.change));
            prop_assert_eq!(held.fallback.subject(), Some(subject.clone()));
            prop_assert!(!held.fallback.is_present());
            let backup_revision = backup.get(subject).map(|entry| entry.revision);
            prop_assert_eq!(held.backup_revision, backup_revision);
        }
        for subject in known_entries.keys().filter(|subject| !backup.contains_key(subject)) {
            let is_permanent = *subject == EntrySubject::Routes;
            prop_assert_eq!(result.held.contains_key(subject), !is_permanent);
        }
    }
}
