//! Processor time and resident memory of this process, and conversions for figures.

use std::fs;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Processor time of all threads of this process.
///
/// The clock has a resolution of nanoseconds; `/proc` has hundredths of a second.
pub fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}

/// Resident memory of this process in KiB; zero if unknown.
pub fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    digits
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

/// `sum / count` as a float; a `count` of zero counts as one.
pub fn ratio(sum: u64, count: u64) -> f64 {
    float(sum) / float(count.max(1))
}

/// `count` as a float.
pub fn float(count: u64) -> f64 {
    let high = u32::try_from(count >> 32).unwrap_or(u32::MAX);
    let low = u32::try_from(count & u64::from(u32::MAX)).unwrap_or(u32::MAX);
    f64::from(high).mul_add(4_294_967_296.0, f64::from(low))
}

/// `elapsed` in microseconds, divided by `count`.
pub fn micros(elapsed: Duration, count: u64) -> f64 {
    elapsed.as_secs_f64() * 1e6 / float(count.max(1))
}

/// `busy` as a share of `elapsed`, in percent of a core.
pub fn percent(busy: Duration, elapsed: Duration) -> f64 {
    busy.as_secs_f64() * 100.0 / elapsed.as_secs_f64()
}
