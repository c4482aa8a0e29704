//! Shutdown phases of the callers' port.

/// Phase of the shutdown of the callers' port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShutdownPhase {
    /// Connections are kept alive.
    Serving,
    /// Every answer closes its connection, so that callers reconnect to other instances.
    Draining,
    /// Idle connections are closed, and the others are closed after their answer.
    Closing,
}
