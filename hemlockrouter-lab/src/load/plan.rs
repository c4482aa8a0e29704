//! The schedule of the requests, drawn from the seed.

use rand::rngs::SmallRng;
use rand::RngExt;
use rand::SeedableRng;

use super::LoadOptions;

/// The kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestKind {
    Search,
    Run,
}

/// A scheduled request.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Sequence number of the request.
    pub(super) number: u64,
    /// Due time since the start of the load, in milliseconds.
    pub(super) due_ms: u64,
    pub(super) kind: RequestKind,
    seed: u64,
}

impl Arrival {
    /// Returns the id of the request, which is unique across loads with different seeds.
    pub(super) fn id(&self) -> String {
        format!("load-{}-{}", self.seed, self.number)
    }
}

/// Draws the schedule as a Poisson process, which models many independent callers: the gaps
/// between requests are exponentially distributed.
pub(super) fn draw_arrivals(options: &LoadOptions) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mean_gap_ms = 1_000.0 / f64::from(options.rate.max(1));
    let mut arrivals = Vec::new();
    let mut due_ms = 0.0;
    loop {
        let uniform: f64 = rng.random();
        due_ms -= mean_gap_ms * (1.0 - uniform).ln();
        if due_ms >= options.duration_ms as f64 {
            return arrivals;
        }
        let runs_per_mille = match (&options.search, &options.operation) {
            (Some(_), Some(_)) => options.runs_per_mille,
            (Some(_), None) => 0,
            (None, Some(_)) => 1_000,
            (None, None) => panic!("load needs a search or an operation"),
        };
        let is_run = rng.random_range(0..1_000) < runs_per_mille;
        arrivals.push(Arrival {
            number: arrivals.len() as u64,
            due_ms: due_ms as u64,
            kind: if is_run {
                RequestKind::Run
            } else {
                RequestKind::Search
            },
            seed: options.seed,
        });
    }
}
