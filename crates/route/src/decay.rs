//! Exponential decay of weights.

use std::time::Duration;

/// Half-lives after which a weight is zero.
///
/// An ever smaller remainder could keep an instance from being chosen for good, as
/// instances differ by little.
const MAX_HALF_LIVES: f64 = 12.0;

/// Factor of a weight after `age`.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    let half_lives = age.as_secs_f64() / half_life.as_secs_f64();
    if half_lives >= MAX_HALF_LIVES {
        return 0.0;
    }
    (-half_lives).exp2()
}
