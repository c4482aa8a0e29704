//! Protocol of upstreams: the bodies of calls and the interpretation of answers.
//!
//! A malformed answer counts as a failure after which the work may have run.

use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::outbound::upstreams::CallEnded;
use crate::outbound::upstreams::CallKind;
use crate::outbound::upstreams::UpstreamCall;

/// Delay before a retry after an upstream shed load without giving a delay, in milliseconds.
pub(super) const SHED_RETRY_AFTER_MS: u32 = 200;

#[derive(Serialize)]
struct SearchBody<'a> {
    id: String,
    customer: &'a str,
    search: &'a str,
    shard: &'a str,
    snapshot: Option<Snapshot>,
    map: MapVersion,
    deadline_ms: u64,
    query: &'a RawValue,
}

#[derive(Serialize)]
struct RunBody<'a> {
    id: String,
    customer: &'a str,
    operation: &'a str,
    run_id: &'a str,
    deadline_ms: u64,
    request: &'a RawValue,
}

#[derive(Serialize)]
struct CancelBody {
    id: String,
}

#[derive(Deserialize)]
struct SearchAnswer<'a> {
    start: String,
    snapshot: Snapshot,
    map: MapVersion,
    oldest: Snapshot,
    newest: Snapshot,
    #[serde(default)]
    leaving: bool,
    #[serde(borrow)]
    results: &'a RawValue,
}

#[derive(Deserialize)]
struct RunAnswer<'a> {
    start: String,
    #[serde(default)]
    leaving: bool,
    #[serde(borrow)]
    result: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
enum RefusalAnswer {
    WrongSnapshot {
        oldest: Snapshot,
        newest: Snapshot,
        start: Option<String>,
    },
    WrongMap {
        map: MapVersion,
        start: Option<String>,
    },
    Shed {
        retry_after_ms: Option<u32>,
        start: Option<String>,
    },
    Leaving {},
}

impl UpstreamCall {
    pub(super) fn path(&self) -> &'static str {
        match self.kind {
            CallKind::Search { .. } => "/search",
            CallKind::Run { .. } => "/run",
            CallKind::Cancel => "/cancel",
        }
    }

    pub(super) fn body(&self, deadline_ms: u64) -> Vec<u8> {
        let id = self.id.to_string();
        let body = match &self.kind {
            CallKind::Search {
                customer,
                search,
                shard,
                snapshot,
                map,
                query,
            } => serde_json::to_vec(&SearchBody {
                id,
                customer,
                search,
                shard,
                snapshot: *snapshot,
                map: *map,
                deadline_ms,
                query: as_raw_json(query),
            }),
            CallKind::Run {
                customer,
                operation,
                run_id,
                request,
            } => serde_json::to_vec(&RunBody {
                id,
                customer,
                operation,
                run_id,
                deadline_ms,
                request: as_raw_json(request),
            }),
            CallKind::Cancel => serde_json::to_vec(&CancelBody { id }),
        };
        body.expect("calls can be represented in JSON")
    }
}

/// Returns the request as JSON, which the callers' port has validated. Returns `null` if another
/// instance sent invalid JSON.
fn as_raw_json(bytes: &[u8]) -> &RawValue {
    serde_json::from_slice(bytes).unwrap_or(RawValue::NULL)
}

/// Decodes the answer to a call that was executed.
pub(super) fn decode_answer(call: &UpstreamCall, body: &[u8], served_ms: u32) -> CallEnded {
    match &call.kind {
        CallKind::Search { .. } => decode_search_answer(call.id, body, served_ms),
        CallKind::Run { .. } => decode_run_answer(call.id, body, served_ms),
        CallKind::Cancel => failed_result(call.id, DispatchOutcome::Cancelled, served_ms),
    }
}

fn decode_search_answer(id: SubRequestId, body: &[u8], served_ms: u32) -> CallEnded {
    let Ok(answer) = serde_json::from_slice::<SearchAnswer<'_>>(body) else {
        return failed_result(id, DispatchOutcome::Failed, served_ms);
    };
    if serde_json::from_str::<Vec<&RawValue>>(answer.results.get()).is_err() {
        return failed_result(id, DispatchOutcome::Failed, served_ms);
    }
    let serves = SnapshotRange {
        oldest: answer.oldest,
        newest: answer.newest,
    };
    CallEnded {
        id,
        ended: DispatchOutcome::Answered {
            served_ms,
            start_id: parse_start_id(Some(&answer.start)),
            leaving: answer.leaving,
        },
        outcome: SubRequestOutcome::Answered {
            snapshot: answer.snapshot,
            map: answer.map,
            serves,
            body: answer.results.get().as_bytes().to_vec(),
        },
        served_ms,
    }
}

fn decode_run_answer(id: SubRequestId, body: &[u8], served_ms: u32) -> CallEnded {
    let Ok(answer) = serde_json::from_slice::<RunAnswer<'_>>(body) else {
        return failed_result(id, DispatchOutcome::Failed, served_ms);
    };
    CallEnded {
        id,
        ended: DispatchOutcome::Answered {
            served_ms,
            start_id: parse_start_id(Some(&answer.start)),
            leaving: answer.leaving,
        },
        outcome: SubRequestOutcome::Answered {
            snapshot: Snapshot::default(),
            map: MapVersion::default(),
            serves: SnapshotRange::default(),
            body: answer.result.get().as_bytes().to_vec(),
        },
        served_ms,
    }
}

/// Decodes a refusal, which states that the work did not run. After a malformed refusal, the work
/// may have run.
pub(super) fn decode_refusal(call: &UpstreamCall, body: &[u8], served_ms: u32) -> CallEnded {
    let id = call.id;
    let answered_outcome = |start: Option<String>| DispatchOutcome::Answered {
        served_ms,
        start_id: parse_start_id(start.as_deref()),
        leaving: false,
    };
    match serde_json::from_slice::<RefusalAnswer>(body) {
        Ok(RefusalAnswer::WrongSnapshot {
            oldest,
            newest,
            start,
        }) => CallEnded {
            id,
            ended: answered_outcome(start),
            outcome: SubRequestOutcome::WrongSnapshot {
                serves: SnapshotRange { oldest, newest },
            },
            served_ms,
        },
        Ok(RefusalAnswer::WrongMap { map, start }) => CallEnded {
            id,
            ended: answered_outcome(start),
            outcome: SubRequestOutcome::WrongMap { map },
            served_ms,
        },
        Ok(RefusalAnswer::Shed {
            retry_after_ms,
            start,
        }) => {
            let retry_after_ms = retry_after_ms.unwrap_or(SHED_RETRY_AFTER_MS);
            let start = parse_start_id(start.as_deref());
            let ended = DispatchOutcome::Shed {
                retry_after_ms,
                start_id: start,
            };
            not_run_result(id, ended, RefusalReason::Shed, retry_after_ms)
        }
        Ok(RefusalAnswer::Leaving {}) => not_run_result(
            id,
            DispatchOutcome::Leaving,
            RefusalReason::Leaving,
            SHED_RETRY_AFTER_MS,
        ),
        Err(_) => failed_result(id, DispatchOutcome::Failed, served_ms),
    }
}

pub(super) fn not_run_result(
    id: SubRequestId,
    ended: DispatchOutcome,
    reason: RefusalReason,
    retry_after_ms: u32,
) -> CallEnded {
    let refusal = Refusal {
        reason,
        retry_after_ms,
    };
    CallEnded {
        id,
        ended,
        outcome: SubRequestOutcome::NotRun(refusal),
        served_ms: 0,
    }
}

pub(super) fn failed_result(id: SubRequestId, ended: DispatchOutcome, served_ms: u32) -> CallEnded {
    CallEnded {
        id,
        ended,
        outcome: SubRequestOutcome::Failed,
        served_ms,
    }
}

/// Parses the id of an upstream's start, which is a hexadecimal number.
fn parse_start_id(text: Option<&str>) -> Option<StartId> {
    u64::from_str_radix(text?, 16).ok().map(StartId)
}
