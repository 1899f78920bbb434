//! Whether an announcement names an instance that can be used.
//!
//! What another writer sends must cost the sound instances nothing: it isn't taken, and
//! a row of that kind in an older log is passed over.

use std::net::SocketAddr;

use base::name::NameError;
use base::prelude::*;
use quick_error::quick_error;
use wire::hub::Instance;
use wire::hub::Phase;

/// Most slots that one instance may claim, as at a directory; requests are placed by them.
const MAX_SLOTS: u32 = 65_536;

quick_error! {
    /// Why an announcement names no instance to use.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AnnouncementError {
        /// A name isn't one.
        Name(field: &'static str, err: NameError) {
            display("{field}: {err}")
        }
        /// Nothing can be connected to there.
        Address(text: String) {
            display("address: {text:?} is no IP:port that can be connected to")
        }
        /// It claims no slot, or too many.
        Slots(count: u32) {
            display("slots: {count} is not within 1 to {MAX_SLOTS}")
        }
        /// It says neither that it is ready nor that it leaves.
        Phase {
            display("phase: not one of ready, draining and gone")
        }
    }
}

/// Checks an announcement; of a notice of leaving only the id counts.
///
/// # Errors
///
/// Fails with the first field that can't be used.
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
    let usable = address.is_some_and(|a| a.port() != 0 && !a.ip().is_unspecified());
    if usable {
        Ok(())
    } else {
        Err(AnnouncementError::Address(text.to_owned()))
    }
}
