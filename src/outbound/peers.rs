//! Sends messages to other instances.
//!
//! Messages for the same instance wait in one queue. A free thread removes all waiting messages and
//! posts them together, so batches grow with the load and no message waits for a timer.
//!
//! After a failed post, the address counts as failing until a post succeeds. Meanwhile, requests
//! for the address are refused before any part of them is sent. They can then be sent elsewhere at
//! once, and none ends with an unknown outcome. Empty envelopes probe the address repeatedly;
//! control messages are still sent.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::BuildHasherDefault;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use hemlockrouter_config::settings::Limits;
use hemlockrouter_config::SecretKey;
use hemlockrouter_types::Clock;
use hemlockrouter_types::InstanceId;
use hemlockrouter_types::Time;
use hemlockrouter_wire::member::Peer;
use hemlockrouter_wire::Envelope;
use hemlockrouter_wire::Message;
use xxhash_rust::xxh3::Xxh3;

use crate::edge::instances::ENVELOPE_PATH;
use crate::node::Event;
use crate::node::Mailbox;

/// Maximum number of messages queued for one instance. Further messages are undeliverable at once.
const QUEUED_MESSAGES_MAX: usize = 16_384;

/// Maximum number of envelopes in flight to one instance. Several are allowed so that a long round
/// trip between regions does not delay later messages.
const IN_FLIGHT_ENVELOPES_MAX: usize = 4;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for posting an envelope.
const POST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay after a failed post before the address is probed again, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;

/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Messages that did not arrive, or may not have arrived.
#[derive(Debug)]
pub(crate) struct Undeliverable {
    /// Receiver, if it was addressed by its id.
    pub(crate) to: Option<InstanceId>,
    /// Address to which the messages were sent.
    pub(crate) address: SocketAddr,
    /// Reason of the failure.
    pub(crate) failure: DeliveryFailure,
    pub(crate) messages: Vec<Message>,
}

/// Reason why messages did not arrive, or may not have arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DeliveryFailure {
    /// The connection was refused, because no process listens at the address.
    Refused,
    /// Nothing was sent, or the receiver answered that it accepted no message.
    NotTaken,
    /// No answer arrived, so the messages may have arrived all the same.
    Unanswered,
}

/// Sends messages to other instances.
#[derive(Clone)]
pub(crate) struct Peers {
    shared: Arc<SenderState>,
}

struct SenderState {
    queues: Mutex<Queues>,
    ready: Condvar,
    own_peer: Peer,
    key: SecretKey,
    batch_max: usize,
    clock: Clock,
    mailbox: Mailbox,
}

type Hasher = BuildHasherDefault<Xxh3>;

#[derive(Default)]
struct Queues {
    by_address: HashMap<SocketAddr, Queue, Hasher>,
    ready: VecDeque<SocketAddr>,
}

#[derive(Default)]
struct Queue {
    to: Option<InstanceId>,
    messages: VecDeque<Message>,
    in_flight: usize,
    is_ready: bool,
    /// Whether an empty envelope must be sent as a probe.
    is_probe_due: bool,
    /// Time of the last failed post; `None` if a post has succeeded since.
    failed_at: Option<Time>,
}

impl Queue {
    /// Returns whether a thread may send from this queue.
    fn can_send(&self) -> bool {
        let in_flight_max = match self.failed_at {
            Some(_) => 1,
            None => IN_FLIGHT_ENVELOPES_MAX,
        };
        let has_work = self.is_probe_due || !self.messages.is_empty();
        !self.is_ready && has_work && self.in_flight < in_flight_max
    }

    /// Returns whether requests must be refused, and schedules a probe of the address if one is
    /// due.
    fn refuses_requests(&mut self, now: Time) -> bool {
        let Some(failed_at) = self.failed_at else {
            return false;
        };
        if now.ms_since(failed_at) >= PROBE_INTERVAL_MS && self.in_flight == 0 {
            self.is_probe_due = true;
        }
        true
    }
}

impl Peers {
    /// Starts the sending threads.
    ///
    /// # Errors
    ///
    /// Returns the error of starting a thread.
    pub(crate) fn start(
        own_peer: Peer,
        key: SecretKey,
        limits: &Limits,
        clock: Clock,
        mailbox: Mailbox,
    ) -> io::Result<Peers> {
        let shared = Arc::new(SenderState {
            queues: Mutex::default(),
            ready: Condvar::new(),
            own_peer,
            key,
            batch_max: limits.batch_max,
            clock,
            mailbox,
        });
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(POST_TIMEOUT))
            .max_idle_connections(1_024)
            .max_idle_connections_per_host(IN_FLIGHT_ENVELOPES_MAX)
            .max_idle_age(IDLE_TIMEOUT)
            .http_status_as_error(false)
            .proxy(None)
            .build()
            .into();
        for n in 0..limits.peer_threads {
            let shared = Arc::clone(&shared);
            let agent = agent.clone();
            thread::Builder::new()
                .name(format!("peers-{n}"))
                .spawn(move || shared.send_batches(&agent))?;
        }
        Ok(Peers { shared })
    }

    /// Removes the idle queues of addresses for which `is_alive` returns `false`. Otherwise, queues
    /// would accumulate while instances are replaced over time.
    pub(crate) fn retain<F>(&self, is_alive: F)
    where
        F: Fn(SocketAddr) -> bool,
    {
        let mut queues = self
            .shared
            .queues
            .lock()
            .expect("no thread panics with the lock");
        queues.by_address.retain(|address, queue| {
            let is_idle = queue.messages.is_empty() && queue.in_flight == 0 && !queue.is_ready;
            !is_idle || is_alive(*address)
        });
    }

    /// Queues `message` for the instance at `address`.
    ///
    /// # Errors
    ///
    /// Returns the message if the queue is full or the address is failing. No part of the message
    /// was sent.
    pub(crate) fn send(
        &self,
        to: Option<InstanceId>,
        address: SocketAddr,
        message: Message,
    ) -> Result<(), Message> {
        let mut queues = self
            .shared
            .queues
            .lock()
            .expect("no thread panics with the lock");
        let queue = queues.by_address.entry(address).or_default();
        if to.is_some() {
            queue.to = to;
        }
        let is_request = matches!(
            message,
            Message::Search(_) | Message::Run(_) | Message::Forward(_)
        );
        let is_refused = is_request && queue.refuses_requests(self.shared.clock.now());
        let result = if is_refused || queue.messages.len() >= QUEUED_MESSAGES_MAX {
            Err(message)
        } else {
            queue.messages.push_back(message);
            Ok(())
        };
        queues.schedule(address, &self.shared.ready);
        result
    }

    /// Returns the number of queued messages and of envelopes in flight.
    pub(crate) fn pending(&self) -> usize {
        let queues = self
            .shared
            .queues
            .lock()
            .expect("no thread panics with the lock");
        queues
            .by_address
            .values()
            .map(|queue| queue.messages.len() + queue.in_flight)
            .sum()
    }
}

impl Queues {
    /// Schedules the queue of `address` for a free thread if the queue can send.
    fn schedule(&mut self, address: SocketAddr, ready: &Condvar) {
        let Some(queue) = self.by_address.get_mut(&address) else {
            return;
        };
        if queue.can_send() {
            queue.is_ready = true;
            self.ready.push_back(address);
            ready.notify_one();
        }
    }
}

impl SenderState {
    /// Sends batches until the process ends.
    fn send_batches(&self, agent: &ureq::Agent) {
        loop {
            let (address, to, messages) = self.next_batch();
            let envelope =
                Envelope::new(self.own_peer.id, messages).with_reply_to(self.own_peer.address);
            let result = self.post(agent, address, &envelope);
            let failed = result.is_err();
            if let Err(failure) = result {
                let messages = envelope.messages;
                self.mailbox.put(Event::Undeliverable(Undeliverable {
                    to,
                    address,
                    failure,
                    messages,
                }));
            }
            self.record_batch_end(address, failed);
        }
    }

    /// Waits for a queue that can send, and removes a batch from it.
    fn next_batch(&self) -> (SocketAddr, Option<InstanceId>, Vec<Message>) {
        let mut queues = self.queues.lock().expect("no thread panics with the lock");
        loop {
            if let Some(address) = queues.ready.pop_front() {
                let queue = queues
                    .by_address
                    .get_mut(&address)
                    .expect("ready queues exist");
                queue.is_ready = false;
                queue.is_probe_due = false;
                queue.in_flight += 1;
                let batch_len = queue.messages.len().min(self.batch_max);
                let messages = queue.messages.drain(..batch_len).collect();
                let to = queue.to;
                queues.schedule(address, &self.ready);
                return (address, to, messages);
            }
            queues = self
                .ready
                .wait(queues)
                .expect("no thread panics with the lock");
        }
    }

    /// Records the end of a batch, and schedules the queue again if it can send.
    fn record_batch_end(&self, address: SocketAddr, failed: bool) {
        let mut queues = self.queues.lock().expect("no thread panics with the lock");
        let queue = queues
            .by_address
            .get_mut(&address)
            .expect("queues under way exist");
        queue.in_flight -= 1;
        queue.failed_at = failed.then(|| self.clock.now());
        queues.schedule(address, &self.ready);
    }

    /// Posts an envelope.
    fn post(
        &self,
        agent: &ureq::Agent,
        address: SocketAddr,
        envelope: &Envelope,
    ) -> Result<(), DeliveryFailure> {
        let answer = agent
            .post(format!("http://{address}{ENVELOPE_PATH}"))
            .header("Authorization", self.key.authorization_header())
            .send(&envelope.encode()[..]);
        match answer {
            Ok(answer) if answer.status() == 204 => Ok(()),
            Ok(_) => Err(DeliveryFailure::NotTaken),
            Err(error) if is_refused(&error) => Err(DeliveryFailure::Refused),
            Err(error) if never_sent(&error) => Err(DeliveryFailure::NotTaken),
            Err(_) => Err(DeliveryFailure::Unanswered),
        }
    }
}

/// Returns whether `error` means that no process listens at the address.
fn is_refused(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Returns whether `error` means that no byte of the request can have reached the receiver.
pub(crate) fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => true,
        _ => is_refused(error),
    }
}
