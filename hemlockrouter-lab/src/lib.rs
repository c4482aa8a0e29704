//! Stand-ins for what the tier meets, and a tool that puts load on it. The product never links it.
//!
//! Each stand-in is a small HTTP server that can be told, while it runs, what is to go wrong, and
//! that counts what it was asked to do. Tests start them inside their own process; the binary
//! `hemlock-lab` starts them as processes.
//!
//! # Examples
//!
//! ```
//! use hemlockrouter_lab::store::Faults;
//! use hemlockrouter_lab::store::Store;
//! use hemlockrouter_lab::store::StoreOptions;
//!
//! # fn main() -> eyre::Result<()> {
//! let listen = "127.0.0.1:0".parse()?;
//! let store = Store::start(StoreOptions { listen, faults: Faults::default() })?;
//! ureq::put(format!("http://{}/v1/kv/colour?cas=0", store.addr())).send("green")?;
//! assert_eq!(store.value("colour").as_deref(), Some(&b"green"[..]));
//! # Ok(())
//! # }
//! ```
//!
//! # Modules
//!
//! - [`experiment`]: the tier's decisions under load and faults, in virtual time.
//! - [`store`]: the platform's key-value store and instance list.
//! - [`upstream`]: upstreams with slots, cold starts, snapshots and stragglers.
//! - [`link`]: a TCP relay that can be cut, delayed or left half open.
//! - [`load`]: open-loop load that checks every answer.
//! - [`ports`]: ports for processes that can't be asked which one they got.
//! - [`server`]: the HTTP server under them.
//! - [`timer`]: actions at a later time.

pub mod experiment;
pub mod link;
pub mod load;
pub mod ports;
pub mod server;
pub mod store;
pub mod timer;
pub mod upstream;
