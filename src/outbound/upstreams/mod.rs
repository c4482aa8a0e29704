//! Client for upstreams.
//!
//! Threads are started on demand, up to a maximum. Each thread checks the ownership lease on the
//! monotonic clock just before it sends the request. An instance that was frozen between the
//! decision and the call therefore finds its lease expired and sends nothing.

mod protocol;

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use hemlockrouter_config::Settings;
use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;

use crate::node::Event;
use crate::node::Mailbox;
use crate::outbound::peers::never_sent;
use crate::outbound::upstreams::protocol::decode_answer;
use crate::outbound::upstreams::protocol::decode_refusal;
use crate::outbound::upstreams::protocol::failed_result;
use crate::outbound::upstreams::protocol::not_run_result;
use crate::outbound::upstreams::protocol::SHED_RETRY_AFTER_MS;

/// Time after the deadline for which the end of a call is still awaited, in milliseconds. The caller's
/// answer is not delayed by this wait. But until the upstream reports that it has stopped, the work
/// occupies one of its slots, and no other work may be sent in its place.
const CALL_END_GRACE_MS: u64 = 1_000;

/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of queued cancellations.
const QUEUED_CANCELLATIONS_MAX: usize = 1_024;

/// Call to an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamCall {
    /// Id of the sub-request.
    pub(crate) id: SubRequestId,
    /// Address at which the upstream listens.
    pub(crate) address: SocketAddr,
    /// Content of the call.
    pub(crate) kind: CallKind,
    /// End of the ownership lease; the call must not be sent from this time on.
    pub(crate) lease_until: Time,
    /// Deadline after which the answer is of no use.
    pub(crate) deadline: Time,
}

/// Content of a call to an upstream.
#[derive(Debug)]
pub(crate) enum CallKind {
    /// A search on one shard.
    Search {
        customer: String,
        search: String,
        shard: String,
        snapshot: Option<Snapshot>,
        map: MapVersion,
        query: Arc<[u8]>,
    },
    /// A request that must not be repeated.
    Run {
        customer: String,
        operation: String,
        run_id: String,
        request: Arc<[u8]>,
    },
    /// The cancellation of an earlier call.
    Cancel,
}

/// Result of a call.
#[derive(Debug)]
pub(crate) struct CallEnded {
    /// Id of the sub-request.
    pub(crate) id: SubRequestId,
    /// Outcome for the limiter.
    pub(crate) ended: DispatchOutcome,
    /// Outcome for the instance that received the caller's request.
    pub(crate) outcome: SubRequestOutcome,
    /// Duration of the call, in milliseconds.
    pub(crate) served_ms: u32,
}

impl CallEnded {
    /// Creates the result of a call that was never started.
    pub(crate) fn not_sent(id: SubRequestId, reason: RefusalReason) -> CallEnded {
        not_run_result(id, DispatchOutcome::NotSent, reason, SHED_RETRY_AFTER_MS)
    }
}

/// Client that calls upstreams on a bounded number of threads.
pub(crate) struct Upstreams {
    sender: SyncSender<UpstreamCall>,
    receiver: Arc<Mutex<Receiver<UpstreamCall>>>,
    caller: Arc<UpstreamCaller>,
    threads: usize,
    threads_max: usize,
    in_flight: usize,
    cancel_sender: SyncSender<UpstreamCall>,
}

struct UpstreamCaller {
    agent: ureq::Agent,
    answer_max_bytes: u64,
    clock: Clock,
    mailbox: Mailbox,
}

impl Upstreams {
    /// Prepares to call upstreams with at most as many threads as the settings allow.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the thread for cancellations.
    pub(crate) fn start(
        settings: &Settings,
        clock: Clock,
        mailbox: Mailbox,
    ) -> io::Result<Upstreams> {
        let threads_max = settings.limits.upstream_threads;
        let connect_timeout = Duration::from_millis(settings.timing.upstream_connect_ms);
        let agent = ureq::Agent::config_builder()
            .timeout_connect(Some(connect_timeout))
            .max_idle_connections(threads_max * 2)
            .max_idle_connections_per_host(threads_max)
            .max_idle_age(IDLE_TIMEOUT)
            .http_status_as_error(false)
            .proxy(None)
            .build()
            .into();
        let (sender, receiver) = std::sync::mpsc::sync_channel(threads_max * 4);
        let caller = UpstreamCaller {
            agent,
            answer_max_bytes: settings.limits.answer_max_bytes as u64,
            clock,
            mailbox,
        };
        let caller = Arc::new(caller);
        let (cancel_sender, cancel_receiver) =
            std::sync::mpsc::sync_channel(QUEUED_CANCELLATIONS_MAX);
        let canceller = Arc::clone(&caller);
        thread::Builder::new()
            .name("cancels".to_owned())
            .spawn(move || {
                for cancel in cancel_receiver {
                    // A late or lost cancellation does no harm, because the call's end is waited
                    // for anyway.
                    let _ = canceller.call(&cancel);
                }
            })?;
        Ok(Upstreams {
            sender,
            receiver: Arc::new(Mutex::new(receiver)),
            caller,
            threads: 0,
            threads_max,
            in_flight: 0,
            cancel_sender,
        })
    }

    /// Cancels an earlier call at an upstream.
    ///
    /// One thread sends all cancellations, so that they use one connection per upstream and none of
    /// the threads that calls need. A cancellation that does not fit into the queue is dropped.
    pub(crate) fn cancel(&self, call: UpstreamCall) {
        let _ = self.cancel_sender.try_send(call);
    }

    /// Starts a call, and returns `false` if the queue is full.
    pub(crate) fn call(&mut self, call: UpstreamCall) -> bool {
        self.in_flight += 1;
        if self.in_flight > self.threads && self.threads < self.threads_max {
            // If no thread can be started, the call waits for one that already runs.
            if self.start_thread().is_ok() {
                self.threads += 1;
            }
        }
        let is_queued = self.sender.try_send(call).is_ok();
        if !is_queued {
            self.in_flight -= 1;
        }
        is_queued
    }

    /// Records that a call was reported as ended.
    pub(crate) fn record_call_end(&mut self) {
        self.in_flight -= 1;
    }

    fn start_thread(&self) -> io::Result<()> {
        let receiver = Arc::clone(&self.receiver);
        let caller = Arc::clone(&self.caller);
        thread::Builder::new()
            .name(format!("upstreams-{}", self.threads))
            .spawn(move || loop {
                let next_call = receiver
                    .lock()
                    .expect("no thread panics with the lock")
                    .recv();
                let Ok(call) = next_call else { return };
                let call_ended = caller.call(&call);
                caller.mailbox.put(Event::CallEnded(call_ended));
            })?;
        Ok(())
    }
}

impl UpstreamCaller {
    /// Makes one call and waits for its result.
    fn call(&self, call: &UpstreamCall) -> CallEnded {
        let now = self.clock.now();
        let left_ms = call.deadline.remaining_ms(now);
        if now >= call.lease_until || left_ms == 0 {
            return not_run_result(
                call.id,
                DispatchOutcome::NotSent,
                RefusalReason::NotOwner,
                0,
            );
        }
        let answer = self
            .agent
            .post(format!("http://{}{}", call.address, call.path()))
            .config()
            .timeout_global(Some(Duration::from_millis(left_ms + CALL_END_GRACE_MS)))
            .build()
            .content_type("application/json")
            .send(&call.body(left_ms)[..]);
        let response = answer.and_then(|mut answer| {
            let status = answer.status().as_u16();
            let body = answer
                .body_mut()
                .with_config()
                .limit(self.answer_max_bytes)
                .read_to_vec()?;
            Ok((status, body))
        });
        let served_ms = u32::try_from(self.clock.now().ms_since(now)).unwrap_or(u32::MAX);
        match response {
            Ok((200, body)) => decode_answer(call, &body, served_ms),
            Ok((409 | 503, body)) => decode_refusal(call, &body, served_ms),
            Ok(_) => failed_result(call.id, DispatchOutcome::Failed, served_ms),
            Err(error) if never_sent(&error) => not_run_result(
                call.id,
                DispatchOutcome::Unreachable,
                RefusalReason::Unreachable,
                0,
            ),
            Err(ureq::Error::Timeout(_)) => {
                failed_result(call.id, DispatchOutcome::TimedOut, served_ms)
            }
            Err(_) => failed_result(call.id, DispatchOutcome::ConnectionBroken, served_ms),
        }
    }
}
