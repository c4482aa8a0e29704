//! Tests of upstreams that answer without end.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_corporation_lab::EndlessPart;
use hemlockrouter_corporation_lab::EndlessUpstream;
use serde_json::json;

use crate::harness::eventually;
use crate::harness::Caller;
use crate::harness::Cluster;
use crate::harness::Layout;

/// The memory of the smallest machines, in MiB.
const MACHINE_MEMORY_MB: u64 = 160;

/// The number of callers, and the time for which they send searches.
const CALLER_COUNT: usize = 16;
const LOAD_TIME: Duration = Duration::from_secs(2);

const PARTS: [EndlessPart; 5] = [
    EndlessPart::HeaderLine,
    EndlessPart::Headers,
    EndlessPart::Body,
    EndlessPart::ChunkedBody,
    EndlessPart::InterimResponses,
];

/// Sends searches to all instances, and returns the answers that are no success or lack more than
/// the shard `halls-1`.
fn search_beside_endless_answers(cluster: &Cluster) -> Vec<String> {
    let callers = cluster.callers();
    let started = Instant::now();
    thread::scope(|scope| {
        let searches = (0..CALLER_COUNT).map(|number| {
            let to = callers[number % callers.len()];
            scope.spawn(move || {
                let caller = Caller::for_teachers();
                let body = json!({"search": "halls", "query": {"id": "q"}, "deadline_ms": 800});
                let mut broken = Vec::new();
                while started.elapsed() < LOAD_TIME {
                    let (status, answer) = caller.post(to, "/v1/search", None, &body);
                    let missing = &answer["coverage"]["missing"];
                    let is_whole = *missing == json!([]) || *missing == json!(["halls-1"]);
                    if status != 200 || !is_whole {
                        broken.push(format!("{status} {answer}"));
                    }
                }
                broken
            })
        });
        let searches: Vec<_> = searches.collect();
        let broken = searches
            .into_iter()
            .map(|search| search.join().expect("no caller panics"));
        broken.flatten().collect()
    })
}

/// Guards against instances that run out of memory, or searches that lack other shards, since all
/// upstreams of one shard answer without end.
#[test]
fn endless_answers_cost_their_shard_and_bounded_memory() {
    let mut cluster = Cluster::start(Layout::new());
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    let names: Vec<String> = cluster.layout.shard_map()["halls-1"].clone();
    for (number, part) in PARTS.into_iter().enumerate() {
        let endless: Vec<EndlessUpstream> = names
            .iter()
            .map(|_| EndlessUpstream::start(runtime.handle(), part).expect("a port is free"))
            .collect();
        let upstreams = names.iter().zip(&endless);
        let upstreams: serde_json::Map<_, _> = upstreams
            .map(|(name, endless)| (name.clone(), json!({"address": endless.address()})))
            .collect();
        cluster.submit(&json!({
            "id": format!("endless-{number}"),
            "author": "kim",
            "changed": {"upstreams": upstreams},
        }));
        let broken = search_beside_endless_answers(&cluster);
        assert!(broken.is_empty(), "{part:?}: {broken:#?}");
        eventually("the connections are closed", || {
            endless.iter().all(|endless| endless.open_responses() == 0)
        });
        for instance in &mut cluster.instances {
            let peak_kb = instance.peak_memory_kb();
            assert!(peak_kb < MACHINE_MEMORY_MB << 10, "{part:?}: {peak_kb} kB");
        }
    }
}
