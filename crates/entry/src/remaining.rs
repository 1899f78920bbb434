//! How much time callers of a route have left when they come.
//!
//! A caller that asks again has less left than on its first try, and no other mark.
//! How long callers wait may differ between them, though, and a few wait far longer
//! than all others. So what is usual is read off the upper part of the recent ones,
//! which those that ask again hardly reach, even after an outage: three in four may be
//! such. With the longest time as the measure, all callers but one counted as late
//! where they differ, and a fifth of the requests to one service was refused.

use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

/// Callers that are remembered: some seconds of a busy route, over the twenty that
/// come at once after an outage.
const RECENT: usize = 64;
/// For so long after the first caller the usual is the most that one had left, or the
/// route's timeout if that is less: after a restart of everything nearly all of them have
/// waited, for a second or two, and one in twenty-five may wait far longer than the others.
/// Without the timeout such a one made all others count as late, while instances idled.
const YOUNG: Duration = Duration::from_secs(2);
/// Part of the usual that one has left at least who has spent nothing, as long as it isn't
/// known how callers differ; some differ by a seventh.
const YOUNG_LEAST: f64 = 0.8;
/// Part of the callers that have less left than is usual.
const USUAL: f64 = 0.75;
/// Part below the few that wait far longer.
const MOST: f64 = 0.9;
/// Where times are spread evenly, the shortest is five times as far below the usual
/// as that is below the most; and some for chance.
const SPREADS: u32 = 7;
/// Differences that the ways of requests make.
const SLACK: Duration = Duration::from_millis(5);

/// What recent callers had left.
#[derive(Clone, Debug, Default)]
pub struct RemainingTime {
    first: Option<Moment>,
    recent: VecDeque<Duration>,
    usual: Duration,
    least: Duration,
}

impl RemainingTime {
    /// How much of its time one with `left` has spent elsewhere.
    #[must_use]
    pub fn spent(&self, remaining: Duration) -> Duration {
        if remaining < self.least {
            self.usual.saturating_sub(remaining)
        } else {
            Duration::ZERO
        }
    }

    /// Takes one caller's time; `timeout` is the route's.
    pub fn learn(&mut self, now: Moment, remaining: Duration, timeout: Option<Duration>) {
        let first = *self.first.get_or_insert(now);
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(remaining);
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        if now.since(first) < YOUNG {
            let most = part(&sorted, 1.0);
            self.usual = timeout.map_or(most, |timeout| most.min(timeout));
            self.least = self.usual.mul_f64(YOUNG_LEAST);
            return;
        }
        self.usual = part(&sorted, USUAL);
        let spread = part(&sorted, MOST).saturating_sub(self.usual);
        self.least = self.usual.saturating_sub(spread * SPREADS + SLACK);
    }
}

/// The time that `share` of the `sorted` ones are below.
fn part(sorted: &[Duration], share: f64) -> Duration {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index"
    )]
    let index = (sorted.len() as f64 * share) as usize;
    sorted[index.min(sorted.len() - 1)]
}
