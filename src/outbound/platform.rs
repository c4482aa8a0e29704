//! Client for the platform: its store and its instance list.
//!
//! In a steady state, only the few instances that the member selects as watchers read from the
//! platform. The other instances get release notes from the watchers. Every instance reads the
//! configuration when it starts, unless a peer sends it earlier, and every instance writes the
//! claims of its own callers.

use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use hemlockrouter_config::settings;
use hemlockrouter_config::settings::Timing;
use hemlockrouter_config::BaseDocument;
use hemlockrouter_member::ListedInstance;
use hemlockrouter_member::ListedState;
use hemlockrouter_member::TieBreakAnswer;
use hemlockrouter_member::TieBreakCall;
use hemlockrouter_platform::claims;
use hemlockrouter_platform::claims::ClaimOutcome;
use hemlockrouter_platform::notes;
use hemlockrouter_platform::notes::FollowResult;
use hemlockrouter_platform::notes::Follower;
use hemlockrouter_platform::notes::NumberedNote;
use hemlockrouter_platform::ties;
use hemlockrouter_platform::ties::InstancePair;
use hemlockrouter_platform::ties::TieBreakOutcome;
use hemlockrouter_platform::ConsulClient;
use hemlockrouter_platform::InstanceList;
use hemlockrouter_route::Claim;
use hemlockrouter_route::ClaimResult;
use hemlockrouter_types::prelude::*;
use log::info;
use log::warn;
use rand::RngExt;

use crate::node::status::SharedStatus;
use crate::node::Event;
use crate::node::Mailbox;

/// Number of threads that settle claims and ties.
const CLAIM_THREADS: usize = 8;

/// Maximum number of claims and ties queued for a thread.
const QUEUED_JOBS_MAX: usize = 1_024;

/// Number of notes by which the base document in the store may lag before it is written again.
const BASE_LAG_MAX_NOTES: u64 = 64;

/// Maximum delay before a new instance first reads the store, in milliseconds per listed instance.
/// The delay prevents a burst of reads when all instances start at once.
const START_JITTER_PER_INSTANCE_MS: u64 = 10;

/// Pause after a blocking read of the store that found no note.
const EMPTY_READ_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which a pausing thread checks whether it must stop, in milliseconds.
const STOP_POLL_INTERVAL_MS: u64 = 50;

/// Result of a read of the store.
#[derive(Debug)]
pub(crate) struct StoreRead {
    /// Accepted notes, in order.
    pub(crate) notes: Vec<(ConfigNumber, Vec<u8>)>,
    /// Complete encoded catalogue with its number.
    pub(crate) base: Option<(ConfigNumber, Vec<u8>)>,
}

/// Queued call to the store.
enum StoreJob {
    /// Settles the claim of a key.
    Claim(QueryId, String, Claim),
    /// Makes a call about the tie record of a pair of instances.
    Tie(TieJob),
}

/// Call about the tie record that `own_id` shares with `other`.
#[derive(Clone, Copy)]
struct TieJob {
    own_id: InstanceId,
    other: InstanceId,
    call: TieBreakCall,
}

/// Client for the platform.
pub(crate) struct Platform {
    caller: Arc<PlatformCaller>,
    jobs: SyncSender<StoreJob>,
    /// Flag that stops the thread that follows the store; `None` if no thread runs.
    watch_stop: Option<Arc<AtomicBool>>,
}

/// State that the calling threads share.
struct PlatformCaller {
    consul: ConsulClient,
    platform: settings::Platform,
    timing: Timing,
    mailbox: Mailbox,
    shared: Arc<SharedStatus>,
    /// Whether this instance follows the store and the instance list for its availability zone.
    is_watcher: AtomicBool,
    /// Catalogue in force, used to write base documents and to check notes.
    catalog: Mutex<Arc<Catalog>>,
}

impl Platform {
    /// Starts the threads that settle claims and ties, read the first configuration, and read the
    /// instance list.
    ///
    /// # Errors
    ///
    /// Returns the error of starting a thread.
    pub(crate) fn start(
        platform: settings::Platform,
        timing: Timing,
        mailbox: Mailbox,
        shared: Arc<SharedStatus>,
    ) -> io::Result<Platform> {
        let consul = ConsulClient::new(platform.store_address, platform.timeout_ms);
        let caller = Arc::new(PlatformCaller {
            consul,
            platform,
            timing,
            mailbox,
            shared,
            is_watcher: AtomicBool::new(false),
            catalog: Mutex::default(),
        });
        let (jobs, receiver) = std::sync::mpsc::sync_channel(QUEUED_JOBS_MAX);
        let receiver = Arc::new(Mutex::new(receiver));
        for n in 0..CLAIM_THREADS {
            let caller = Arc::clone(&caller);
            let receiver = Arc::clone(&receiver);
            let work = move || caller.run_jobs(&receiver);
            thread::Builder::new()
                .name(format!("claims-{n}"))
                .spawn(work)?;
        }
        let starter = Arc::clone(&caller);
        let start = move || starter.read_configuration();
        thread::Builder::new()
            .name("first-read".to_owned())
            .spawn(start)?;
        let lister = Arc::clone(&caller);
        let list = move || lister.follow_list();
        thread::Builder::new().name("list".to_owned()).spawn(list)?;
        Ok(Platform {
            caller,
            jobs,
            watch_stop: None,
        })
    }

    /// Queues a claim to be settled.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimResult::Unavailable`] if the queue is full.
    pub(crate) fn queue_claim(
        &self,
        id: QueryId,
        key: String,
        claim: Claim,
    ) -> Result<(), ClaimResult> {
        let result = self.jobs.try_send(StoreJob::Claim(id, key, claim));
        result.map_err(|_| ClaimResult::Unavailable)
    }

    /// Queues a call about the tie record that `own_id` shares with `other`.
    pub(crate) fn queue_tie_call(&self, own_id: InstanceId, other: InstanceId, call: TieBreakCall) {
        let job = TieJob {
            own_id,
            other,
            call,
        };
        if self.jobs.try_send(StoreJob::Tie(job)).is_err() {
            let answer = TieBreakAnswer::Unavailable;
            warn!(other = other.to_string(); "queue is full; a tie-breaking call was dropped");
            self.caller
                .mailbox
                .put_or_drop(Event::TieAnswered(other, answer));
        }
    }

    /// Starts to follow the store, and to read the instance list at intervals.
    pub(crate) fn watch(&mut self, after: ConfigNumber) {
        self.unwatch();
        let stop = Arc::new(AtomicBool::new(false));
        self.watch_stop = Some(Arc::clone(&stop));
        let caller = Arc::clone(&self.caller);
        let follow = move || caller.follow_store(after, &stop);
        if let Err(err) = thread::Builder::new()
            .name("follow".to_owned())
            .spawn(follow)
        {
            warn!(error = err.to_string(); "can't start to follow the store");
        }
        self.caller.is_watcher.store(true, Ordering::Relaxed);
    }

    /// Stops following the store and the instance list.
    pub(crate) fn unwatch(&mut self) {
        if let Some(stop) = self.watch_stop.take() {
            stop.store(true, Ordering::Relaxed);
        }
        self.caller.is_watcher.store(false, Ordering::Relaxed);
    }

    /// Stores the catalogue in force.
    pub(crate) fn set_catalog(&self, catalog: &Arc<Catalog>) {
        *self.caller.lock_catalog() = Arc::clone(catalog);
    }

    /// Returns a handle of the platform for operators' calls.
    pub(crate) fn operator_handle(&self) -> PlatformHandle {
        PlatformHandle {
            caller: Arc::clone(&self.caller),
        }
    }
}

/// Handle of the platform for operators' calls.
#[derive(Clone)]
pub(crate) struct PlatformHandle {
    caller: Arc<PlatformCaller>,
}

impl PlatformHandle {
    /// Returns the client for the store.
    pub(crate) fn store(&self) -> &ConsulClient {
        &self.caller.consul
    }

    /// Returns the catalogue in force.
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.caller.lock_catalog())
    }

    /// Passes an accepted note to the node at once, so that it need not arrive through the
    /// watchers.
    pub(crate) fn apply_accepted_note(&self, number: ConfigNumber, note: Vec<u8>) {
        self.caller.mailbox.put(Event::StoreRead(StoreRead {
            notes: vec![(number, note)],
            base: None,
        }));
    }
}

impl PlatformCaller {
    fn lock_catalog(&self) -> std::sync::MutexGuard<'_, Arc<Catalog>> {
        self.catalog.lock().expect("no thread panics with the lock")
    }

    fn config_number(&self) -> ConfigNumber {
        self.lock_catalog().number
    }

    /// Processes queued jobs until the queue is closed.
    fn run_jobs(&self, receiver: &Mutex<Receiver<StoreJob>>) {
        loop {
            let next_job = receiver
                .lock()
                .expect("no thread panics with the lock")
                .recv();
            match next_job {
                Ok(StoreJob::Claim(id, key, claim)) => {
                    let result = self.claim_in_store(&key, &claim);
                    self.shared.set_store_up(result != ClaimResult::Unavailable);
                    self.mailbox.put(Event::Claimed(id, result));
                }
                Ok(StoreJob::Tie(job)) => {
                    let answer = self.break_tie(job);
                    self.mailbox.put(Event::TieAnswered(job.other, answer));
                }
                Err(_) => return,
            }
        }
    }

    fn break_tie(&self, job: TieJob) -> TieBreakAnswer {
        let pair = InstancePair::new(job.own_id, job.other);
        let tie = match job.call {
            TieBreakCall::Take => ties::take_record(&self.consul, pair),
            TieBreakCall::GiveBack => ties::release_record(&self.consul, pair),
        };
        let (call, result) = (format!("{:?}", job.call), format!("{tie:?}"));
        info!(
            target: "decision",
            pair = pair.to_string(),
            call = call.as_str(),
            result = result.as_str();
            "tie"
        );
        match tie {
            TieBreakOutcome::Mine => TieBreakAnswer::Taken,
            TieBreakOutcome::Theirs => TieBreakAnswer::Refused,
            TieBreakOutcome::NotMine => TieBreakAnswer::GivenBack,
            TieBreakOutcome::Unavailable => TieBreakAnswer::Unavailable,
        }
    }

    fn claim_in_store(&self, key: &str, claim: &Claim) -> ClaimResult {
        let bytes = serde_json::to_vec(claim).expect("a claim can be represented in JSON");
        match claims::claim(&self.consul, key, &bytes) {
            ClaimOutcome::Won => ClaimResult::Won,
            ClaimOutcome::HeldByOther(other) => match serde_json::from_slice(&other) {
                Ok(other) => ClaimResult::Taken(other),
                // An unreadable claim still means that another request has claimed the key.
                Err(_) => ClaimResult::Unavailable,
            },
            ClaimOutcome::Unavailable { .. } => ClaimResult::Unavailable,
        }
    }

    /// Retries reading the configuration until one is in force, whether it was read here or sent by
    /// a peer.
    fn read_configuration(&self) {
        // The random delay gives peers time to send the configuration first, and spreads the reads
        // of instances that start together.
        let listed_count = self.read_list() as u64;
        let jitter_ms = rand::rng().random_range(0..=listed_count * START_JITTER_PER_INSTANCE_MS);
        thread::sleep(Duration::from_millis(jitter_ms));
        let mut backoff = RetryBackoff::new(&self.timing);
        while self.config_number() == ConfigNumber::default() && !self.load_configuration() {
            thread::sleep(backoff.next_delay());
        }
    }

    /// Reads the complete configuration, and returns whether the store contained one.
    fn load_configuration(&self) -> bool {
        match notes::load(&self.consul) {
            Ok(loaded) => {
                self.shared.set_store_up(true);
                let number = loaded.catalog.number;
                if number > self.config_number() {
                    let base = Some((number, BaseDocument::encode(&loaded.catalog)));
                    let notes = Vec::new();
                    self.mailbox
                        .put(Event::StoreRead(StoreRead { notes, base }));
                }
                number > ConfigNumber::default()
            }
            Err(err) => {
                self.shared.set_store_up(false);
                warn!(error = err.to_string(); "the configuration can't be read from the store");
                false
            }
        }
    }

    /// Follows the store until `stop` is set.
    fn follow_store(&self, after: ConfigNumber, stop: &AtomicBool) {
        let mut follower = Follower::new(after);
        let mut backoff = RetryBackoff::new(&self.timing);
        let mut base = ConfigNumber::default();
        while !stop.load(Ordering::Relaxed) {
            follower.skip_to(self.config_number());
            match follower.follow(&self.consul, self.timing.watch_ms) {
                FollowResult::Note(NumberedNote { number, bytes }) => {
                    self.shared.set_store_up(true);
                    let notes = vec![(number, bytes)];
                    self.mailbox
                        .put(Event::StoreRead(StoreRead { notes, base: None }));
                    base = self.write_base(base);
                }
                FollowResult::NoNewNote => {
                    self.shared.set_store_up(true);
                    // The pause limits the rate of reads if the store answers without blocking.
                    sleep_unless_stopped(EMPTY_READ_PAUSE, stop);
                }
                FollowResult::NotePruned => {
                    self.load_configuration();
                    // The pause gives the node time to put the configuration in force.
                    sleep_unless_stopped(backoff.next_delay(), stop);
                    continue;
                }
                FollowResult::PlatformUnavailable(down) => {
                    self.shared.set_store_up(false);
                    warn!(error = down.to_string(); "the store can't be followed");
                    sleep_unless_stopped(backoff.next_delay(), stop);
                    continue;
                }
            }
            backoff.reset();
        }
    }

    /// Writes the base document if the last one, numbered `base`, lags too far behind. Returns the
    /// number of the latest base document.
    fn write_base(&self, base: ConfigNumber) -> ConfigNumber {
        let catalog = Arc::clone(&self.lock_catalog());
        if catalog.number.0 < base.0 + BASE_LAG_MAX_NOTES {
            return base;
        }
        match notes::write_base(&self.consul, &catalog) {
            notes::BaseWriteOutcome::Written {
                replaced_number: before,
            } => {
                notes::prune(
                    &self.consul,
                    before,
                    catalog.number,
                    notes::PruneMargins::default(),
                );
                catalog.number
            }
            notes::BaseWriteOutcome::UpToDate(number) => number,
            notes::BaseWriteOutcome::NotConfirmed => base,
            notes::BaseWriteOutcome::TooLarge { bytes } => {
                warn!(bytes = bytes; "the base document exceeds the store's size limit");
                catalog.number
            }
        }
    }

    /// Reads the instance list at intervals while this instance is a watcher or the member needs
    /// the list. The interval is halved while the member needs the list.
    fn follow_list(&self) {
        let interval_ms = self.platform.list_every_ms;
        loop {
            let is_urgent = self.shared.needs_list();
            let wait_ms = if is_urgent {
                interval_ms / 2
            } else {
                interval_ms
            };
            let jitter_ms = rand::rng().random_range(0..=wait_ms / 4);
            thread::sleep(Duration::from_millis(wait_ms - jitter_ms));
            if self.is_watcher.load(Ordering::Relaxed) || self.shared.needs_list() {
                self.read_list();
            }
        }
    }

    /// Reads the instance list, and returns the number of listed instances.
    fn read_list(&self) -> usize {
        match self.consul.instances(&self.platform.service_name) {
            Ok(listed) => {
                let listed: Vec<ListedInstance> =
                    listed.into_iter().filter_map(listed_instance).collect();
                let count = listed.len();
                self.mailbox.put(Event::Listed(listed));
                count
            }
            Err(down) => {
                warn!(error = down.to_string(); "the instance list can't be read");
                0
            }
        }
    }
}

/// Converts an entry of the instance list for the member. Returns `None` for an entry without an
/// availability zone, which the member can't use.
fn listed_instance(listed: hemlockrouter_platform::ListedProcess) -> Option<ListedInstance> {
    let state = match (listed.leaving, listed.passing) {
        (true, _) => ListedState::Leaving,
        (false, true) => ListedState::Passing,
        (false, false) => ListedState::Critical,
    };
    Some(ListedInstance {
        address: listed.address,
        zone: listed.zone?,
        state,
    })
}

/// Waits for `wait`, or until shortly after `stop` is set.
fn sleep_unless_stopped(wait: Duration, stop: &AtomicBool) {
    let mut remaining = wait;
    let step = Duration::from_millis(STOP_POLL_INTERVAL_MS);
    while !remaining.is_zero() && !stop.load(Ordering::Relaxed) {
        let sleep_time = remaining.min(step);
        thread::sleep(sleep_time);
        remaining -= sleep_time;
    }
}

/// Exponential backoff with jitter, so that instances do not call at the same moments when the
/// store recovers.
struct RetryBackoff {
    min_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl RetryBackoff {
    fn new(timing: &Timing) -> RetryBackoff {
        RetryBackoff {
            min_ms: timing.store_retry_min_ms,
            max_ms: timing.store_retry_max_ms,
            next_ms: timing.store_retry_min_ms,
        }
    }

    fn next_delay(&mut self) -> Duration {
        let ms = self.next_ms;
        self.next_ms = (ms * 2).min(self.max_ms);
        Duration::from_millis(rand::rng().random_range(ms / 2..=ms))
    }

    fn reset(&mut self) {
        self.next_ms = self.min_ms;
    }
}
