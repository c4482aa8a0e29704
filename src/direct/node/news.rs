//! Log lines of what changes of the registry have made known of upstreams.
//!
//! A few changes get a line each. When hundreds of registrations lapse or come back together, the
//! instance has more urgent work than to write as many lines, and one names them all.

use hemlockrouter_route::direct::Registered;
use log::info;

/// The most changes of a kind that get a line each.
const LINES_MAX: usize = 20;

/// What changes have made known of upstreams.
#[derive(Default)]
pub(super) struct News {
    pub(super) upstreams: Vec<NewsOfUpstream>,
    /// The ids of those that are not registered any more.
    pub(super) unregistered: Vec<String>,
}

/// What a registration has made known.
pub(super) struct NewsOfUpstream {
    pub(super) id: String,
    pub(super) service: String,
    pub(super) draining: bool,
    pub(super) cold_ms: u64,
    pub(super) registered: Registered,
}

impl News {
    /// Writes the lines.
    pub(super) fn write(self) {
        if self.upstreams.len() <= LINES_MAX {
            self.upstreams.iter().for_each(NewsOfUpstream::write);
        } else {
            let shown = self.upstreams.iter().map(NewsOfUpstream::shown);
            let shown: Vec<String> = shown.collect();
            let all = shown.join(" ");
            info!(target: "belief", count = shown.len(), upstreams = all.as_str(); "upstreams");
        }
        if self.unregistered.len() <= LINES_MAX {
            for id in &self.unregistered {
                info!(target: "belief", upstream = id.as_str(); "upstream not registered any more");
            }
        } else {
            let all = self.unregistered.join(" ");
            let count = self.unregistered.len();
            info!(target: "belief", count = count, upstreams = all.as_str(); "upstreams not registered any more");
        }
    }
}

impl NewsOfUpstream {
    fn write(&self) {
        info!(
            target: "belief",
            upstream = self.id.as_str(),
            service = self.service.as_str(),
            draining = self.draining,
            cold_ms = self.cold_ms,
            change = format!("{:?}", self.registered).as_str();
            "upstream"
        );
    }

    /// Returns the upstream in short: service, id, and what is special about it.
    fn shown(&self) -> String {
        let mut shown = format!("{}@{}", self.service, self.id);
        if self.registered != Registered::New {
            shown.push_str(&format!(":{:?}", self.registered));
        }
        if self.draining {
            shown.push_str(":draining");
        }
        if self.cold_ms > 0 {
            shown.push_str(&format!(":cold_ms={}", self.cold_ms));
        }
        shown
    }
}
