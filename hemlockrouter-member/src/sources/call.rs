//! Calls by which an instance learns of changes in the registry.

use std::net::SocketAddr;

/// Call to the registry or to another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistryCall {
    /// Ask the registry for changes of its contents.
    WatchRegistry {
        /// How long the registry waits for a change before it answers, in milliseconds.
        wait_ms: u64,
        /// Timeout of the call, in milliseconds.
        timeout_ms: u64,
    },
    /// Ask another instance for changes of the registry that it knows.
    AskRelay {
        /// Address of the instance to ask.
        relay: SocketAddr,
        /// How long the asked instance waits for a change before it answers, in milliseconds.
        wait_ms: u64,
        /// Timeout of the call, in milliseconds.
        timeout_ms: u64,
    },
    /// Tell another instance that this one is in touch with the registry.
    Offer {
        /// Address of the instance to notify.
        relay: SocketAddr,
    },
}
