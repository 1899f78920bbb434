//! Which holders of other failure domains to ask for tokens.

use std::collections::HashMap;
use std::time::Duration;

use base::prelude::*;

use crate::limit::Limit;
use crate::tokens::Tokens;

/// Range of the time for which a holder without tokens isn't asked again. Below it, the transfers
/// of a workspace far beyond its quota would take too much processor time.
const EMPTY_RANGE: [Duration; 2] = [Duration::from_millis(25), Duration::from_millis(250)];

/// The holder of another failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Donor {
    asked_at: Option<Moment>,
    /// When it may have tokens again.
    empty_until: Option<Moment>,
}

/// The holders of one workspace's quota in other failure domains.
#[derive(Clone, Debug, Default)]
pub struct Donors {
    donors: HashMap<String, Donor>,
}

impl Donors {
    /// The holders that may have tokens, the one that was asked longest ago first, because a bucket
    /// from which nobody takes tokens overflows.
    pub fn order(&mut self, now: Moment, mut holders: Vec<String>) -> Vec<String> {
        self.donors.retain(|address, _| holders.contains(address));
        let donor = |address: &String| self.donors.get(address).copied().unwrap_or_default();
        holders.retain(|address| donor(address).empty_until.is_none_or(|until| now >= until));
        holders.sort_by_key(|address| donor(address).asked_at);
        holders
    }

    /// Records that a holder was asked for `need` and sent `sent`, which is zero if it
    /// didn't answer.
    pub fn record(&mut self, now: Moment, holder: &str, limit: Limit, need: Tokens, sent: Tokens) {
        let donor = self.donors.entry(holder.to_owned()).or_default();
        donor.asked_at = Some(now);
        donor.empty_until = (sent < need).then(|| {
            let [min, max] = EMPTY_RANGE;
            let accrues = Tokens::ONE.divided(2).time_at(limit.rate);
            now + accrues.clamp(min, max)
        });
    }
}
