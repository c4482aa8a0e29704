//! How far the shutdown of the callers' port has come.

/// How far the shutdown of the callers' port has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Connections are kept alive.
    Serving,
    /// Every answer closes its connection, so that callers move to other instances.
    Draining,
    /// Idle connections are closed, the others end with their answer.
    Closing,
}
