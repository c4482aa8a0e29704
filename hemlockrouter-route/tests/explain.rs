//! Tests the explanation for operators of which upstream a search would use.

mod support;

use std::fmt::Write;
use std::sync::Arc;

use hemlockrouter_route::Query;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_route::SearcherConfig;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;

use crate::support::Layout;

const ORIGIN: InstanceId = InstanceId(1);

/// Returns the outcome of a sub-request to `upstream`: 2 can't be reached, 5 sheds the request, 8
/// has only an older snapshot.
fn outcome(upstream: UpstreamKey) -> SubRequestOutcome {
    let refused = |reason| {
        SubRequestOutcome::NotRun(Refusal {
            reason,
            retry_after_ms: 400,
        })
    };
    let snapshot = match upstream.raw() {
        2 => return refused(RefusalReason::Unreachable),
        5 => return refused(RefusalReason::Shed),
        8 => Snapshot(6),
        _ => Snapshot(7),
    };
    SubRequestOutcome::Answered {
        snapshot,
        map: MapVersion(1),
        serves: SnapshotRange {
            oldest: Snapshot(5),
            newest: snapshot,
        },
        body: Vec::new(),
    }
}

#[test]
fn explain_lists_chosen_and_rejected_upstreams_with_reasons() {
    let mut catalog = support::catalog(&Layout {
        zones: 3,
        upstreams: 12,
        customers: 2,
        searches: vec![4],
        replicas: 3,
        operations: Vec::new(),
    });
    let upstream = catalog.upstreams.get_mut(UpstreamKey::from_raw(9));
    upstream.unwrap().in_service = false;
    let customer = CustomerKey::from_raw(0);
    let search = SearchKey::from_raw(0);
    let mut searcher = Searcher::new(SearcherConfig::new().zone("zone-2"), ORIGIN, 1);
    let mut out = Vec::new();
    searcher.configure(Time::ZERO, Arc::new(catalog), &mut out);

    let now = Time::from_ms(1_000);
    let query = Query {
        id: QueryId {
            origin: ORIGIN,
            seq: 1,
        },
        customer,
        search,
        deadline: now + 100,
        min_coverage: None,
    };
    searcher.start(now, query, &mut out);
    let mut next = 0;
    while next < out.len() {
        if let SearchCommand::Send { seq, upstream, .. } = out[next] {
            let reply = SubRequestReply {
                id: SubRequestId {
                    origin: ORIGIN,
                    seq,
                },
                outcome: outcome(upstream),
                queued_ms: 0,
                served_ms: 4,
            };
            searcher.reply(now + 4, reply, &mut out);
        }
        next += 1;
    }

    let mut text = String::new();
    for choice in searcher.explain(now + 4, customer, search) {
        let chosen = choice
            .chosen
            .map_or("none".to_owned(), |key| key.to_string());
        writeln!(text, "{}: upstream {chosen}, {}", choice.name, choice.why).unwrap();
        for passed in choice.passed_over {
            writeln!(text, "    not {}: {}", passed.upstream, passed.why).unwrap();
        }
    }
    insta::assert_snapshot!(text);
    let other = CustomerKey::from_raw(1);
    assert!(searcher.explain(now + 4, other, search).is_empty());
}
