//! Distribution of a route's recent response times, in constant memory.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Number of responses at which all counts are halved, so that old responses lose weight.
const WINDOW: u64 = 2_048;
/// Minimum number of responses for a quantile.
const MIN_RESPONSES: u64 = 32;
/// Largest recorded value; larger ones count as this.
const MAX_VALUE: u64 = 1_000_000;
/// Precision in decimal digits: 3 KB for each histogram.
const DIGITS: u8 = 2;
/// Unit of recorded ratios.
const PER_UNIT: f64 = 1_000.0;

/// A histogram whose old values lose weight.
#[derive(Clone, Debug)]
struct Recent(Histogram<u16>);

impl Default for Recent {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_VALUE, DIGITS);
        Self(histogram.unwrap_or_else(|_| unreachable!("valid bounds")))
    }
}

impl Recent {
    fn record(&mut self, value: u64) {
        self.0.saturating_record(value);
        if self.0.len() >= WINDOW {
            self.halve();
        }
    }

    fn halve(&mut self) {
        let mut halved = Self::default();
        // Odd counts are carried on, so that the tail, where counts are 1, keeps its share.
        let mut carry = 0;
        for recorded in self.0.iter_recorded() {
            let sum = recorded.count_at_value() + carry;
            carry = sum % 2;
            // The value has been recorded before, so it is in range.
            let _ = halved.0.record_n(recorded.value_iterated_to(), sum / 2);
        }
        *self = halved;
    }

    fn quantile(&self, quantile: f64) -> Option<u64> {
        (self.0.len() >= MIN_RESPONSES).then(|| self.0.value_at_quantile(quantile))
    }
}

/// Times from sending a request to the head of its successful response.
#[derive(Clone, Debug, Default)]
pub struct Distribution {
    /// In units of 10 microseconds.
    latencies: Recent,
    /// In thousandths of the time that was expected when the instance was chosen.
    ratios: Recent,
}

impl Distribution {
    /// Records a response that was expected to take `expected`.
    pub fn record(&mut self, latency: Duration, expected: Duration) {
        self.latencies
            .record(u64::try_from(latency.as_micros() / 10).unwrap_or(MAX_VALUE));
        let ratio = latency.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive number; the cast saturates"
        )]
        self.ratios.record((ratio * PER_UNIT) as u64);
    }

    /// The time within which the given share of the responses came; none with too few of them.
    #[must_use]
    pub fn latency(&self, quantile: f64) -> Option<Duration> {
        let found = self.latencies.quantile(quantile)?;
        Some(Duration::from_micros(found * 10))
    }

    /// The multiple of the expected time within which the given share of the responses came.
    #[must_use]
    pub fn ratio(&self, quantile: f64) -> Option<f64> {
        let found = self.ratios.quantile(quantile)?;
        Some(f64::from(u32::try_from(found).unwrap_or(u32::MAX)) / PER_UNIT)
    }
}
