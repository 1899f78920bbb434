//! What a load run is told, checked before any call leaves.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use quick_error::quick_error;

use crate::arrival::Spacing;

/// Most calls a second.
pub const MAX_RATE: u32 = 50_000;
/// Longest run.
pub const MAX_SPAN: Duration = Duration::from_mins(5);

quick_error! {
    /// Why options are refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum OptionsError {
        /// Load goes to this machine only.
        NotLoopback(address: SocketAddr) {
            display("{address} is no loopback address; load goes to 127.0.0.0/8 only")
        }
        /// Nowhere to send.
        NoTarget {
            display("give --address or --directory")
        }
        /// More than one way to find the target.
        TwoTargets {
            display("give --address or --directory, not both")
        }
        /// The rate is zero or too great.
        Rate(rate: u32) {
            display("a rate of {rate} is not in 1 to {MAX_RATE} a second")
        }
        /// The run is empty or too long.
        Span(duration: Duration) {
            display("a run of {duration:?} is not in 1 s to {MAX_SPAN:?}")
        }
    }
}

/// One load run.
#[derive(Clone, Debug)]
pub struct Options {
    /// A fixed address, or none when the directories are asked.
    pub address: Option<SocketAddr>,
    /// Directories in the order in which they are asked.
    pub directories: Vec<SocketAddr>,
    /// An upstream to call directly as well, in the same run.
    pub compare: Option<SocketAddr>,
    /// The service called.
    pub service: ServiceName,
    /// Who calls.
    pub caller: Option<CallerName>,
    /// The path called.
    pub path: String,
    /// Calls a second.
    pub rate: u32,
    /// How long calls are sent.
    pub duration: Duration,
    /// How the times between calls are spread.
    pub spacing: Spacing,
    /// Deadline of each call.
    pub deadline: Option<Duration>,
    /// Whether each call carries an idempotency key of its own.
    pub keyed: bool,
    /// Body; a call with one is a POST.
    pub body: String,
    /// Seed of the arrival times and keys.
    pub seed: u64,
}

impl Options {
    /// Calls of `service`, 100 a second for 10 s.
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

    /// Checks all bounds.
    ///
    /// # Errors
    ///
    /// Fails on an address outside loopback, no or two kinds of target, or a bound that is broken.
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
            return Err(OptionsError::Rate(self.rate));
        }
        if self.duration < Duration::from_secs(1) || self.duration > MAX_SPAN {
            return Err(OptionsError::Span(self.duration));
        }
        Ok(())
    }
}

/// Refuses any address but one of this machine's loopback.
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
