//! Conversions to and from the messages between processes.
//!
//! Clocks differ between processes, so messages contain ages instead of times.

use std::time::Duration;

use base::name::NameError;
use base::prelude::*;
use quick_error::quick_error;
use wire::hub;

use crate::fingerprint::Fingerprint;
use crate::tracker::Crash;
use crate::tracker::Suspect;

quick_error! {
    /// Why a message can't be converted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConvertError {
        /// A name is invalid.
        Name(err: NameError) {
            from()
            source(err)
            display("invalid crash report: {err}")
        }
        /// The message has no request.
        NoRequest {
            display("message without the fingerprint of a request")
        }
    }
}

impl From<Fingerprint> for hub::Fingerprint {
    fn from(request: Fingerprint) -> Self {
        Self {
            path: request.path,
            body: request.body,
            sender: request.sender,
        }
    }
}

impl From<hub::Fingerprint> for Fingerprint {
    fn from(request: hub::Fingerprint) -> Self {
        Self {
            path: request.path,
            body: request.body,
            sender: request.sender,
        }
    }
}

impl Crash {
    /// Converts to a message that is sent at `now`.
    #[must_use]
    pub fn to_wire(&self, now: Moment) -> hub::Crash {
        hub::Crash {
            request: Some(self.request.into()),
            service: self.service.to_string(),
            instance: self.run.instance.to_string(),
            incarnation: self.run.incarnation,
            ago_ms: millis(now.since(self.at)),
            answered: self.answered,
        }
    }

    /// Converts from a message that is received at `now`.
    ///
    /// # Errors
    ///
    /// Fails if a name is invalid or the message has no request.
    pub fn from_wire(now: Moment, message: &hub::Crash) -> Result<Self, ConvertError> {
        let request = message.request.ok_or(ConvertError::NoRequest)?;
        Ok(Self {
            request: request.into(),
            service: ServiceName::new(&message.service)?,
            run: InstanceRun {
                instance: InstanceId::new(&message.instance)?,
                incarnation: message.incarnation,
            },
            at: now.before(Duration::from_millis(message.ago_ms)),
            answered: message.answered,
        })
    }
}

impl Suspect {
    /// Converts to a message.
    #[must_use]
    pub fn to_wire(&self) -> hub::Suspect {
        hub::Suspect {
            request: Some(self.request.into()),
            refused_ms: millis(self.refused),
        }
    }

    /// Converts from a message.
    ///
    /// # Errors
    ///
    /// Fails if the message has no request.
    pub fn from_wire(message: &hub::Suspect) -> Result<Self, ConvertError> {
        let request = message.request.ok_or(ConvertError::NoRequest)?;
        Ok(Self {
            request: request.into(),
            refused: Duration::from_millis(message.refused_ms),
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
