//! Which instance gets a request: a stand-in for the platform's balancer.
//!
//! It asks each instance for its readiness and leaves out those that are not ready or don't answer.
//! While none is ready, all are tried.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ureq::Agent;

/// Time between two questions for readiness.
const ASK_EVERY: Duration = Duration::from_millis(100);

/// How long an answer to such a question may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Takes targets in turn.
pub(super) struct Balancer {
    targets: Vec<SocketAddr>,
    ready: Vec<AtomicBool>,
    stopped: AtomicBool,
}

impl Balancer {
    /// Takes `targets` in turn; `operators` are their operators' addresses, or none, where
    /// readiness is not asked for.
    pub(super) fn start(targets: Vec<SocketAddr>, operators: &[SocketAddr]) -> Arc<Balancer> {
        assert!(!targets.is_empty(), "load needs a target");
        assert!(
            operators.is_empty() || operators.len() == targets.len(),
            "each target has its operators' address"
        );
        let balancer = Arc::new(Balancer {
            ready: targets.iter().map(|_| AtomicBool::new(true)).collect(),
            targets,
            stopped: AtomicBool::new(false),
        });
        for (at, operators) in operators.iter().enumerate() {
            let asking = Arc::clone(&balancer);
            let url = format!("http://{operators}/readyz");
            thread::spawn(move || asking.ask(at, &url));
        }
        balancer
    }

    fn ask(&self, at: usize, url: &str) {
        let config = Agent::config_builder()
            .timeout_global(Some(ASK_TIMEOUT))
            .max_idle_connections(0);
        let agent: Agent = config.build().into();
        while !self.stopped.load(Ordering::Relaxed) {
            // Any status but success is an error of this agent.
            let ready = agent.get(url).call().is_ok();
            self.ready[at].store(ready, Ordering::Relaxed);
            thread::sleep(ASK_EVERY);
        }
    }

    /// Returns the target of the request with this turn.
    pub(super) fn target(&self, turn: usize) -> SocketAddr {
        let count = self.targets.len();
        let order = (0..count).map(|step| (turn + step) % count);
        let mut ready = order.filter(|at| self.ready[*at].load(Ordering::Relaxed));
        self.targets[ready.next().unwrap_or(turn % count)]
    }

    /// Asks no more.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
