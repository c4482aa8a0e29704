//! Tests of the HTTP client and of the protocols on top of it against a test double of the store.

use std::net::TcpListener;
use std::thread;

use hemlockrouter_config::Note;
use hemlockrouter_lab::store::CallKind;
use hemlockrouter_lab::store::SimulatedStore;
use hemlockrouter_lab::store::StoreFaults;
use hemlockrouter_lab::store::StoreOptions;
use hemlockrouter_platform::claims;
use hemlockrouter_platform::claims::ClaimOutcome;
use hemlockrouter_platform::notes;
use hemlockrouter_platform::notes::BaseWriteOutcome;
use hemlockrouter_platform::notes::FollowResult;
use hemlockrouter_platform::notes::Follower;
use hemlockrouter_platform::notes::Submission;
use hemlockrouter_platform::CallCounts;
use hemlockrouter_platform::ConsulClient;
use hemlockrouter_platform::InstanceList;
use hemlockrouter_platform::Store;
use hemlockrouter_platform::WriteCondition;
use hemlockrouter_platform::WriteOutcome;
use hemlockrouter_types::prelude::*;

const TIMEOUT_MS: u64 = 5_000;

fn start_store_and_client() -> (SimulatedStore, ConsulClient) {
    let fake_store = SimulatedStore::start(StoreOptions {
        listen: "127.0.0.1:0".parse().expect("an address"),
        faults: StoreFaults::default(),
    })
    .expect("a free port");
    let consul = ConsulClient::new(fake_store.addr(), TIMEOUT_MS);
    (fake_store, consul)
}

fn lose_every_response(fake_store: &SimulatedStore) {
    fake_store.set_faults(StoreFaults {
        lose_answers_every: 1,
        ..StoreFaults::default()
    });
}

fn zone_note(id: usize) -> Note {
    let text = format!(
        r#"{{"id": "n{id}", "author": "kim", "added": {{"zones": {{"z{id}": {{"region": "r"}}}}}}}}"#
    );
    Note::parse(&text, "note").expect("the note is well formed")
}

#[test]
fn write_outcomes_match_store_content() {
    let (fake_store, consul) = start_store_and_client();
    assert_eq!(
        consul.write("k", b"one", WriteCondition::IfAbsent),
        WriteOutcome::Applied
    );
    assert_eq!(
        consul.write("k", b"two", WriteCondition::IfAbsent),
        WriteOutcome::ConditionFailed
    );
    let entry = consul.get("k").expect("an answer").entry.expect("a value");
    assert_eq!(entry.value, b"one");
    let guard = WriteCondition::IfVersion(entry.version);
    assert_eq!(consul.write("k", b"two", guard), WriteOutcome::Applied);
    assert_eq!(
        consul.write("k", b"three", guard),
        WriteOutcome::ConditionFailed
    );
    let too_large = vec![b'x'; notes::PART_MAX_BYTES + 1];
    assert_eq!(
        consul.write("k", &too_large, WriteCondition::Unconditional),
        WriteOutcome::NotApplied
    );
    assert_eq!(consul.keys("").expect("an answer"), ["k"]);
    lose_every_response(&fake_store);
    assert_eq!(
        consul.write("l", b"four", WriteCondition::IfAbsent),
        WriteOutcome::Unknown
    );
    assert_eq!(fake_store.value("l").as_deref(), Some(&b"four"[..]));
    let calls = CallCounts {
        reads: 2,
        waits: 0,
        writes: 6,
        failed: 2,
    };
    assert_eq!(consul.calls(), calls);
    let unused_address =
        TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let unreachable = ConsulClient::new(unused_address.expect("a free port"), TIMEOUT_MS);
    assert_eq!(
        unreachable.write("k", b"five", WriteCondition::Unconditional),
        WriteOutcome::NotApplied
    );
    assert!(unreachable.get("k").is_err());
}

#[test]
fn value_of_maximum_size_is_read_back() {
    let (_fake_store, consul) = start_store_and_client();
    let value = vec![0xff; notes::PART_MAX_BYTES];
    assert_eq!(
        consul.write("k", &value, WriteCondition::Unconditional),
        WriteOutcome::Applied
    );
    let read = consul.get("k").expect("an answer");
    assert_eq!(read.entry.expect("a value").value, value);
}

#[test]
fn submission_is_accepted_and_found_again_although_responses_are_lost() {
    let (fake_store, consul) = start_store_and_client();
    let empty_catalog = Catalog::default();
    lose_every_response(&fake_store);
    let accepted = Submission::Accepted {
        number: ConfigNumber(1),
    };
    assert_eq!(
        notes::submit(&consul, &zone_note(1), &empty_catalog),
        accepted
    );
    assert_eq!(
        notes::submit(&consul, &zone_note(1), &empty_catalog),
        accepted
    );
    fake_store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let unavailable = Submission::Unavailable {
        may_have_taken_effect: false,
    };
    assert_eq!(
        notes::submit(&consul, &zone_note(2), &empty_catalog),
        unavailable
    );
}

#[test]
fn following_costs_two_calls_per_note() {
    let (fake_store, consul) = start_store_and_client();
    let mut follower = Follower::new(ConfigNumber(0));
    assert_eq!(follower.follow(&consul, 30_000), FollowResult::NoNewNote);
    let mut catalog = Catalog::default();
    for id in 1..=3 {
        let calls_before = consul.calls();
        thread::scope(|scope| {
            let followed = scope.spawn(|| follower.follow(&consul, 30_000));
            while fake_store.counts().waiting == 0 {
                thread::yield_now();
            }
            // A write to another key does not wake the follower.
            let other_client = ConsulClient::new(fake_store.addr(), TIMEOUT_MS);
            other_client.write(
                "hemlockrouter/claims/x",
                b"1",
                WriteCondition::Unconditional,
            );
            assert!(matches!(
                notes::submit(&other_client, &zone_note(id), &catalog),
                Submission::Accepted { .. }
            ));
            let FollowResult::Note(note) = followed.join().expect("no panic") else {
                panic!("the note was not followed");
            };
            catalog = hemlockrouter_config::apply_accepted_note(&catalog, note.number, &note.bytes)
                .catalog;
        });
        assert_eq!(follower.follow(&consul, 30_000), FollowResult::NoNewNote);
        let calls_after = consul.calls();
        assert_eq!(calls_after.waits - calls_before.waits, 1);
        assert_eq!(calls_after.reads - calls_before.reads, 1);
    }
    assert_eq!(fake_store.counts().calls_of_kind(CallKind::Watch), 3);
    let written = BaseWriteOutcome::Written {
        replaced_number: ConfigNumber(0),
    };
    assert_eq!(notes::write_base(&consul, &catalog), written);
    let loaded = notes::load(&consul).expect("the store is up");
    assert_eq!(loaded.catalog, catalog);
    assert_eq!(loaded.base, ConfigNumber(3));
}

#[test]
fn claim_succeeds_only_once_although_responses_are_lost() {
    let (fake_store, consul) = start_store_and_client();
    lose_every_response(&fake_store);
    assert_eq!(claims::claim(&consul, "k", b"nonce-1"), ClaimOutcome::Won);
    let taken = ClaimOutcome::HeldByOther(b"nonce-1".to_vec());
    assert_eq!(claims::claim(&consul, "k", b"nonce-2"), taken);
    fake_store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let unavailable = ClaimOutcome::Unavailable {
        may_have_taken_effect: true,
    };
    assert_eq!(claims::claim(&consul, "l", b"nonce-3"), unavailable);
}

/// Guards also against an entry with a port out of range, which kept instances from reading the
/// list.
#[test]
fn instance_list_returns_address_zone_and_leaving_flag() {
    let (fake_store, consul) = start_store_and_client();
    let register = |id: &str, port: u64, meta: &str| {
        let body = format!(
            r#"{{"ID": "{id}", "Name": "s", "Address": "127.0.0.1", "Port": {port}, "Meta": {meta}}}"#
        );
        let url = format!("http://{}/v1/agent/service/register", fake_store.addr());
        ureq::put(url).send(&body).expect("an answer");
    };
    // One odd entry of another writer must not hide the others.
    register("odd", 99_999, "{}");
    register("a", 1, r#"{"zone": "z1"}"#);
    register("b", 2, r#"{"leaving": "true"}"#);
    // The instance list shows a change after a short delay.
    let listed = loop {
        let listed = consul.instances("s").expect("an answer");
        if listed.len() == 2 {
            break listed;
        }
        thread::yield_now();
    };
    let listed_fields: Vec<(u16, Option<&str>, bool)> = listed
        .iter()
        .map(|row| (row.address.port(), row.zone.as_deref(), row.leaving))
        .collect();
    assert_eq!(listed_fields, [(1, Some("z1"), false), (2, None, true)]);
    assert_eq!(consul.instances("none").expect("an answer"), []);
}
