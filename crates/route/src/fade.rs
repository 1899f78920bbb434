//! How news loses its weight with age.

use std::time::Duration;

/// Half-lives after which nothing is left.
///
/// A rest that never ends would keep an instance without work for ever, since
/// those beside it differ by little.
const END: f64 = 12.0;

/// What is left of a weight after `age`: one half at `half`, nothing in the end.
pub(crate) fn fade(age: Duration, half: Duration) -> f64 {
    let halves = age.as_secs_f64() / half.as_secs_f64();
    if halves >= END {
        return 0.0;
    }
    (-halves).exp2()
}
