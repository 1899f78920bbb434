//! API keys of workspaces.
//!
//! A key is stored and looked up by its SHA-256 digest, so that no table, log line or message
//! between processes contains it.

use std::fmt;
use std::fmt::Write as _;
use std::str::FromStr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 32;
/// Number of hexadecimal digits of [`KeyDigest::short`].
const SHORT_DIGITS: usize = 8;

quick_error! {
    /// Why a text is no digest of a key.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DigestError {
        /// The text doesn't have two hexadecimal digits for each byte.
        Form {
            display("a key digest has {} hexadecimal digits", DIGEST_BYTES * 2)
        }
    }
}

/// The SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of `key`.
    #[must_use]
    pub fn of(key: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// The first digits, which tell keys apart in log lines.
    #[must_use]
    pub fn short(&self) -> String {
        let mut text = self.to_string();
        text.truncate(SHORT_DIGITS);
        text
    }

    /// Whether both digests are equal, in a time that doesn't depend on their bytes.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        // `from_str_radix` accepts signs.
        let digits_only = text.bytes().all(|b| b.is_ascii_hexdigit());
        if text.len() != DIGEST_BYTES * 2 || !digits_only {
            return Err(DigestError::Form);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError::Form)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        let mut text = Self::with_capacity(DIGEST_BYTES * 2);
        // Writing to a string never fails.
        let _ = write!(text, "{digest}");
        text
    }
}
