//! Validated names as immutable shared strings, with a separate type for each kind.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

quick_error! {
    /// Reason why a string is not a valid name.
    ///
    /// Control replicas store these texts with the changes of the catalogue that they refuse.
    /// Their snapshots must be byte-identical: changing a text breaks that between two releases.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The string is empty.
        Empty {
            display("a name has at least one character")
        }
        /// The string is longer than [`MAX_NAME_BYTES`].
        Long(bytes: usize) {
            display("a name has at most {MAX_NAME_BYTES} bytes, not {bytes}")
        }
        /// The string contains a character that is not allowed in names.
        Character(found: char) {
            display("a name has letters, digits, '-', '_', '.' and ':', not {found:?}")
        }
        /// The string contains a character that can't stand there in the value of a header.
        Value(found: char) {
            display("a workspace name has visible ASCII characters and spaces between them, not {found:?}")
        }
    }
}

/// Checks that `text` is a valid name.
///
/// # Errors
///
/// Returns an error if `text` is empty, longer than [`MAX_NAME_BYTES`], or contains a character
/// other than ASCII letters, digits and `-_.:`.
pub fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::Long(text.len()));
    }
    let invalid = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !"-_.:".contains(*c));
    invalid.map_or(Ok(()), |c| Err(NameError::Character(c)))
}

/// Checks that `text` is a valid workspace name: instances are told it in a header, so that it is
/// any value that reaches them unchanged.
///
/// # Errors
///
/// Returns an error if `text` is empty, longer than [`MAX_NAME_BYTES`], begins or ends with a
/// space, or contains a character other than visible ASCII characters and spaces.
pub fn check_workspace(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::Long(text.len()));
    }
    if text.starts_with(' ') || text.ends_with(' ') {
        return Err(NameError::Value(' '));
    }
    let invalid = text.chars().find(|c| !matches!(c, ' '..='~'));
    invalid.map_or(Ok(()), |c| Err(NameError::Value(c)))
}

macro_rules! names {
    ($check:ident: $($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            #[doc = concat!("Creates a name from `text` if [`", stringify!($check), "`] accepts it.")]
            ///
            /// # Errors
            ///
            #[doc = concat!("Returns the error of [`", stringify!($check), "`].")]
            pub fn new(text: &str) -> Result<Self, NameError> {
                $check(text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

names! { check:
    /// A service in the catalogue.
    ServiceName,
    /// An instance of an upstream; unique within its service.
    InstanceId,
    /// A machine that runs processes of the system.
    HostName,
    /// A failure domain.
    DomainName,
    /// A region, which contains failure domains.
    RegionName,
    /// A caller.
    CallerName,
    /// An idempotency key set by the caller.
    RequestKey,
    /// A catalogue change, chosen by the operator.
    ChangeId,
}

names! { check_workspace:
    /// A workspace: a group of callers that share API keys, a priority and a quota.
    WorkspaceName,
}
