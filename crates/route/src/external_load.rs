//! How many requests of other gateways an instance has, from its reports.
//!
//! A report counts every request at the instance; those of this gateway are
//! taken off, since their number is known at any moment. Of what is left only
//! the mean over many reports is used: a single report is stale when it comes,
//! and choosing by it sends the gateways after each other to the same instance.

use std::time::Duration;

use base::prelude::Moment;

use crate::decay::decay;
use crate::outcome::Report;

/// Weight of one report in the test of reports.
const ACCURACY_WEIGHT: f64 = 0.2;
/// Share of reports that lack own requests from which none is believed.
const MAX_UNDERREPORTED: f64 = 0.6;

/// Requests of other gateways at one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExternalLoad {
    mean: f64,
    updated_at: Option<Moment>,
    // Share of reports that lack own requests, among those that could.
    underreported: f64,
}

impl ExternalLoad {
    /// Takes a report of which `own` requests are this gateway's.
    ///
    /// `half` is the age at which what was known before has half of the weight.
    pub(crate) fn observe(&mut self, now: Moment, report: Report, own: u32, half_life: Duration) {
        let external = f64::from(report.in_flight.saturating_sub(own));
        let weight = match self.updated_at {
            Some(at) => decay(now.since(at), half_life),
            None => 0.0,
        };
        self.check_own_requests(report, own);
        self.mean = external + (self.mean - external) * weight;
        self.updated_at = Some(now);
    }

    /// The mean, `None` without a report younger than `limit`.
    pub(crate) fn mean(&self, now: Moment, limit: Duration) -> Option<f64> {
        let age = self.age(now)?;
        (age < limit && self.underreported < MAX_UNDERREPORTED).then_some(self.mean)
    }

    /// Notes whether the report counts this gateway's own requests.
    ///
    /// Some may still be on their way, but an instance that leaves them out
    /// again and again says less than it has.
    fn check_own_requests(&mut self, report: Report, own: u32) {
        if own == 0 {
            return;
        }
        let underreports = f64::from(u8::from(report.in_flight < own));
        self.underreported += (underreports - self.underreported) * ACCURACY_WEIGHT;
    }

    /// Age of the newest report.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.updated_at.map(|at| now.since(at))
    }
}
