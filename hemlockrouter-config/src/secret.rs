//! Keys that must not appear in logs, errors or debug output.
//!
//! A comparison hashes both keys first, so its duration does not reveal how many characters of a
//! wrong key are right.

use std::fmt;

use derive_more::Display;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The smallest length of a key, in characters.
pub const KEY_MIN_CHARS: usize = 16;

/// A shared secret of operators or instances.
///
/// # Examples
///
/// ```
/// use hemlockrouter_config::SecretKey;
///
/// let key = SecretKey::new("0123456789abcdef").unwrap();
/// assert!(key.matches("0123456789abcdef"));
/// assert!(!key.matches("0123456789abcdeX"));
/// assert_eq!(format!("{key:?}"), "SecretKey(..)");
/// ```
#[derive(Clone)]
pub struct SecretKey {
    text: String,
}

/// The reason for which a text is rejected as a [`SecretKey`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum InvalidKey {
    /// The key has fewer than [`KEY_MIN_CHARS`] characters.
    #[display("the key is shorter than {KEY_MIN_CHARS} characters")]
    TooShort,
    /// The key has a character that is not allowed in an `Authorization` header.
    #[display("the key holds a character other than visible ASCII")]
    InvalidCharacter,
}

impl SecretKey {
    /// Creates a key from its text, without leading and trailing white space.
    ///
    /// # Errors
    ///
    /// Returns an error if the key has fewer than [`KEY_MIN_CHARS`] characters, or a character that
    /// is not allowed in an `Authorization` header.
    pub fn new(text: &str) -> Result<SecretKey, InvalidKey> {
        let text = text.trim();
        if text.len() < KEY_MIN_CHARS {
            return Err(InvalidKey::TooShort);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(InvalidKey::InvalidCharacter);
        }
        Ok(SecretKey {
            text: String::from(text),
        })
    }

    /// Returns whether `presented` equals this key. The hashes are compared in constant time.
    pub fn matches(&self, presented: &str) -> bool {
        let own = Sha256::digest(self.text.as_bytes());
        let other = Sha256::digest(presented.as_bytes());
        own.ct_eq(&other).into()
    }

    /// Returns the value of the `Authorization` header for this key.
    pub fn authorization_header(&self) -> String {
        format!("Bearer {}", self.text)
    }
}

impl PartialEq for SecretKey {
    fn eq(&self, other: &SecretKey) -> bool {
        self.matches(&other.text)
    }
}

impl Eq for SecretKey {}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey(..)")
    }
}
