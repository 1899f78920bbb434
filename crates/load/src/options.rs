//! Options of a load run.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use quick_error::quick_error;

use crate::arrival::Spacing;

/// Maximum number of calls per second.
pub const MAX_RATE: u32 = 50_000;
/// Maximum duration of a run.
pub const MAX_DURATION: Duration = Duration::from_mins(5);

quick_error! {
    /// Error of checking options.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum OptionsError {
        /// An address is not a loopback address.
        NotLoopback(address: SocketAddr) {
            display("{address} is not a loopback address; load is sent to loopback addresses only")
        }
        /// Neither an address nor a directory is given.
        NoTarget {
            display("--address or --directory is required")
        }
        /// Both an address and a directory are given.
        TwoTargets {
            display("--address and --directory can't be combined")
        }
        /// The rate is zero or too high.
        RateOutOfRange(rate: u32) {
            display("a rate of {rate} calls per second is outside 1 to {MAX_RATE}")
        }
        /// The duration is too short or too long.
        DurationOutOfRange(duration: Duration) {
            display("a duration of {duration:?} is outside 1s to {MAX_DURATION:?}")
        }
    }
}

/// Options of one load run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Fixed address to call instead of the addresses that the directories return.
    pub address: Option<SocketAddr>,
    /// Directories, in the order in which they are queried.
    pub directories: Vec<SocketAddr>,
    /// Address of an upstream that every second call is sent to directly.
    pub compare: Option<SocketAddr>,
    /// Service to call.
    pub service: ServiceName,
    /// Caller name to send.
    pub caller: Option<CallerName>,
    /// Path to call.
    pub path: String,
    /// Calls per second.
    pub rate: u32,
    /// How long calls are sent.
    pub duration: Duration,
    /// Distribution of the times between calls.
    pub spacing: Spacing,
    /// Deadline of each call.
    pub deadline: Option<Duration>,
    /// Whether each call carries an idempotency key of its own.
    pub keyed: bool,
    /// Request body; the method is POST if it isn't empty, GET otherwise.
    pub body: String,
    /// Seed of the arrival times and keys.
    pub seed: u64,
}

impl Options {
    /// Default options: 100 calls of `service` per second for 10 s.
    #[must_use]
    pub fn new(service: ServiceName) -> Self {
        Self {
            address: None,
            directories: Vec::new(),
            compare: None,
            service,
            caller: None,
            path: String::from("/"),
            rate: 100,
            duration: Duration::from_secs(10),
            spacing: Spacing::Poisson,
            deadline: None,
            keyed: false,
            body: String::new(),
            seed: 1,
        }
    }

    /// Validates the options.
    ///
    /// # Errors
    ///
    /// Fails on an address outside loopback, on no or two kinds of target, and on a rate or
    /// duration out of range.
    pub fn check(&self) -> Result<(), OptionsError> {
        let addresses = self.address.iter().chain(&self.compare);
        for address in addresses.chain(&self.directories) {
            check_loopback(*address)?;
        }
        match (self.address.is_some(), self.directories.is_empty()) {
            (false, true) => return Err(OptionsError::NoTarget),
            (true, false) => return Err(OptionsError::TwoTargets),
            _ => {}
        }
        if self.rate == 0 || self.rate > MAX_RATE {
            return Err(OptionsError::RateOutOfRange(self.rate));
        }
        if self.duration < Duration::from_secs(1) || self.duration > MAX_DURATION {
            return Err(OptionsError::DurationOutOfRange(self.duration));
        }
        Ok(())
    }
}

/// Checks that `address` is a loopback address.
///
/// # Errors
///
/// Fails with [`OptionsError::NotLoopback`].
pub fn check_loopback(address: SocketAddr) -> Result<(), OptionsError> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    Err(OptionsError::NotLoopback(address))
}
