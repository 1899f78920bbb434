//! Estimates an instance's requests from other gateways, from its load reports.
//!
//! A report counts all requests at the instance. This gateway's own are
//! subtracted, as their number is known at any time. Only the mean over many
//! reports is used: a single report is stale on arrival, and choosing by it would
//! make all gateways send to the same instance.

use std::time::Duration;

use base::prelude::Moment;

use crate::decay::decay;
use crate::outcome::Report;

/// Weight of one report in the share of underreporting reports.
const ACCURACY_WEIGHT: f64 = 0.2;
/// Share of underreporting reports from which an instance's reports are ignored.
const MAX_UNDERREPORTED: f64 = 0.6;

/// Requests from other gateways at one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExternalLoad {
    mean: f64,
    updated_at: Option<Moment>,
    // Share of reports with fewer requests than this gateway's own.
    underreported: f64,
}

impl ExternalLoad {
    /// Adds a report that includes `own` requests of this gateway.
    ///
    /// Earlier reports lose half of their weight in `half_life`.
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

    /// The mean, `None` unless a report is younger than `limit`.
    pub(crate) fn mean(&self, now: Moment, limit: Duration) -> Option<f64> {
        let age = self.age(now)?;
        (age < limit && self.underreported < MAX_UNDERREPORTED).then_some(self.mean)
    }

    /// Records whether the report includes this gateway's own requests.
    ///
    /// Single reports may lack some that have not arrived yet; an instance whose reports
    /// repeatedly lack them underreports its load.
    fn check_own_requests(&mut self, report: Report, own: u32) {
        if own == 0 {
            return;
        }
        let underreports = f64::from(u8::from(report.in_flight < own));
        self.underreported += (underreports - self.underreported) * ACCURACY_WEIGHT;
    }

    /// Age of the latest report.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.updated_at.map(|at| now.since(at))
    }
}
