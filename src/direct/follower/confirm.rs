//! Calls of the follower that confirm registrations, and the question after a start which
//! registrations others hold back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::info;

use super::Follower;
use super::FollowerEvent;
use crate::direct::confirmation;
use crate::direct::confirmation::HealthCheck;
use crate::direct::mirror::Checker;
use crate::direct::mirror::Registration;

/// Maximum number of instances that are asked which registrations they hold back.
const HELD_RELAYS_MAX: usize = 4;

/// Delays before these questions, the second one after the first.
const HELD_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1_800)];

impl Follower {
    /// Checks the registrations that may be late writes. An instance whose copy came from a relay
    /// asks the relay, and any other one asks the upstreams.
    pub(super) fn start_confirmation(&self) {
        let relay = self
            .followed_relay
            .filter(|_| !self.mirror.path().is_empty());
        let checker = match relay {
            Some(_) => Checker::Relay,
            None => Checker::Upstream,
        };
        let registrations = self.mirror.due_checks(checker);
        if registrations.is_empty() {
            return;
        }
        match relay {
            Some(relay) => self.ask_relay_to_confirm(relay, registrations),
            None => registrations
                .into_iter()
                .for_each(|registration| self.check_health(registration)),
        }
    }

    fn ask_relay_to_confirm(&self, relay: SocketAddr, registrations: Vec<Registration>) {
        let events = self.events_tx.clone();
        self.tasks.spawn_call("confirmation by a relay", async move {
            match confirmation::ask_relay(relay, &registrations).await {
                Ok(registrations) => {
                    let why = "the relay has confirmed it";
                    // Sending can't fail, because the follower lives as long as the process.
                    let _ = events.send(FollowerEvent::Confirmed { registrations, why });
                }
                Err(err) => {
                    let why = err.to_string();
                    info!(target: "dependency", relay = relay.to_string(), why = why; "no confirmation");
                }
            }
        });
    }

    /// Asks other instances which registrations they hold back, soon after the first read and once
    /// more when they know of what the first read showed.
    pub(super) fn ask_for_held(&self) {
        let relays = self.node.registry_access().relays.into_iter();
        for relay in relays.take(HELD_RELAYS_MAX) {
            let events = self.events_tx.clone();
            self.tasks.spawn_call("held registrations", async move {
                for delay in HELD_DELAYS {
                    tokio::time::sleep(delay).await;
                    match confirmation::ask_held(relay).await {
                        Ok(registrations) => {
                            let held = FollowerEvent::Held { relay, registrations };
                            // Sending can't fail, because the follower lives as long as the process.
                            let _ = events.send(held);
                        }
                        Err(err) => {
                            let why = err.to_string();
                            info!(target: "dependency", relay = relay.to_string(), why = why; "held registrations not known");
                        }
                    }
                }
            });
        }
    }

    fn check_health(&self, registration: Registration) {
        let Some((address, path)) = self.mirror.health_target(&registration.id) else {
            return;
        };
        let check = HealthCheck {
            registration,
            address,
            path,
        };
        let protocol = Rc::clone(&self.protocol);
        let events = self.events_tx.clone();
        self.tasks.spawn_call("health check", async move {
            if confirmation::is_healthy(protocol, &check).await {
                let registrations = vec![check.registration];
                let why = "the upstream is healthy";
                // Sending can't fail, because the follower lives as long as the process.
                let _ = events.send(FollowerEvent::Confirmed { registrations, why });
            }
        });
    }
}
