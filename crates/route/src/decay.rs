//! How news loses its weight with age.

use std::time::Duration;

/// Half-lives after which nothing is left.
///
/// A rest that never ends would keep an instance without work for ever, since
/// those beside it differ by little.
const MAX_HALF_LIVES: f64 = 12.0;

/// What is left of a weight after `age`: one half at `half`, nothing in the end.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    let half_lives = age.as_secs_f64() / half_life.as_secs_f64();
    if half_lives >= MAX_HALF_LIVES {
        return 0.0;
    }
    (-half_lives).exp2()
}
