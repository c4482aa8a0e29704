//! Simulated upstreams, stores and networks for testing the tier, and a load generator. Production
//! binaries don't link this crate.
//!
//! Each simulated server accepts faults to inject while it runs, and counts the requests that it
//! received. Tests start these servers inside their own process; the binary `hemlock-lab` starts
//! them as separate processes.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_lab::store::StoreFaults;
//! use hemlockrouter_lab::store::SimulatedStore;
//! use hemlockrouter_lab::store::StoreOptions;
//!
//! # fn main() -> eyre::Result<()> {
//! let listen = "127.0.0.1:0".parse()?;
//! let store = SimulatedStore::start(StoreOptions { listen, faults: StoreFaults::default() })?;
//! ureq::put(format!("http://{}/v1/kv/colour?cas=0", store.addr())).send("green")?;
//! assert_eq!(store.value("colour").as_deref(), Some(&b"green"[..]));
//! # Ok(())
//! # }
//! ```
//!
//! # Modules
//!
//! - [`experiment`]: a simulation of the tier's decisions under load and faults, in virtual time.
//! - [`store`]: a simulation of the platform's key-value store and instance list.
//! - [`upstream`]: simulated upstreams with slots, cold starts, snapshots and stragglers.
//! - [`link`]: a TCP relay that simulates a broken, slow or half-open network.
//! - [`load`]: an open-loop load generator that checks every answer.
//! - [`ports`]: free ports for processes that can't report which port the kernel gave them.
//! - [`process`]: what the operating system knows about a process.
//! - [`server`]: the HTTP server on which all simulated servers run.
//! - [`timer`]: delayed actions.

pub mod experiment;
pub mod link;
pub mod load;
pub mod ports;
pub mod process;
pub mod server;
pub mod store;
pub mod timer;
pub mod upstream;
