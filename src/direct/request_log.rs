//! Writes the log line and the metrics of each request.

use std::rc::Rc;

use hemlockrouter_edge::BatchCall;
use hemlockrouter_edge::CallerRequest;
use hemlockrouter_route::direct::FailedCall;
use hemlockrouter_route::direct::RequestResult;
use hemlockrouter_route::direct::Route;
use hemlockrouter_route::direct::Summary;
use http::StatusCode;
use log::info;

use super::node::FinishedRequest;
use crate::metrics::Metrics;

/// Writes the log line of each request and counts the request.
pub(super) struct RequestLog {
    pub(super) metrics: Rc<Metrics>,
}

/// Content of the log line for a request or a batch.
struct LogLine<'l> {
    message: &'static str,
    /// Kind of the request, as a metrics label.
    kind: &'static str,
    id: Option<&'l str>,
    route: &'l str,
    deadline_ms: Option<u64>,
    ended: &'static str,
    reason: &'l str,
    summary: &'l Summary,
}

impl RequestLog {
    /// Logs the end of a request.
    pub(super) fn log_ended(
        &self,
        request: &CallerRequest,
        route: &Route,
        finished: &FinishedRequest,
    ) {
        let (ended, reason) = describe_result(&finished.request_result);
        let kind = if route.is_search() {
            "search"
        } else {
            "single"
        };
        self.write(&LogLine {
            message: "ended",
            kind,
            id: request.attempt_id.as_deref(),
            route: &route.entry.name,
            deadline_ms: request.deadline_ms,
            ended,
            reason: &reason,
            summary: &finished.summary,
        });
    }

    /// Logs the end of a batch that was collected for another instance.
    pub(super) fn log_collected(&self, call: &BatchCall, summary: &Summary) {
        // An empty batch belongs to no request.
        if call.batch.parts.is_empty() {
            return;
        }
        self.write(&LogLine {
            message: "collected",
            kind: "batch",
            id: call.attempt_id(),
            route: &call.batch.route,
            deadline_ms: Some(call.left_ms),
            ended: "collected",
            reason: "",
            summary,
        });
    }

    fn write(&self, line: &LogLine<'_>) {
        let summary = line.summary;
        self.metrics
            .count_request(line.kind, line.ended, summary.took_ms);
        let extra_sends = summary.hedges + summary.retries;
        let first_sends = u64::from(summary.sends.saturating_sub(extra_sends));
        self.metrics
            .count_sub_requests(first_sends, u64::from(extra_sends));
        info!(
            target: "request",
            request = line.id.unwrap_or_default(),
            route = line.route,
            version = summary.version,
            deadline_ms = line.deadline_ms.unwrap_or_default(),
            ended = line.ended,
            why = line.reason,
            parts = summary.parts,
            answered = summary.answered,
            shared = summary.delegated_services,
            sends = summary.sends,
            hedges = summary.hedges,
            retries = summary.retries,
            denied = summary.over_budget,
            queued = summary.queued,
            unavailable = summary.unavailable,
            failed_calls = failed_calls(&summary.failed_calls).as_str(),
            took_ms = summary.took_ms;
            "{}", line.message
        );
    }

    /// Logs a request that matches no route.
    pub(super) fn log_unrouted(&self, request: &CallerRequest, version: u64) {
        self.metrics.count_request("none", "no_route", 0);
        info!(
            target: "request",
            request = request.attempt_id.as_deref().unwrap_or_default(),
            host = request.host.as_str(),
            path = request.uri.path(),
            version = version;
            "no route"
        );
    }

    /// Logs a request that arrived before any routes were known.
    pub(super) fn log_unconfigured(&self, request: &CallerRequest) {
        self.metrics.count_request("none", "not_configured", 0);
        info!(
            target: "request",
            request = request.attempt_id.as_deref().unwrap_or_default();
            "no routes are known yet"
        );
    }

    /// Logs a request that is refused because the instance is shutting down.
    pub(super) fn log_shutting_down(&self, request: &CallerRequest, route: &str, left_ms: u64) {
        self.metrics.count_request("none", "shutting_down", 0);
        info!(
            target: "request",
            request = request.attempt_id.as_deref().unwrap_or_default(),
            route = route,
            left_ms = left_ms;
            "refused while shutting down"
        );
    }

    /// Logs a request that can't be read.
    pub(super) fn log_rejected(&self, status: StatusCode, reason: &str) {
        self.metrics.count_request("none", "bad_request", 0);
        info!(target: "request", status = status.as_u16(), why = reason; "bad request");
    }
}

/// Joins the failed calls into one text.
fn failed_calls(calls: &[FailedCall]) -> String {
    let calls: Vec<String> = calls.iter().map(FailedCall::to_string).collect();
    calls.join("; ")
}

/// Returns the name of an ending and its reason.
fn describe_result(request_result: &RequestResult) -> (&'static str, String) {
    match request_result {
        RequestResult::Forwarded(reply) => ("passed", reply.status.to_string()),
        RequestResult::Merged { missing: 0, .. } => ("merged", String::new()),
        RequestResult::Merged { missing, .. } => ("merged", format!("{missing} shards missing")),
        RequestResult::NotRun { why, .. } => ("not_run", why.to_string()),
        RequestResult::Failed { why, .. } => ("failed", why.to_string()),
        RequestResult::TimedOut => ("timed_out", String::new()),
    }
}
