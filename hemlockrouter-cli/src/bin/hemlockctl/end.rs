//! How the client ends, and its exit codes.

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// It did what was asked.
    Done,
    /// The instance refused it: the note does not check, another came first, the key is wrong, or
    /// there is no such thing.
    Refused,
    /// The command line, the key or the file can't be used. Nothing was sent.
    Usage,
    /// The instance or the platform's store did not answer. Nothing was accepted.
    Unreachable,
    /// The note is accepted, but was not in force on every instance when the wait ended.
    NotEverywhere,
    /// The note may have been accepted. Submitting the same file again settles it.
    Unsettled,
}

impl End {
    /// Returns the exit code.
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
