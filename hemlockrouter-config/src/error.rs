//! The error type of this package.
//!
//! Operators read these errors at a terminal, so each error names the file, the line, the field and
//! the expected value. Programs distinguish errors by their kind.

use std::fmt;

/// An error in a settings file or a release note, with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
    file: String,
    line: usize,
    field: String,
    message: String,
}

/// The kinds of [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The text is not JSON with comments.
    Syntax,
    /// A field is not known.
    UnknownField,
    /// A required field is missing.
    MissingField,
    /// A value has the wrong type, or is out of its range.
    InvalidValue,
    /// A value contradicts another value, in the same file or from an earlier note.
    Conflict,
    /// A name refers to nothing.
    NotFound,
    /// An entry that is to be withdrawn is still used.
    InUse,
    /// The document is larger than a value of the store may be, or the catalogue holds too many
    /// entries.
    TooLarge,
    /// A key could not be read.
    KeyUnavailable,
}

impl Error {
    pub(crate) fn new(
        kind: ErrorKind,
        file: &str,
        line: usize,
        field: &str,
        message: String,
    ) -> Error {
        Error {
            kind,
            file: String::from(file),
            line,
            field: String::from(field),
            message,
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the name of the file, as the caller gave it.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the line, counted from 1, or 0 if the error concerns the file as a whole.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns the path of the field, for example `limits.queue_max`, or an empty string if the
    /// error concerns no single field.
    pub fn field_path(&self) -> &str {
        &self.field
    }

    /// Returns the description of the error, without file, line and field.
    pub fn message(&self) -> &str {
        &self.message
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, " {}:", self.field)?;
        }
        write!(f, " {}", self.message)
    }
}

impl std::error::Error for Error {}
