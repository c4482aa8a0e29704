//! The outcomes of a command, and their exit codes.

/// The outcome of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The command succeeded.
    Done,
    /// The instance refused the command: the note is invalid, another note was accepted first, the
    /// key is wrong, or the named object does not exist.
    Refused,
    /// The command line, the key or the file is invalid. No request was sent.
    Usage,
    /// The instance or the platform's store did not answer, and no note was accepted.
    Unreachable,
    /// The note is accepted, but was not in force on every instance when the wait ended.
    NotEverywhere,
    /// The note may have been accepted. The operator can safely submit the same file again to find
    /// out.
    Unsettled,
}

impl End {
    /// Returns the exit code for this outcome.
    pub(crate) fn code(self) -> u8 {
        match self {
            End::Done => 0,
            End::Refused => 1,
            End::Usage => 2,
            End::Unreachable => 3,
            End::NotEverywhere => 4,
            End::Unsettled => 5,
        }
    }
}
