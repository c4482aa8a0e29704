//! First read of the registry when an instance starts.
//!
//! When many instances start at once, the network link to the registry is too slow for all of them.
//! Therefore only the designated readers of each availability zone read from the registry, and the
//! other instances read from these readers. The readers are determined from the registry's list of
//! instances, or by asking the seed instances while the registry does not answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlockrouter_edge::EntryChange;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RestoreGeneration;
use hemlockrouter_route::direct::Instances;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::RegistryAccess;
use log::info;
use log::warn;

use super::node::Node;
use super::registry::record_registry_lost;
use super::registry::CallError;
use super::registry::RegistryClient;
use super::registry::CALL_TIMEOUT_MS;
use super::registry_reads;
use super::registry_reads::KnownState;
use super::registry_reads::RegistryRead;
use super::relay;

/// Maximum number of listed instances for which every instance reads from the registry when it
/// starts. Even if all of them start at once, reading from the registry takes less time than finding
/// another instance to read from.
const DIRECT_READ_INSTANCES_MAX: usize = 100;

/// Interval at which an instance without data retries its first read, in milliseconds. A random
/// delay of up to the same length is added so that the instances do not call at once. A reader
/// serves no other instance until this read succeeds, and other instances wait for it.
const FIRST_READ_RETRY_MS: u64 = 150;

/// Number of failed attempts after which a reader asks the seeds whether other instances have read
/// the registry, since the registry may be rejecting only this reader.
const READER_ATTEMPTS_BEFORE_SEEDS: u32 = 5;

/// Timeout for a reader's request to a seed, in milliseconds.
const READER_SEED_TIMEOUT_MS: u64 = 100;

/// Time for which seeds that do not answer are retried, in milliseconds. Machines that start
/// together come up within a few tenths of a second.
const UNRESPONSIVE_SEEDS_TIMEOUT_MS: u64 = 800;

/// Maximum number of attempts to read from one relay during the first read.
const RELAY_ATTEMPTS_MAX: usize = 2;

/// Time for which an instance waits for seeds that have not read the registry either, in
/// milliseconds. Each instance adds a random delay of up to the same length.
const UNREADY_SEEDS_TIMEOUT_MS: u64 = 3_000;

/// Timeout for reading all entries from another instance, in milliseconds.
const RELAY_READ_TIMEOUT_MS: u64 = 1_500;

/// HTTP status of a seed that has not read the registry yet.
const SEED_UNREADY_STATUS: u16 = 503;

/// Pause after a failure before the next instance is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Performs the first read of the registry.
pub(super) struct FirstRead<'a> {
    pub(super) name: &'a str,
    pub(super) zone: &'a str,
    /// Value that differs between instances, from which their random delays are derived.
    pub(super) jitter_seed: u64,
    pub(super) clock: Clock,
    pub(super) protocol: &'a Rc<dyn Protocol>,
    pub(super) node: &'a Node,
    pub(super) registry: &'a mut RegistryClient,
    pub(super) lost_since: Option<Time>,
}

impl FirstRead<'_> {
    /// Retries until all entries are read.
    pub(super) async fn run(&mut self) -> RegistryRead {
        for attempt in 1_u32.. {
            let registry_access = self.node.registry_access();
            match self.read_from_registry_or_reader().await {
                Ok(read) => return read,
                Err(err) => record_registry_lost(&mut self.lost_since, self.clock.now(), &err),
            }
            let should_ask_seeds =
                !registry_access.reads_registry || attempt % READER_ATTEMPTS_BEFORE_SEEDS == 0;
            if should_ask_seeds {
                if let Some(read) = self.read_via_seeds(&registry_access).await {
                    return read;
                }
            }
            let delay_ms = FIRST_READ_RETRY_MS + self.jitter_seed % FIRST_READ_RETRY_MS;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        unreachable!("the attempts have no limit")
    }

    /// Reads all entries from the registry, or from a reader of the availability zone if there are
    /// many instances.
    async fn read_from_registry_or_reader(&mut self) -> Result<RegistryRead, CallError> {
        let request = self.protocol.write_instance_page_request();
        let answer = self.registry.call(request, CALL_TIMEOUT_MS).await?;
        let page = self.protocol.read_page(answer.status(), &answer.body);
        let page = page.map_err(CallError::Refused)?;
        let has_many_instances =
            page.entries.len() > DIRECT_READ_INSTANCES_MAX || page.next.is_some();
        if has_many_instances {
            let mut listed_instances = Instances::default();
            for entry in page.entries {
                if let EntryChange::Instance(instance) = entry.change {
                    listed_instances.add_instance(Time::ZERO, instance);
                }
            }
            let readers = listed_instances.first_readers(self.zone);
            let is_reader = readers.iter().any(|entry| entry.name == self.name);
            if !is_reader {
                if let Some(read) = self.read_from_any(&relay_addresses(&readers)).await {
                    return Ok(read);
                }
            }
        }
        let protocol = Rc::clone(self.protocol);
        registry_reads::read_all(
            self.registry,
            &*protocol,
            RestoreGeneration::default(),
            true,
        )
        .await
    }

    /// Asks the seeds for the readers of the zone, and reads from one of these readers or from the
    /// seed that answered. The timeout is long for seeds that still wait for the registry and short
    /// for seeds that do not answer.
    async fn read_via_seeds(&self, registry_access: &RegistryAccess) -> Option<RegistryRead> {
        let started_at = self.clock.now();
        let unresponsive_timeout_ms = match registry_access.reads_registry {
            true => READER_SEED_TIMEOUT_MS,
            false => UNRESPONSIVE_SEEDS_TIMEOUT_MS,
        };
        let mut give_up_at = started_at + unresponsive_timeout_ms;
        for seed in registry_access.relays.iter().copied().cycle() {
            if self.clock.now() >= give_up_at {
                break;
            }
            match self
                .fetch_readers(seed, registry_access.reads_registry)
                .await
            {
                Ok(mut readers) => {
                    readers.retain(|entry| entry.name != self.name);
                    let mut relays = relay_addresses(&readers);
                    // The seed has read the registry too. It may know no other instance of the zone.
                    if !relays.contains(&seed) {
                        relays.push(seed);
                    }
                    return self.read_from_any(&relays).await;
                }
                // Readers must not wait for each other, because then none of them would ever read.
                Err(CallError::Outdated { .. }) if registry_access.reads_registry => break,
                Err(CallError::Outdated { .. }) => {
                    give_up_at = started_at
                        + UNREADY_SEEDS_TIMEOUT_MS
                        + self.jitter_seed % UNREADY_SEEDS_TIMEOUT_MS;
                }
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        None
    }

    /// Asks a seed for the readers of the zone. A seed without data answers once it has read the
    /// registry; a reader, for which `is_reader` is set, does not wait for that.
    async fn fetch_readers(
        &self,
        seed: SocketAddr,
        is_reader: bool,
    ) -> Result<Vec<InstanceEntry>, CallError> {
        let request = relay::build_readers_request(self.zone);
        let timeout_ms = match is_reader {
            true => READER_SEED_TIMEOUT_MS,
            false => RELAY_READ_TIMEOUT_MS,
        };
        let answer = RegistryClient::for_instance(seed)
            .call(request, timeout_ms)
            .await?;
        if answer.status() == SEED_UNREADY_STATUS {
            return Err(CallError::Outdated { age_ms: u64::MAX });
        }
        relay::decode_readers(answer.status(), &answer.body).map_err(CallError::NoAnswer)
    }

    async fn read_from_any(&self, relays: &[SocketAddr]) -> Option<RegistryRead> {
        for relay in relays.repeat(RELAY_ATTEMPTS_MAX) {
            if let Some(read) = self.read_from(relay).await {
                return Some(read);
            }
        }
        None
    }

    /// Reads all entries from another instance, if that instance has any.
    async fn read_from(&self, relay: SocketAddr) -> Option<RegistryRead> {
        let initial_state = KnownState {
            position: None,
            age_ms: u64::MAX,
        };
        let address = relay.to_string();
        let mut connection = RegistryClient::for_instance(relay);
        match registry_reads::poll_relay(
            &mut connection,
            initial_state,
            relay::FIRST_READ_WAIT_MS,
            RELAY_READ_TIMEOUT_MS,
        )
        .await
        {
            Ok(read) => {
                info!(target: "dependency", relay = address, age_ms = read.age_ms; "read from a relay");
                Some(read)
            }
            Err(err) => {
                warn!(target: "dependency", relay = address, why = err.to_string(); "relay lost");
                None
            }
        }
    }
}

fn relay_addresses(instances: &[InstanceEntry]) -> Vec<SocketAddr> {
    instances.iter().filter_map(|entry| entry.relay).collect()
}
