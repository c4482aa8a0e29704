//! Log lines for upstreams that the registry added, changed or removed.
//!
//! Few changes are logged one per line. When hundreds of registrations expire or return together,
//! the instance has more urgent work, so one line lists them all.

use hemlockrouter_route::direct::RegistrationChange;
use log::info;

/// Maximum number of changes of one kind that are logged one per line.
const INDIVIDUAL_LINES_MAX: usize = 20;

/// Upstream changes to log.
#[derive(Default)]
pub(super) struct UpstreamChanges {
    pub(super) upstreams: Vec<LoggedUpstream>,
    /// Ids of upstreams that are no longer registered.
    pub(super) unregistered: Vec<String>,
}

/// Logged properties of a registered upstream.
pub(super) struct LoggedUpstream {
    pub(super) id: String,
    pub(super) service: String,
    pub(super) draining: bool,
    pub(super) cold_ms: u64,
    pub(super) registration_change: RegistrationChange,
}

impl UpstreamChanges {
    /// Writes the log lines.
    pub(super) fn write(self) {
        if self.upstreams.len() <= INDIVIDUAL_LINES_MAX {
            self.upstreams.iter().for_each(LoggedUpstream::write);
        } else {
            let summaries = self.upstreams.iter().map(LoggedUpstream::summary);
            let summaries: Vec<String> = summaries.collect();
            let all = summaries.join(" ");
            info!(target: "belief", count = summaries.len(), upstreams = all.as_str(); "upstreams");
        }
        if self.unregistered.len() <= INDIVIDUAL_LINES_MAX {
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

impl LoggedUpstream {
    fn write(&self) {
        info!(
            target: "belief",
            upstream = self.id.as_str(),
            service = self.service.as_str(),
            draining = self.draining,
            cold_ms = self.cold_ms,
            change = format!("{:?}", self.registration_change).as_str();
            "upstream"
        );
    }

    /// Formats an upstream as its service, its id and any special properties.
    fn summary(&self) -> String {
        let mut summary = format!("{}@{}", self.service, self.id);
        if self.registration_change != RegistrationChange::New {
            summary.push_str(&format!(":{:?}", self.registration_change));
        }
        if self.draining {
            summary.push_str(":draining");
        }
        if self.cold_ms > 0 {
            summary.push_str(&format!(":cold_ms={}", self.cold_ms));
        }
        summary
    }
}
