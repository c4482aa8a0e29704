//! The calls that an instance makes to keep up with the registry.

use std::net::SocketAddr;

/// A call to be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Ask the registry for changes.
    Watch {
        /// How long it waits for one, in milliseconds.
        wait_ms: u64,
        /// How long the call may take, in milliseconds.
        limit_ms: u64,
    },
    /// Ask another instance for changes.
    Ask {
        /// Where it is.
        relay: SocketAddr,
        /// How long it waits until it has heard more, in milliseconds.
        wait_ms: u64,
        /// How long the call may take, in milliseconds.
        limit_ms: u64,
    },
    /// Tell another instance that this one is in touch with the registry.
    Offer {
        /// Where it is.
        relay: SocketAddr,
    },
}
