//! Validation of announcements.
//!
//! Invalid announcements are refused, and skipped when read from an older log, so that they
//! can't affect valid instances.

use std::net::SocketAddr;

use base::name::NameError;
use base::prelude::*;
use quick_error::quick_error;
use wire::hub::Instance;
use wire::hub::Phase;

/// Maximum number of slots of an instance; the same as at a directory.
const MAX_SLOTS: u32 = 65_536;

quick_error! {
    /// Why an announcement is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AnnouncementError {
        /// A field isn't a valid name.
        Name(field: &'static str, err: NameError) {
            display("{field}: {err}")
        }
        /// The address is not an IP address and port to connect to.
        Address(text: String) {
            display("address: {text:?} is not a connectable IP:port")
        }
        /// The number of slots is out of range.
        Slots(count: u32) {
            display("slots: {count} is not between 1 and {MAX_SLOTS}")
        }
        /// The phase is missing or unknown.
        Phase {
            display("phase: not one of ready, draining and gone")
        }
    }
}

/// Validates an announcement. If its phase is `Gone`, only the id is checked.
///
/// # Errors
///
/// Fails with the first invalid field.
pub fn check(instance: &Instance) -> Result<(), AnnouncementError> {
    let name = |field| move |err| AnnouncementError::Name(field, err);
    InstanceId::new(&instance.id).map_err(name("id"))?;
    match instance.phase() {
        Phase::Gone => return Ok(()),
        Phase::Unspecified => return Err(AnnouncementError::Phase),
        Phase::Ready | Phase::Draining => {}
    }
    ServiceName::new(&instance.service).map_err(name("service"))?;
    DomainName::new(&instance.domain).map_err(name("domain"))?;
    check_address(&instance.address)?;
    if (1..=MAX_SLOTS).contains(&instance.slots) {
        Ok(())
    } else {
        Err(AnnouncementError::Slots(instance.slots))
    }
}

fn check_address(text: &str) -> Result<(), AnnouncementError> {
    let address: Option<SocketAddr> = text.parse().ok();
    let valid = address.is_some_and(|a| a.port() != 0 && !a.ip().is_unspecified());
    if valid {
        Ok(())
    } else {
        Err(AnnouncementError::Address(text.to_owned()))
    }
}
