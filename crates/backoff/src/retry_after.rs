//! The time that an instance names in its `Retry-After` headers.

use std::time::Duration;

/// Maximum time that is honoured. An instance that names a longer one by mistake gets requests
/// again after this time, without a restart.
pub const MAX_DELAY: Duration = Duration::from_hours(24);

/// What the `Retry-After` headers of a response say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// There is none, or it names no time above zero.
    Absent,
    /// The instance takes nothing for this long.
    Delay(Duration),
    /// None of them is a number of seconds.
    Invalid,
}

impl RetryAfter {
    /// Parses the values of all `Retry-After` headers of a response; the longest time counts.
    ///
    /// A value is a decimal number of seconds, with or without a fraction. Dates aren't: they
    /// would need clocks that agree.
    pub fn parse<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut longest = None;
        let mut is_invalid = false;
        for value in values {
            match parse_seconds(value) {
                Some(delay) => longest = longest.max(Some(delay)),
                None => is_invalid = true,
            }
        }
        match longest {
            Some(delay) if !delay.is_zero() => Self::Delay(delay),
            None if is_invalid => Self::Invalid,
            Some(_) | None => Self::Absent,
        }
    }
}

fn parse_seconds(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    Some(Duration::try_from_secs_f64(seconds).map_or(MAX_DELAY, |delay| delay.min(MAX_DELAY)))
}
