//! Conversions to and from the messages between processes.
//!
//! Clocks differ between processes, so messages contain ages instead of times.

use std::time::Duration;

use base::name::NameError;
use base::prelude::*;
use wire::hub;

use crate::limits::NamedLimit;
use crate::rate::RequestRate;

impl NamedLimit {
    /// Converts to a message that is sent at `now`.
    #[must_use]
    pub fn to_wire(&self, now: Moment) -> hub::Limit {
        hub::Limit {
            service: self.service.to_string(),
            instance: self.run.instance.to_string(),
            incarnation: self.run.incarnation,
            rate_milli: self.rate.map(RequestRate::milli),
            ago_ms: u64::try_from(now.since(self.heard_at).as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Converts from a message that is received at `now`.
    ///
    /// # Errors
    ///
    /// Fails if a name is invalid.
    pub fn from_wire(now: Moment, message: &hub::Limit) -> Result<Self, NameError> {
        Ok(Self {
            run: InstanceRun {
                instance: InstanceId::new(&message.instance)?,
                incarnation: message.incarnation,
            },
            service: ServiceName::new(&message.service)?,
            rate: message.rate_milli.map(RequestRate::from_milli),
            heard_at: now.before(Duration::from_millis(message.ago_ms)),
        })
    }
}
