//! A cluster of daemons, with a simulated store, simulated upstreams, and links between them.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use hemlockrouter_lab::link::LinkCondition;
use hemlockrouter_lab::link::TcpRelay;
use hemlockrouter_lab::load::LoadOptions;
use hemlockrouter_lab::load::LoadReport;
use hemlockrouter_lab::ports::PortBlock;
use hemlockrouter_lab::store::SimulatedStore;
use hemlockrouter_lab::store::StoreFaults;
use hemlockrouter_lab::store::StoreOptions;
use hemlockrouter_lab::upstream::SimulatedUpstream;
use hemlockrouter_lab::upstream::UpstreamBehaviour;
use serde_json::json;
use serde_json::Value;

use super::client::Caller;
use super::eventually;
use super::instance::Instance;
use super::instance::InstanceSpec;
use super::instance::OPERATORS_KEY;
use super::layout::Layout;
use super::layout::TEACHERS_KEY;

/// The prefix of the records that break the tie between the two instances of a zone.
const TIES_PREFIX: &str = "hemlockrouter/ties/";

/// The lock that ensures that only one cluster runs at a time.
static RUNNING_CLUSTER_LOCK: Mutex<()> = Mutex::new(());

/// A running cluster of daemons, upstreams and a store.
pub(crate) struct Cluster {
    pub(crate) layout: Layout,
    pub(crate) instances: Vec<Instance>,
    pub(crate) upstreams: Vec<SimulatedUpstream>,
    pub(crate) store: SimulatedStore,
    /// The links from each zone to the store, if the layout has links.
    pub(crate) store_links: Vec<(String, TcpRelay)>,
    operator: Caller,
    ports: PortBlock,
    dir: PathBuf,
    _cluster_guard: MutexGuard<'static, ()>,
}

impl Cluster {
    /// Starts all parts of the cluster, and waits until every instance serves every shard.
    pub(crate) fn start(layout: Layout) -> Cluster {
        let turn = RUNNING_CLUSTER_LOCK
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut ports = PortBlock::reserve().expect("a block of ports is free");
        let upstream_specs = layout.upstream_specs(&mut ports);
        let upstreams =
            SimulatedUpstream::start_all(&upstream_specs, &UpstreamBehaviour::default())
                .expect("free ports");
        let store = SimulatedStore::start(StoreOptions {
            listen: ports.next_free_addr(),
            faults: StoreFaults::default(),
        });
        let test = thread::current()
            .name()
            .unwrap_or("test")
            .replace("::", "-");
        let dir = env::temp_dir().join(format!("hemlock-e2e-{}-{test}", process::id()));
        fs::create_dir_all(&dir).expect("the directory for temporary files is writable");
        let mut cluster = Cluster {
            instances: Vec::new(),
            upstreams,
            store: store.expect("a free port"),
            store_links: Vec::new(),
            operator: Caller::new(OPERATORS_KEY),
            ports,
            dir,
            layout,
            _cluster_guard: turn,
        };
        cluster.start_all_instances();
        let note = cluster.layout.first_note(&upstream_specs);
        cluster.submit(&note);
        cluster.wait_until_all_shards_answer();
        cluster
    }

    fn start_all_instances(&mut self) {
        for (zone, count) in self.layout.zones.clone() {
            let store = self.store_address(zone);
            for turn in 1..=count {
                let instance_spec = self.instance_spec(&format!("{zone}-{turn}"), zone, store);
                self.start_registered(instance_spec);
            }
        }
    }

    /// Returns the address at which a zone reaches the store.
    fn store_address(&mut self, zone: &str) -> SocketAddr {
        if !self.layout.has_links {
            return self.store.addr();
        }
        let link = TcpRelay::start(
            self.ports.next_free_addr(),
            self.store.addr(),
            LinkCondition::default(),
        );
        let link = link.expect("a free port");
        let addr = link.addr();
        self.store_links.push((zone.to_owned(), link));
        addr
    }

    /// Allocates the ports and the link of an instance.
    pub(crate) fn instance_spec(
        &mut self,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> InstanceSpec {
        let instances = self.ports.next_free_addr();
        let link = self.layout.has_links.then(|| {
            let listen = self.ports.next_free_addr();
            TcpRelay::start(listen, instances, LinkCondition::default()).expect("a free port")
        });
        InstanceSpec {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: self.ports.next_free_addr(),
            operators: self.ports.next_free_addr(),
            instances,
            link,
            store,
            seeds: Vec::new(),
            shutdown_ms: self.layout.shutdown_ms,
        }
    }

    /// Returns an address on which nothing listens.
    pub(crate) fn free_address(&mut self) -> SocketAddr {
        self.ports.next_free_addr()
    }

    /// Starts an instance, and registers the instance in the platform's list.
    pub(crate) fn start_registered(&mut self, instance_spec: InstanceSpec) -> usize {
        self.register(&instance_spec);
        self.start_unregistered(instance_spec)
    }

    /// Starts an instance without registering the instance in the platform's list.
    pub(crate) fn start_unregistered(&mut self, instance_spec: InstanceSpec) -> usize {
        self.instances
            .push(Instance::start(instance_spec, &self.dir));
        self.instances.len() - 1
    }

    fn register(&self, instance_spec: &InstanceSpec) {
        let advertised = instance_spec.advertised_address();
        let body = json!({
            "ID": instance_spec.name,
            "Name": "hemlockrouter",
            "Address": advertised.ip(),
            "Port": advertised.port(),
            "Meta": {"zone": instance_spec.zone},
        });
        self.put_store("/v1/agent/service/register", &body);
    }

    /// Removes an instance from the platform's list.
    pub(crate) fn deregister(&self, name: &str) {
        self.put_store(
            &format!("/v1/agent/service/deregister/{name}"),
            &Value::Null,
        );
    }

    fn put_store(&self, path: &str, body: &Value) {
        let url = format!("http://{}{path}", self.store.addr());
        let sent = ureq::put(url).send(body.to_string());
        sent.expect("the store's stand-in answers");
    }

    /// Submits a release note to the first running instance, and waits until the note is in force
    /// on all running instances.
    pub(crate) fn submit(&mut self, note: &Value) {
        let index = self.running().next().expect("an instance is running");
        let operators = self.instances[index].instance_spec.operators;
        self.wait_until_reachable(index);
        let (status, body) = self.operator.post(operators, "/v1/notes", None, note);
        assert_eq!(status, 200, "{body}");
        let number = body["number"].as_u64().expect("the number of the note");
        for index in self.running().collect::<Vec<usize>>() {
            eventually("the note is in force", || {
                self.config_number(index) >= Some(number)
            });
        }
    }

    /// Returns the indices of the instances that are running.
    pub(crate) fn running(&mut self) -> std::vec::IntoIter<usize> {
        let instances = self.instances.iter_mut().enumerate();
        let running =
            instances.filter_map(|(index, instance)| instance.is_running().then_some(index));
        running.collect::<Vec<usize>>().into_iter()
    }

    /// Waits until the operators' port of an instance answers.
    pub(crate) fn wait_until_reachable(&self, index: usize) {
        let operators = self.instances[index].instance_spec.operators;
        eventually("the operators' port answers", || {
            matches!(self.operator.get(operators, "/livez"), Ok((200, _)))
        });
    }

    /// Returns whether an instance reports that it is ready.
    pub(crate) fn is_ready(&self, index: usize) -> bool {
        let operators = self.instances[index].instance_spec.operators;
        matches!(self.operator.get(operators, "/readyz"), Ok((200, _)))
    }

    /// Returns the metrics of an instance, in text form.
    pub(crate) fn metrics(&self, index: usize) -> String {
        let operators = self.instances[index].instance_spec.operators;
        let metrics = self.operator.get_text(operators, "/metrics");
        metrics.expect("the operators' port answers")
    }

    /// Returns the instance that owns an upstream.
    pub(crate) fn find_owner(&self, upstream: &str) -> usize {
        let owns = |index: &usize| {
            let operators = self.instances[*index].instance_spec.operators;
            let (_, status) = self
                .operator
                .get(operators, "/v1/status")
                .expect("a status");
            let rows = status["upstreams"].as_array().into_iter().flatten();
            let mut owned = rows.filter(|row| row["owned_here"] == true);
            owned.any(|row| row["name"] == upstream)
        };
        let mut all = 0..self.instances.len();
        all.find(owns).expect("the upstream has an owner")
    }

    /// Returns the number of the configuration that an instance has in force.
    pub(crate) fn config_number(&self, index: usize) -> Option<u64> {
        let operators = self.instances[index].instance_spec.operators;
        let (_, status) = self.operator.get(operators, "/v1/status").ok()?;
        status["config"].as_u64()
    }

    /// Waits until no instance continues alone in its zone.
    pub(crate) fn wait_until_ties_are_given_back(&self) {
        eventually("the records of ties are given back", || {
            let keys = self.store.keys(TIES_PREFIX).into_iter();
            let mut holders = keys.filter_map(|key| self.store.value(&key));
            holders.all(|holder| holder == b"nobody")
        });
    }

    /// Waits until every running instance answers a search from every shard.
    pub(crate) fn wait_until_all_shards_answer(&mut self) {
        let caller = Caller::for_teachers();
        for index in self.running() {
            let callers = self.instances[index].instance_spec.callers;
            eventually("every shard answers", || {
                let (status, body) = caller.search(callers, "whole?");
                let coverage = &body["coverage"];
                status == 200 && coverage["shards_answered"] == coverage["shards_total"]
            });
        }
    }

    /// Returns the callers' addresses of all instances.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        let instances = self.instances.iter();
        instances
            .map(|instance| instance.instance_spec.callers)
            .collect()
    }

    /// Returns the operators' addresses of all instances.
    pub(crate) fn operators(&self) -> Vec<SocketAddr> {
        let instances = self.instances.iter();
        instances
            .map(|instance| instance.instance_spec.operators)
            .collect()
    }

    /// Returns the options for a load of searches and `confirm` operations on all instances.
    pub(crate) fn load_options(&self, seed: u64) -> LoadOptions {
        let mut options = LoadOptions::new(self.callers(), TEACHERS_KEY);
        options.search = Some("halls".to_owned());
        options.operation = Some("confirm".to_owned());
        options.runs_per_mille = 200;
        options.rate = 60;
        options.deadline_ms = 1_000;
        options.duration_ms = 600_000;
        options.seed = seed;
        options.keep_alive = false;
        options
    }

    /// Returns the upstream with the given name.
    pub(crate) fn upstream(&self, name: &str) -> &SimulatedUpstream {
        let found = self
            .upstreams
            .iter()
            .find(|upstream| upstream.name() == name);
        found.expect("the layout has the upstream")
    }

    /// Returns how often the operation with the request id `request` took effect on all upstreams.
    pub(crate) fn effect_count(&self, request: &str) -> u64 {
        let upstreams = self.upstreams.iter();
        upstreams
            .map(|upstream| upstream.counts().effect_count(request))
            .sum()
    }

    /// Checks the guarantees that must hold for every load, during any fault. Fails if no search
    /// was answered.
    pub(crate) fn check_guarantees(&self, report: &LoadReport) {
        assert!(report.searched > 0, "no search was answered: {report:?}");
        self.check_run_guarantees(report);
    }

    /// Checks the guarantees that must hold for every load, with or without searches.
    pub(crate) fn check_run_guarantees(&self, report: &LoadReport) {
        assert!(
            report.faults.is_empty(),
            "broken promises: {:?}",
            report.faulty
        );
        assert_eq!(
            report.lost, 0,
            "without a final answer: {:?}",
            report.lost_ids
        );
        for (request, outcome) in &report.runs {
            let effect_count = self.effect_count(request);
            let matches_outcome = match outcome.as_str() {
                "done" => effect_count == 1,
                "not_run" => effect_count == 0,
                _ => effect_count <= 1,
            };
            assert!(
                matches_outcome,
                "{request} ended as {outcome} and ran {effect_count} times"
            );
        }
        self.check_cold_bounds();
    }

    /// Checks that no cold upstream ever had more requests in flight than its bound for cold
    /// upstreams.
    pub(crate) fn check_cold_bounds(&self) {
        for upstream in &self.upstreams {
            let counts = upstream.counts();
            let name = upstream.name();
            assert_eq!(
                counts.cold_bound_passed, 0,
                "{name} was overloaded while cold: {:?}",
                counts.overloads
            );
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.instances.clear();
        if thread::panicking() {
            eprintln!("settings and logs are kept in {}", self.dir.display());
        } else {
            // A directory that can't be removed does not affect other tests.
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
