//! A small deployment: a store, replicas and machines, each with loopback addresses.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::config::{shards, Config};
use crate::daemon::{Deployment, Machine, Site, HALLS};
use crate::record::Record;
use crate::replica::{Replica, Run, HEARTBEAT};
use crate::store::Store;

/// The zones, each in its own region.
pub const ZONES: [(&str, &str); 2] = [("daegu-a", "yeongnam"), ("seoul-b", "sudogwon")];

/// Largest number of machines that the settings name as seeds.
const SEEDS_MAX: usize = 3;

/// Runs of all replicas.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct World {
    pub record: Arc<Record>,
    pub store: Store,
    pub runs: Runs,
    pub machines: Vec<Arc<Machine>>,
    dir: PathBuf,
    net: String,
    site: &'static Site,
}

impl World {
    /// Starts the store and plans the machines, in the zones by turns.
    pub fn new(folder: &Path, machines: usize) -> World {
        World::at(folder, machines, &HALLS)
    }

    /// The same with the bounds and links of another site.
    pub fn at(folder: &Path, machines: usize, site: &'static Site) -> World {
        let record = Arc::new(Record::create(folder));
        let process_id = std::process::id();
        let dir = std::env::temp_dir().join(format!("hemlock-review-2-{process_id}"));
        std::fs::create_dir_all(&dir).expect("the temporary folder is writable");
        let net = format!("127.{}.{}", 20 + process_id % 200, process_id / 200 % 250);
        let store = Store::start(&format!("{net}.1"), site.link_mbps);
        let machines = (0..machines).map(|index| {
            let (zone, _) = ZONES[index % ZONES.len()];
            let number = index / ZONES.len() + 1;
            let ip = format!("{net}.{}", 10 + index);
            Arc::new(Machine::new(
                &record,
                &dir,
                &ip,
                &format!("frontend-{zone}-{number}"),
            ))
        });
        World {
            runs: Runs::default(),
            machines: machines.collect(),
            record,
            store,
            dir,
            net,
            site,
        }
    }

    /// Starts a replica without writing its entry.
    pub fn replica(&self, id: &str, service: &str, zone: usize, work: Duration) -> Arc<Replica> {
        let ip = format!("{}.{}", self.net, 100 + zone);
        let (zone, _) = ZONES[zone];
        Replica::start(&self.record, &self.runs, &ip, (id, service, zone), work)
    }

    /// Starts a replica that writes its entry, and keeps it with heartbeats.
    pub fn registered_replica(
        &self,
        id: &str,
        service: &str,
        zone: usize,
        work: Duration,
    ) -> Arc<Replica> {
        let replica = self.replica(id, service, zone, work);
        let (kept, store) = (Arc::clone(&replica), self.store.clone());
        kept.write(&store);
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            kept.write(&store);
        });
        replica
    }

    /// Starts one replica of each shard.
    pub fn shard_replicas(&self) -> Vec<Arc<Replica>> {
        let shards = shards();
        let replicas = shards.iter().enumerate().map(|(index, service)| {
            let id = format!("i-shard-{index}");
            self.registered_replica(&id, service, index % ZONES.len(), Duration::from_millis(5))
        });
        replicas.collect()
    }

    /// Writes a configuration, as the operator does, and returns when it was acknowledged.
    pub fn write_config(&self, config: &Config) -> Duration {
        self.store.put("op/config", &config.to_json());
        let version = config.version;
        let service = config.booking_service;
        self.record.write(&format!(
            "version {version} acknowledged, /book/ goes to {service}"
        ));
        self.record.elapsed()
    }

    /// Starts all machines, and returns whether they are ready in time.
    pub fn start_machines(&self) -> bool {
        let seeds: Vec<_> = self
            .machines
            .iter()
            .map(|machine| machine.control)
            .take(SEEDS_MAX)
            .collect();
        let deployment = Deployment {
            store: self.store.address,
            zones: &ZONES,
            site: self.site,
        };
        for (machine, (zone, _)) in self.machines.iter().zip(ZONES.iter().cycle()) {
            machine.write_settings(&deployment, zone, &seeds);
            machine.start();
        }
        self.machines.iter().all(|machine| machine.wait_ready())
    }

    /// Returns the time since the start of the record.
    pub fn now(&self) -> Duration {
        self.record.elapsed()
    }

    /// Waits until `at` since the start of the record.
    pub fn wait_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.now()));
    }

    /// Returns the runs of an attempt.
    pub fn runs_of(&self, attempt_id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("no thread panics with the lock");
        let runs = runs.iter().filter(|run| run.attempt_id == attempt_id);
        runs.cloned().collect()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for machine in &self.machines {
            machine.kill();
        }
        self.record.flush();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
