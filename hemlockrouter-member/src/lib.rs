//! Membership of zones, ownership of upstreams and configuration relay.
//!
//! Every instance drives one [`Member`]. It tracks which instances run, decides which one of them
//! alone dispatches to an upstream, and spreads accepted release notes to all of them. It does no
//! I/O: the daemon passes in events with the current time, and executes the [`Command`]s that the
//! member returns.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_member::Config;
//! use hemlockrouter_member::Member;
//! use hemlockrouter_types::prelude::*;
//! use hemlockrouter_wire::member::Peer;
//!
//! let own_peer = Peer {
//!     id: InstanceId(1),
//!     address: "127.0.0.1:7001".parse().unwrap(),
//!     zone: "north-a".to_owned(),
//! };
//! let mut out = Vec::new();
//! let mut member = Member::new(Config::default(), own_peer, Vec::new(), Time::ZERO, 42);
//! member.tick(Time::from_ms(10), &mut out);
//! assert!(member.owner_of(UpstreamKey::from(0)).is_none());
//! ```
//!
//! # Modules
//!
//! - `membership`: probes, rumours, joining, proof that an instance has ended, contacts between
//!   zones.
//! - `ownership`: leases on upstreams, the members that grant them, and how a lease is handed over.
//! - `relay`: release notes, pushed down a tree and pulled by instances that lack them.
//! - `directory`: the owners of all zones' upstreams, for the data path.
//!
//! Instances that dispatch directly own no upstreams, and register in the platform's registry:
//!
//! - `sources`: the choice between reading the registry and following another instance.
//! - `registrar`: registration of several instances under one lease.

mod command;
mod config;
mod directory;
mod member;
mod membership;
mod ownership;
mod registrar;
mod relay;
mod sources;

pub use crate::command::Command;
pub use crate::command::Destination;
pub use crate::command::ListedInstance;
pub use crate::command::ListedState;
pub use crate::command::PeerStatus;
pub use crate::command::TieBreakAnswer;
pub use crate::command::TieBreakCall;
pub use crate::config::Config;
pub use crate::member::Member;
pub use crate::registrar::Registrar;
pub use crate::registrar::RegistrarStep;
pub use crate::registrar::RegistryCallFailure;
pub use crate::registrar::JOIN_INTERVAL_MS;
pub use crate::registrar::REGISTRATION_LEASE_MS;
pub use crate::sources::RegistryCall;
pub use crate::sources::RegistrySources;
pub use crate::sources::RegistryTiming;
