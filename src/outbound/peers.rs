//! Messages to other instances.
//!
//! Messages for the same instance wait in one queue. A thread that becomes free takes all that wait
//! there and posts them together, so batches grow by themselves with the load and no message waits
//! for a timer.
//!
//! After a failed post the address counts as failing until a post succeeds. Requests for it are
//! refused meanwhile, before anything of them is sent, so that they can go elsewhere at once and
//! none ends as one that may have run. Empty envelopes try the address again and again; control
//! messages are sent on as they come.

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

/// How many messages may wait for one instance. More are undeliverable at once.
const QUEUE_MAX: usize = 16_384;

/// How many envelopes may be under way to one instance, so that a long round trip between regions
/// does not hold back what comes after.
const UNDER_WAY_MAX: usize = 4;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long posting an envelope may take.
const POST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long after a failed post the address is tried again, in milliseconds.
const TRIAL_EVERY_MS: u64 = 250;

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Messages that did not arrive, or may not have.
#[derive(Debug)]
pub(crate) struct Undeliverable {
    /// The instance, if it was addressed by its id.
    pub(crate) to: Option<InstanceId>,
    /// Where it was tried.
    pub(crate) address: SocketAddr,
    /// Why they did not arrive.
    pub(crate) why: Lost,
    /// The messages.
    pub(crate) messages: Vec<Message>,
}

/// Why messages did not arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Lost {
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// Nothing was sent, or the receiver said that it took nothing.
    NotTaken,
    /// No answer came: the messages may have arrived all the same.
    Unanswered,
}

/// Sends messages to other instances.
#[derive(Clone)]
pub(crate) struct Peers {
    shared: Arc<Shared>,
}

struct Shared {
    queues: Mutex<Queues>,
    ready: Condvar,
    me: Peer,
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
    under_way: usize,
    is_ready: bool,
    /// Whether an empty envelope is to be sent.
    is_trial_due: bool,
    /// When the last post failed, unless one succeeded since.
    failed_at: Option<Time>,
}

impl Queue {
    /// Returns whether a thread may take from it.
    fn can_send(&self) -> bool {
        let max = match self.failed_at {
            Some(_) => 1,
            None => UNDER_WAY_MAX,
        };
        let has_work = self.is_trial_due || !self.messages.is_empty();
        !self.is_ready && has_work && self.under_way < max
    }

    /// Returns whether a request must not be sent, and has the address tried if that is due.
    fn refuses_requests(&mut self, now: Time) -> bool {
        let Some(failed_at) = self.failed_at else {
            return false;
        };
        if now.since(failed_at) >= TRIAL_EVERY_MS && self.under_way == 0 {
            self.is_trial_due = true;
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
        me: Peer,
        key: SecretKey,
        limits: &Limits,
        clock: Clock,
        mailbox: Mailbox,
    ) -> io::Result<Peers> {
        let shared = Arc::new(Shared {
            queues: Mutex::default(),
            ready: Condvar::new(),
            me,
            key,
            batch_max: limits.batch_max,
            clock,
            mailbox,
        });
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(POST_TIMEOUT))
            .max_idle_connections(1_024)
            .max_idle_connections_per_host(UNDER_WAY_MAX)
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
                .spawn(move || shared.send_all(&agent))?;
        }
        Ok(Peers { shared })
    }

    /// Forgets addresses that none of `living` has. Their queues must not pile up while instances
    /// are replaced day after day.
    pub(crate) fn retain<F>(&self, is_living: F)
    where
        F: Fn(SocketAddr) -> bool,
    {
        let mut queues = self
            .shared
            .queues
            .lock()
            .expect("no thread panics with the lock");
        queues.by_address.retain(|address, queue| {
            let is_idle = queue.messages.is_empty() && queue.under_way == 0 && !queue.is_ready;
            !is_idle || is_living(*address)
        });
    }

    /// Queues `message` for the instance at `address`.
    ///
    /// # Errors
    ///
    /// Returns the message, of which nothing was sent, if the queue is full or the address is failing.
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
        let result = if is_refused || queue.messages.len() >= QUEUE_MAX {
            Err(message)
        } else {
            queue.messages.push_back(message);
            Ok(())
        };
        queues.wake(address, &self.shared.ready);
        result
    }

    /// Returns how many messages wait or are under way.
    pub(crate) fn pending(&self) -> usize {
        let queues = self
            .shared
            .queues
            .lock()
            .expect("no thread panics with the lock");
        queues
            .by_address
            .values()
            .map(|queue| queue.messages.len() + queue.under_way)
            .sum()
    }
}

impl Queues {
    /// Hands the queue of `address` to a free thread if it can send.
    fn wake(&mut self, address: SocketAddr, ready: &Condvar) {
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

impl Shared {
    /// Sends batches for as long as the process lives.
    fn send_all(&self, agent: &ureq::Agent) {
        loop {
            let (address, to, messages) = self.next_batch();
            let envelope = Envelope::new(self.me.id, messages).with_reply_to(self.me.address);
            let sent = self.post(agent, address, &envelope);
            let failed = sent.is_err();
            if let Err(why) = sent {
                let messages = envelope.messages;
                self.mailbox.put(Event::Undeliverable(Undeliverable {
                    to,
                    address,
                    why,
                    messages,
                }));
            }
            self.batch_ended(address, failed);
        }
    }

    /// Waits for a queue that can send and takes a batch from it.
    fn next_batch(&self) -> (SocketAddr, Option<InstanceId>, Vec<Message>) {
        let mut queues = self.queues.lock().expect("no thread panics with the lock");
        loop {
            if let Some(address) = queues.ready.pop_front() {
                let queue = queues
                    .by_address
                    .get_mut(&address)
                    .expect("ready queues exist");
                queue.is_ready = false;
                queue.is_trial_due = false;
                queue.under_way += 1;
                let len = queue.messages.len().min(self.batch_max);
                let messages = queue.messages.drain(..len).collect();
                let to = queue.to;
                queues.wake(address, &self.ready);
                return (address, to, messages);
            }
            queues = self
                .ready
                .wait(queues)
                .expect("no thread panics with the lock");
        }
    }

    /// Notes that a batch ended; forgets the queue if nothing is left in it.
    fn batch_ended(&self, address: SocketAddr, failed: bool) {
        let mut queues = self.queues.lock().expect("no thread panics with the lock");
        let queue = queues
            .by_address
            .get_mut(&address)
            .expect("queues under way exist");
        queue.under_way -= 1;
        queue.failed_at = failed.then(|| self.clock.now());
        queues.wake(address, &self.ready);
    }

    /// Posts an envelope.
    fn post(
        &self,
        agent: &ureq::Agent,
        address: SocketAddr,
        envelope: &Envelope,
    ) -> Result<(), Lost> {
        let answer = agent
            .post(format!("http://{address}{ENVELOPE_PATH}"))
            .header("Authorization", self.key.authorization())
            .send(&envelope.encode()[..]);
        match answer {
            Ok(answer) if answer.status() == 204 => Ok(()),
            Ok(_) => Err(Lost::NotTaken),
            Err(error) if is_refused(&error) => Err(Lost::Refused),
            Err(error) if never_sent(&error) => Err(Lost::NotTaken),
            Err(_) => Err(Lost::Unanswered),
        }
    }
}

/// Returns whether `error` means that nothing listens at the address.
fn is_refused(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Returns whether `error` means that no byte of the request can have reached the other side.
pub(crate) fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => true,
        _ => is_refused(error),
    }
}
