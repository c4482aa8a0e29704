//! A simulation of the platform's key-value store and its instance list.
//!
//! The store serves the parts of Consul's published HTTP API that the tier uses: keys with
//! compare-and-swap, sessions that hold locks, blocking reads that wait for a change, and the
//! health endpoint as the instance list. All data is kept in memory. The store can inject the
//! faults that the platform is known for: outages, slow answers, writes that take effect while
//! their answer is lost, stale reads, and a lagging instance list.
//!
//! Two more paths control the simulation: `PUT /lab/faults` accepts the fields of [`StoreFaults`], where
//! omitted fields keep their value, and `GET /lab/counts` returns [`StoreCounts`].

mod calls;
mod counts;
mod faults;
mod kv;
mod list;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tiny_http::Method;

pub use self::counts::CallKind;
pub use self::counts::StoreCounts;
pub use self::faults::StoreFaults;
pub use self::kv::MAX_VALUE_BYTES;
pub use self::list::Registration;

use self::calls::CallOutcome;
use self::calls::State;
use crate::server::merge_fields;
use crate::server::Exchange;
use crate::server::HttpResponse;
use crate::server::Server;
use crate::server::ServerOptions;
use crate::timer::Timer;

/// Interval at which sessions, pending list changes and blocking reads are checked, in
/// milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

/// Options of the simulated store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Initial faults.
    pub faults: StoreFaults,
}

/// A running simulated store, which stops when dropped.
pub struct SimulatedStore {
    server: Server,
    shared: Arc<Shared>,
}

impl SimulatedStore {
    /// Starts a simulated store.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub fn start(options: StoreOptions) -> eyre::Result<SimulatedStore> {
        let timer = Timer::start();
        let mut state = State::default();
        state.set_faults(options.faults);
        let shared = Arc::new(Shared {
            start: Instant::now(),
            timer: timer.clone(),
            state: Mutex::new(state),
        });
        schedule_checks(Arc::downgrade(&shared), timer);
        let handler = Arc::clone(&shared);
        let server = Server::start(options.listen, ServerOptions::default(), move |exchange| {
            Shared::handle_exchange(&handler, exchange);
        })?;
        Ok(SimulatedStore { server, shared })
    }

    /// Returns the address that the store listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().counts()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.lock().set_faults(faults);
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> StoreFaults {
        self.shared.lock().faults.clone()
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.lock();
        state.kv.get(key).map(|entry| entry.value.clone())
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.lock();
        state.kv.range(prefix).map(|(key, _)| key.clone()).collect()
    }
}

struct Shared {
    start: Instant,
    timer: Timer,
    state: Mutex<State>,
}

fn schedule_checks(shared: std::sync::Weak<Shared>, timer: Timer) {
    let next_timer = timer.clone();
    timer.run_after(Duration::from_millis(CHECK_INTERVAL_MS), move || {
        if let Some(live) = shared.upgrade() {
            live.run_periodic_checks();
            schedule_checks(shared, next_timer);
        }
    });
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics under the lock")
    }

    fn handle_exchange(shared: &Arc<Shared>, exchange: Exchange) {
        if exchange.path.starts_with("/lab/") {
            let answer = shared.handle_control(&exchange);
            exchange.answer(answer);
            return;
        }
        let (outcome, delay_ms) = {
            let mut state = shared.lock();
            let outcome = state.handle_call(exchange, shared.start);
            (outcome, state.faults.delay_ms)
        };
        shared.deliver_outcome(outcome, delay_ms);
        // The call may have been a write that completes blocking reads.
        shared.answer_completed_reads();
    }

    fn handle_control(&self, exchange: &Exchange) -> HttpResponse {
        let mut state = self.lock();
        match (exchange.method(), exchange.path.as_str()) {
            (Method::Get, "/lab/counts") => HttpResponse::json(200, &state.counts()),
            (Method::Delete, "/lab/counts") => {
                state.counts = StoreCounts::default();
                HttpResponse::json(200, &true)
            }
            (Method::Get, "/lab/faults") => HttpResponse::json(200, &state.faults),
            (Method::Put, "/lab/faults") => match exchange
                .json()
                .and_then(|fields| merge_fields(&state.faults, fields))
            {
                Ok(faults) => {
                    state.set_faults(faults);
                    HttpResponse::json(200, &state.faults)
                }
                Err(err) => HttpResponse::bad_request(err),
            },
            _ => HttpResponse::not_found(),
        }
    }

    fn deliver_outcome(&self, outcome: CallOutcome, delay_ms: u64) {
        let deliver: Box<dyn FnOnce() + Send> = match outcome {
            CallOutcome::Answer(exchange, answer) => Box::new(move || exchange.answer(answer)),
            CallOutcome::BreakOff(exchange) => Box::new(move || exchange.abort()),
            CallOutcome::Pending => return,
        };
        if delay_ms == 0 {
            deliver();
        } else {
            self.timer
                .run_after(Duration::from_millis(delay_ms), deliver);
        }
    }

    fn run_periodic_checks(&self) {
        let now = Instant::now();
        {
            let mut state = self.lock();
            state.kv.expire_sessions(now);
            let lag = Duration::from_millis(state.faults.list_lag_ms);
            state.list.show_changes_older_than(lag, now);
        }
        self.answer_completed_reads();
    }

    fn answer_completed_reads(&self) {
        let (ready, delay_ms) = {
            let mut state = self.lock();
            (
                state.take_completed_reads(Instant::now()),
                state.faults.delay_ms,
            )
        };
        for outcome in ready {
            self.deliver_outcome(outcome, delay_ms);
        }
    }
}
