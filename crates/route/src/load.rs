//! How many requests of other gateways an instance has, from its reports.
//!
//! A report counts every request at the instance; those of this gateway are
//! taken off, since their number is known at any moment. Of what is left only
//! the mean over many reports is used: a single report is stale when it comes,
//! and choosing by it sends the gateways after each other to the same instance.

use std::time::Duration;

use base::prelude::Moment;

use crate::fade::fade;
use crate::outcome::Report;

/// Weight of one report in the test of reports.
const TEST_WEIGHT: f64 = 0.2;
/// Share of reports that lack own requests from which none is believed.
const MOST_LACKING: f64 = 0.6;

/// Requests of other gateways at one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    mean: f64,
    at: Option<Moment>,
    // Share of reports that lack own requests, among those that could.
    lacking: f64,
}

impl Load {
    /// Takes a report of which `own` requests are this gateway's.
    ///
    /// `half` is the age at which what was known before has half of the weight.
    pub(crate) fn observe(&mut self, now: Moment, report: Report, own: u32, half: Duration) {
        let others = f64::from(report.in_flight.saturating_sub(own));
        let kept = match self.at {
            Some(at) => fade(now.since(at), half),
            None => 0.0,
        };
        self.test(report, own);
        self.mean = others + (self.mean - others) * kept;
        self.at = Some(now);
    }

    /// The mean, `None` without a report younger than `limit`.
    pub(crate) fn mean(&self, now: Moment, limit: Duration) -> Option<f64> {
        let age = self.age(now)?;
        (age < limit && self.lacking < MOST_LACKING).then_some(self.mean)
    }

    /// Notes whether the report counts this gateway's own requests.
    ///
    /// Some may still be on their way, but an instance that leaves them out
    /// again and again says less than it has.
    fn test(&mut self, report: Report, own: u32) {
        if own == 0 {
            return;
        }
        let lacks = f64::from(u8::from(report.in_flight < own));
        self.lacking += (lacks - self.lacking) * TEST_WEIGHT;
    }

    /// Age of the newest report.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.at.map(|at| now.since(at))
    }
}
