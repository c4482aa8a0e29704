//! Shutdown phases of the callers' port.

use tokio::time::Instant;

/// Phase of the shutdown of the callers' port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShutdownPhase {
    /// Connections are kept alive.
    Serving,
    /// Every answer closes its connection, so that callers reconnect to other instances.
    Draining,
    /// Idle connections are closed, and the others are closed after their answer. The port is closed
    /// once callers no longer open connections.
    Closing {
        /// Time at which the port is closed at the latest.
        port_open_until: Instant,
    },
}

impl ShutdownPhase {
    /// Returns whether idle connections are closed.
    pub(crate) fn is_closing(self) -> bool {
        matches!(self, ShutdownPhase::Closing { .. })
    }
}
