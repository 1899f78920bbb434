//! To and from the messages between processes.
//!
//! Clocks differ between processes, so that messages say how long ago something was.

use std::time::Duration;

use base::name::NameError;
use base::prelude::*;
use quick_error::quick_error;
use wire::hub;

use crate::fingerprint::Fingerprint;
use crate::tracker::Crash;
use crate::tracker::InstanceRun;
use crate::tracker::Suspect;

quick_error! {
    /// Why a message tells of nothing to use.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConvertError {
        /// A name isn't one.
        Name(err: NameError) {
            from()
            source(err)
            display("crash: {err}")
        }
        /// It names no request.
        NoRequest {
            display("no fingerprint of a request")
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
    /// The crash as it is told at `now`.
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

    /// Reads a crash that is told at `now`.
    ///
    /// # Errors
    ///
    /// Fails when a name isn't one, or no request is named.
    pub fn from_wire(now: Moment, told: &hub::Crash) -> Result<Self, ConvertError> {
        let request = told.request.ok_or(ConvertError::NoRequest)?;
        Ok(Self {
            request: request.into(),
            service: ServiceName::new(&told.service)?,
            run: InstanceRun {
                instance: InstanceId::new(&told.instance)?,
                incarnation: told.incarnation,
            },
            at: now.before(Duration::from_millis(told.ago_ms)),
            answered: told.answered,
        })
    }
}

impl Suspect {
    /// The suspect as it is told.
    #[must_use]
    pub fn to_wire(&self) -> hub::Suspect {
        hub::Suspect {
            request: Some(self.request.into()),
            refused_ms: millis(self.refused),
        }
    }

    /// Reads a suspect that is told.
    ///
    /// # Errors
    ///
    /// Fails when no request is named.
    pub fn from_wire(told: &hub::Suspect) -> Result<Self, ConvertError> {
        let request = told.request.ok_or(ConvertError::NoRequest)?;
        Ok(Self {
            request: request.into(),
            refused: Duration::from_millis(told.refused_ms),
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
