//! Names as shared immutable strings, one type for each kind of thing.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

quick_error! {
    /// Why a text is no name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// It has no character.
        Empty {
            display("a name has at least one character")
        }
        /// It is longer than [`MAX_NAME_BYTES`].
        Long(bytes: usize) {
            display("a name has at most {MAX_NAME_BYTES} bytes, not {bytes}")
        }
        /// A character that no name may have.
        Character(found: char) {
            display("a name has letters, digits, '-', '_', '.' and ':', not {found:?}")
        }
    }
}

/// Checks that `text` can be a name.
///
/// # Errors
///
/// Fails on an empty or long text, or a character outside letters, digits and `-_.:`.
pub fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::Long(text.len()));
    }
    let bad = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !"-_.:".contains(*c));
    bad.map_or(Ok(()), |c| Err(NameError::Character(c)))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Takes `text` after [`check`].
            ///
            /// # Errors
            ///
            /// Fails where [`check`] does.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(text.into()))
            }

            /// The text.
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

names! {
    /// A service of the catalogue.
    ServiceName,
    /// One instance of an upstream, unique within its service.
    InstanceId,
    /// A machine that runs processes of the system.
    HostName,
    /// A failure domain.
    DomainName,
    /// A region, which holds failure domains.
    RegionName,
    /// Who calls.
    CallerName,
    /// A caller's idempotency key.
    RequestKey,
    /// A catalogue change, chosen by the operator.
    ChangeId,
}
