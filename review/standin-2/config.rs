//! The operator's configuration.

use crate::client::HOST;

/// Services of the first deployment page that hold shards: 20 and 30 of them.
const SHARD_SERVICES: [(&str, usize); 2] = [("hall-finder", 20), ("clerk-desk", 30)];

/// What changes between versions.
#[derive(Clone, Debug)]
pub struct Config {
    pub version: u64,
    /// Service of the route `/book/`.
    pub booking_service: &'static str,
    /// Number of routes beside `/book/`; each is a search over all shards.
    pub searches: usize,
    pub idle_timeout_ms: u64,
    /// Requests per second that a cold replica tolerates; 0 if replicas are never cold.
    pub warmup_per_s: u32,
}

/// Returns the names of all shards.
pub fn shards() -> Vec<String> {
    let services = SHARD_SERVICES.iter();
    let shards = services
        .flat_map(|(name, count)| (1..=*count).map(move |number| format!("{name}-{number}")));
    shards.collect()
}

impl Config {
    pub fn to_json(&self) -> String {
        let shards: Vec<String> = shards().iter().map(|name| format!(r#""{name}""#)).collect();
        let gather = shards.join(",");
        let booking_service = self.booking_service;
        let mut routes = vec![format!(
            r#"{{"name":"book","host":"{HOST}","pathPrefix":"/book/","routeKind":"idempotent","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"{booking_service}","maxAttempts":2,"allowedRegions":[]}}"#
        )];
        routes.extend((0..self.searches).map(|number| {
            format!(
                r#"{{"name":"search-{number}","host":"{HOST}","pathPrefix":"/search/{number}/","routeKind":"idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":1,"gather":[{gather}],"maxAttempts":2,"topK":50,"minCoverage":0.89,"allowedRegions":[]}}"#
            )
        }));
        let mut services = crate::config::shards();
        services.extend(["reserve-ledger", "notice-board"].map(String::from));
        let warmup_per_s = self.warmup_per_s;
        let services = services.iter().map(|name| {
            format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":{warmup_per_s}.0}}"#)
        });
        let services: Vec<String> = services.collect();
        let (version, idle) = (self.version, self.idle_timeout_ms);
        let (routes, services) = (routes.join(","), services.join(","));
        format!(
            r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":{idle}}}}}"#
        )
    }
}
