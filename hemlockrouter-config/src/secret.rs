//! Keys that must not show up in a log, an error or a core of text.
//!
//! Comparison hashes both sides first, so that it takes the same time for every wrong key, whatever
//! its length and however many of its first characters are right.

use std::fmt;

use derive_more::Display;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The shortest key that is accepted, in characters.
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

/// Why a text can't be a [`SecretKey`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum WeakKey {
    /// It is too short.
    #[display("the key is shorter than {KEY_MIN_CHARS} characters")]
    Short,
    /// It holds a character that an HTTP header can't carry.
    #[display("the key holds a character other than visible ASCII")]
    Characters,
}

impl SecretKey {
    /// Makes a key from its text, without the white space around it.
    ///
    /// # Errors
    ///
    /// Refuses a key of fewer than [`KEY_MIN_CHARS`] characters, or with characters that an
    /// `Authorization` header can't carry.
    pub fn new(text: &str) -> Result<SecretKey, WeakKey> {
        let text = text.trim();
        if text.len() < KEY_MIN_CHARS {
            return Err(WeakKey::Short);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(WeakKey::Characters);
        }
        Ok(SecretKey {
            text: String::from(text),
        })
    }

    /// Returns whether `presented` is this key, in constant time.
    pub fn matches(&self, presented: &str) -> bool {
        let own = Sha256::digest(self.text.as_bytes());
        let other = Sha256::digest(presented.as_bytes());
        own.ct_eq(&other).into()
    }

    /// Returns the value of an `Authorization` header that presents this key.
    pub fn authorization(&self) -> String {
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
