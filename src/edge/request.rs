//! Parsing of callers' requests and rendering of answers.
//!
//! Every refusal has a stable code and says whether anything ran. If a retry is useful, the refusal
//! gives the time after which to retry, in `Retry-After` (whole seconds, as HTTP requires) and in
//! `retry_after_ms`.

use std::borrow::Cow;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header;
use hyper::http::request::Parts;
use hyper::Response;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use crate::node::CallerAnswer;
use crate::node::RequestIdentifier;
use crate::node::RequestKind;
use crate::node::SearchAnswer;

/// Maximum length of an idempotency key or ticket, in bytes.
const RUN_KEY_MAX_BYTES: usize = 256;

/// Retry-after time when the instance is overloaded, in milliseconds.
const OVERLOADED_RETRY_AFTER_MS: u32 = 100;

/// Error response to a request for which the node made no decision.
#[derive(Debug)]
pub(crate) struct CallerError {
    status: StatusCode,
    code: &'static str,
    message: Cow<'static, str>,
    retry_after_ms: Option<u32>,
    may_have_run: bool,
}

impl CallerError {
    /// Creates an error for a request that did not run.
    pub(crate) fn new<T>(status: StatusCode, code: &'static str, message: T) -> CallerError
    where
        T: Into<Cow<'static, str>>,
    {
        CallerError {
            status,
            code,
            message: message.into(),
            retry_after_ms: None,
            may_have_run: false,
        }
    }

    /// Creates the error for a request that the overloaded instance can't queue.
    pub(crate) fn overloaded() -> CallerError {
        let message = "this instance has no room for the request";
        let mut error = CallerError::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message);
        error.retry_after_ms = Some(OVERLOADED_RETRY_AFTER_MS);
        error
    }

    /// Creates the error for a request that was in flight when the node stopped.
    pub(crate) fn outcome_unknown() -> CallerError {
        let message = "the instance stopped while the request was under way";
        let mut error = CallerError::new(StatusCode::BAD_GATEWAY, "unknown", message);
        error.may_have_run = true;
        error
    }
}

/// Returns the bearer key of a request.
///
/// # Errors
///
/// Returns the error for the caller if there is no bearer key.
pub(crate) fn bearer(head: &Parts) -> Result<String, CallerError> {
    let value = head
        .headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.map(str::to_owned).ok_or_else(unauthorized)
}

/// Creates the error for missing, unknown and wrong keys, which is the same for all three.
fn unauthorized() -> CallerError {
    let message = "send the customer's key as 'Authorization: Bearer KEY'";
    CallerError::new(StatusCode::UNAUTHORIZED, "unauthorized", message)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SearchBody<'a> {
    search: String,
    #[serde(borrow)]
    query: &'a RawValue,
    deadline_ms: u64,
    min_coverage: Option<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RunBody<'a> {
    operation: String,
    #[serde(borrow)]
    request: &'a RawValue,
    deadline_ms: u64,
    ticket: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketBody {
    operation: String,
}

/// Parses a request. Its deadline may be at most `deadline_max_ms`.
///
/// # Errors
///
/// Returns the error for the caller if the path is unknown or the body is invalid.
pub(crate) fn parse(
    head: &Parts,
    body: &[u8],
    deadline_max_ms: u64,
) -> Result<RequestKind, CallerError> {
    match head.uri.path() {
        "/v1/search" => parse_search(body, deadline_max_ms),
        "/v1/run" => parse_run(head, body, deadline_max_ms),
        "/v1/tickets" => {
            let body: TicketBody = parse_body(body)?;
            Ok(RequestKind::Ticket {
                operation: body.operation,
            })
        }
        _ => Err(CallerError::new(
            StatusCode::NOT_FOUND,
            "unknown_path",
            "paths are /v1/search, /v1/run and /v1/tickets",
        )),
    }
}

fn parse_search(body: &[u8], deadline_max_ms: u64) -> Result<RequestKind, CallerError> {
    let body: SearchBody<'_> = parse_body(body)?;
    let min_coverage = body.min_coverage.unwrap_or(0.0);
    if !(0.0..=1.0).contains(&min_coverage) {
        return Err(CallerError::new(
            StatusCode::BAD_REQUEST,
            "bad_min_coverage",
            "min_coverage must lie between 0 and 1",
        ));
    }
    Ok(RequestKind::Search {
        search: body.search,
        query: body.query.get().as_bytes().to_vec(),
        deadline_ms: check_deadline(body.deadline_ms, deadline_max_ms)?,
        min_coverage: body.min_coverage,
    })
}

fn parse_run(head: &Parts, body: &[u8], deadline_max_ms: u64) -> Result<RequestKind, CallerError> {
    let body: RunBody<'_> = parse_body(body)?;
    let key = head
        .headers
        .get("idempotency-key")
        .map(|value| value.to_str());
    let identifier = match (body.ticket, key) {
        (Some(ticket), None) => RequestIdentifier::Ticket(ticket),
        (None, Some(Ok(key))) => RequestIdentifier::Key(key.to_owned()),
        _ => {
            return Err(CallerError::new(
                StatusCode::BAD_REQUEST,
                "bad_idempotency",
                "send either an Idempotency-Key header or the field ticket",
            ))
        }
    };
    let name_len = match &identifier {
        RequestIdentifier::Ticket(name) | RequestIdentifier::Key(name) => name.len(),
    };
    if name_len == 0 || name_len > RUN_KEY_MAX_BYTES {
        let message = format!("keys and tickets have 1 to {RUN_KEY_MAX_BYTES} bytes");
        return Err(CallerError::new(
            StatusCode::BAD_REQUEST,
            "bad_idempotency",
            message,
        ));
    }
    Ok(RequestKind::Run {
        operation: body.operation,
        request: body.request.get().as_bytes().to_vec(),
        deadline_ms: check_deadline(body.deadline_ms, deadline_max_ms)?,
        identifier,
    })
}

fn parse_body<'a, T>(body: &'a [u8]) -> Result<T, CallerError>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not what this path takes: {error}");
        CallerError::new(StatusCode::BAD_REQUEST, "bad_body", message)
    })
}

fn check_deadline(deadline_ms: u64, max_ms: u64) -> Result<u64, CallerError> {
    if (1..=max_ms).contains(&deadline_ms) {
        return Ok(deadline_ms);
    }
    let message = format!("deadline_ms must lie between 1 and {max_ms}");
    Err(CallerError::new(
        StatusCode::BAD_REQUEST,
        "bad_deadline",
        message,
    ))
}

/// Renders the answer of the node.
pub(crate) fn render(answer: &CallerAnswer) -> Response<Full<Bytes>> {
    match answer {
        CallerAnswer::Search(answer) => render_search(answer),
        CallerAnswer::Run(outcome) => render_run(outcome),
        CallerAnswer::Ticket {
            ticket,
            expires_in_ms,
        } => {
            let body = json!({ "ticket": ticket, "expires_in_ms": expires_in_ms });
            json_response(StatusCode::OK, &body, None)
        }
        CallerAnswer::Refused(refusal) => render_refusal(*refusal),
        CallerAnswer::Unauthorized => render_error(&unauthorized()),
        CallerAnswer::UnknownResource { resource_kind } => {
            let message = format!("the customer has no {resource_kind} of this name");
            render_error(&CallerError::new(
                StatusCode::NOT_FOUND,
                "unknown_name",
                message,
            ))
        }
    }
}

/// Renders the error of a request for which the node made no decision.
pub(crate) fn render_error(error: &CallerError) -> Response<Full<Bytes>> {
    let ran = if error.may_have_run {
        json!("unknown")
    } else {
        json!(false)
    };
    let mut body = json!({ "code": error.code, "ran": ran, "message": error.message });
    if let Some(ms) = error.retry_after_ms {
        body["retry_after_ms"] = json!(ms);
    }
    json_response(error.status, &body, error.retry_after_ms)
}

fn render_search(answer: &SearchAnswer) -> Response<Full<Bytes>> {
    let mut results: Vec<&RawValue> = Vec::new();
    for shard in &answer.shards {
        let shard_results: Vec<&RawValue> = serde_json::from_slice(&shard.body)
            .expect("the owner checked that the upstream's results are a JSON array");
        results.extend(shard_results);
    }
    let missing = &answer.missing;
    let coverage = json!({
        "shards_answered": answer.shards.len(),
        "shards_total": answer.total,
        "missing": missing,
    });
    #[derive(serde::Serialize)]
    struct SearchResponse<'a> {
        results: Vec<&'a RawValue>,
        snapshot: u64,
        coverage: serde_json::Value,
        took_ms: u64,
    }
    let body = SearchResponse {
        results,
        snapshot: answer.snapshot.0,
        coverage,
        took_ms: answer.took_ms,
    };
    json_response(StatusCode::OK, &body, None)
}

fn render_run(outcome: &RunOutcome) -> Response<Full<Bytes>> {
    match outcome {
        RunOutcome::Done { body } => {
            let result: &RawValue = serde_json::from_slice(body)
                .expect("the owner checked that the upstream's result is JSON");
            #[derive(serde::Serialize)]
            struct RunResponse<'a> {
                outcome: &'static str,
                result: &'a RawValue,
            }
            let outcome = "done";
            json_response(StatusCode::OK, &RunResponse { outcome, result }, None)
        }
        RunOutcome::NotRun(refusal) => {
            let mut body = refusal_body(*refusal);
            body["outcome"] = json!("not_run");
            json_response(
                refusal_status(refusal.reason),
                &body,
                Some(refusal.retry_after_ms),
            )
        }
        RunOutcome::Unknown => {
            let body = json!({
                "outcome": "unknown",
                "code": "unknown",
                "ran": "unknown",
                "message": "the request may have run and will not be run again",
            });
            json_response(StatusCode::BAD_GATEWAY, &body, None)
        }
        RunOutcome::Conflict => {
            let body = json!({
                "outcome": "conflict",
                "code": "conflict",
                "ran": false,
                "message": "this key or ticket belongs to another request; this one did not run",
            });
            json_response(StatusCode::CONFLICT, &body, None)
        }
    }
}

fn render_refusal(refusal: Refusal) -> Response<Full<Bytes>> {
    let body = refusal_body(refusal);
    json_response(
        refusal_status(refusal.reason),
        &body,
        Some(refusal.retry_after_ms),
    )
}

fn refusal_body(refusal: Refusal) -> serde_json::Value {
    // Only a refusal for lack of coverage can follow after upstreams have worked on the request.
    let ran = match refusal.reason {
        RefusalReason::Coverage => json!("unknown"),
        _ => json!(false),
    };
    json!({
        "code": refusal.reason,
        "ran": ran,
        "message": format!("refused: {}", refusal.reason),
        "retry_after_ms": refusal.retry_after_ms,
    })
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::CustomerLimit => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn json_response<B>(
    status: StatusCode,
    body: &B,
    retry_after_ms: Option<u32>,
) -> Response<Full<Bytes>>
where
    B: serde::Serialize,
{
    let bytes = serde_json::to_vec(body).expect("answers can be represented in JSON");
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    if let Some(ms) = retry_after_ms {
        headers.insert(header::RETRY_AFTER, ms.div_ceil(1000).into());
    }
    if status == StatusCode::UNAUTHORIZED {
        let scheme = header::HeaderValue::from_static("Bearer");
        headers.insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}
