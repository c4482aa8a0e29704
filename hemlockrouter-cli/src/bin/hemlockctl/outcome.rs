//! The outcomes of a command, and their exit codes.

/// The outcome of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The command succeeded.
    Succeeded,
    /// The instance refused the command: the note is invalid, another note was accepted first, the
    /// key is wrong, or the named object does not exist.
    Refused,
    /// The command line, the key or the file is invalid. No request was sent.
    UsageError,
    /// The instance or the platform's store did not answer, and no note was accepted.
    Unreachable,
    /// The note is accepted, but was not in force on every instance when the wait ended.
    NotInForceEverywhere,
    /// The note may have been accepted. The operator can safely submit the same file again to find
    /// out.
    MaybeAccepted,
}

impl Outcome {
    /// Returns the exit code for this outcome.
    pub(crate) fn code(self) -> u8 {
        match self {
            Outcome::Succeeded => 0,
            Outcome::Refused => 1,
            Outcome::UsageError => 2,
            Outcome::Unreachable => 3,
            Outcome::NotInForceEverywhere => 4,
            Outcome::MaybeAccepted => 5,
        }
    }
}
