//! The instance list of the simulated store, which shows each change only after a lag.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;

/// The registration of a service instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Registration {
    /// Id of the instance; if empty, the service name.
    #[serde(rename = "ID", default)]
    pub id: String,
    /// Name of the service.
    #[serde(rename = "Name")]
    pub name: String,
    /// IP address of the instance.
    #[serde(rename = "Address", default)]
    pub address: String,
    /// Port of the instance, which is not checked.
    #[serde(rename = "Port", default)]
    pub port: u64,
    /// Custom metadata, such as `zone` and `leaving`.
    #[serde(rename = "Meta", default)]
    pub meta: BTreeMap<String, String>,
}

#[derive(Clone, Debug)]
enum Change {
    Set(Registration),
    Remove(String),
    Check { id: String, passing: bool },
}

#[derive(Clone, Debug)]
struct ListedInstance {
    registration: Registration,
    passing: bool,
}

/// The instance list together with the changes that are not visible yet.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    index: u64,
    visible: BTreeMap<String, ListedInstance>,
    pending_changes: VecDeque<(Instant, Change)>,
}

impl List {
    pub(super) fn index(&self) -> u64 {
        self.index.max(1)
    }

    pub(super) fn register(&mut self, mut registration: Registration, now: Instant) {
        if registration.id.is_empty() {
            registration.id.clone_from(&registration.name);
        }
        self.pending_changes
            .push_back((now, Change::Set(registration)));
    }

    pub(super) fn deregister(&mut self, id: &str, now: Instant) {
        self.pending_changes
            .push_back((now, Change::Remove(id.to_owned())));
    }

    pub(super) fn set_check(&mut self, id: &str, passing: bool, now: Instant) {
        let id = id.to_owned();
        self.pending_changes
            .push_back((now, Change::Check { id, passing }));
    }

    /// Makes the changes visible that are at least `lag` old.
    pub(super) fn show_changes_older_than(&mut self, lag: Duration, now: Instant) {
        while let Some((at, _)) = self.pending_changes.front() {
            if now.duration_since(*at) < lag {
                return;
            }
            let (_, change) = self
                .pending_changes
                .pop_front()
                .expect("the change was just seen");
            self.index = self.index.max(1) + 1;
            self.apply(change);
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Set(registration) => {
                let listed = ListedInstance {
                    registration,
                    passing: true,
                };
                self.visible.insert(listed.registration.id.clone(), listed);
            }
            Change::Remove(id) => {
                self.visible.remove(&id);
            }
            Change::Check { id, passing } => {
                if let Some(listed) = self.visible.get_mut(&id) {
                    listed.passing = passing;
                }
            }
        }
    }

    /// Returns the instances of a service in the JSON format of the health endpoint.
    pub(super) fn entries(&self, service: &str, passing_only: bool) -> Vec<Value> {
        let listed = self.visible.values();
        let listed = listed.filter(|listed| listed.registration.name == service);
        let listed = listed.filter(|listed| listed.passing || !passing_only);
        listed.map(health_entry).collect()
    }
}

fn health_entry(listed: &ListedInstance) -> Value {
    let registration = &listed.registration;
    let status = if listed.passing {
        "passing"
    } else {
        "critical"
    };
    json!({
        "Node": {"Node": registration.id, "Address": registration.address},
        "Service": {
            "ID": registration.id,
            "Service": registration.name,
            "Address": registration.address,
            "Port": registration.port,
            "Meta": registration.meta,
        },
        "Checks": [{"ServiceID": registration.id, "Status": status}],
    })
}
