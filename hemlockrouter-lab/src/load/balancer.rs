//! A simulated load balancer that picks the instance for each request.
//!
//! The balancer polls the readiness of each instance, and skips instances that are not ready or
//! don't answer. While no instance is ready, requests go to all of them in turn.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ureq::Agent;

/// Interval at which the readiness of an instance is polled.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a readiness poll.
const READINESS_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// A round-robin balancer over ready instances.
pub(super) struct Balancer {
    targets: Vec<SocketAddr>,
    ready: Vec<AtomicBool>,
    stopped: AtomicBool,
}

impl Balancer {
    /// Starts a balancer over `targets`.
    ///
    /// `operators` holds the operators' address of each target, on which readiness is polled. If
    /// `operators` is empty, all targets count as ready.
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
        for (index, operators) in operators.iter().enumerate() {
            let poller = Arc::clone(&balancer);
            let url = format!("http://{operators}/readyz");
            thread::spawn(move || poller.poll_readiness(index, &url));
        }
        balancer
    }

    fn poll_readiness(&self, index: usize, url: &str) {
        let config = Agent::config_builder()
            .timeout_global(Some(READINESS_POLL_TIMEOUT))
            .max_idle_connections(0);
        let agent: Agent = config.build().into();
        while !self.stopped.load(Ordering::Relaxed) {
            // The agent returns an error for every status other than success.
            let ready = agent.get(url).call().is_ok();
            self.ready[index].store(ready, Ordering::Relaxed);
            thread::sleep(READINESS_POLL_INTERVAL);
        }
    }

    /// Returns the first ready target, in round-robin order from `request_number`.
    pub(super) fn pick_target(&self, request_number: usize) -> SocketAddr {
        let count = self.targets.len();
        let order = (0..count).map(|step| (request_number + step) % count);
        let mut ready = order.filter(|index| self.ready[*index].load(Ordering::Relaxed));
        self.targets[ready.next().unwrap_or(request_number % count)]
    }

    /// Stops the readiness polls.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
