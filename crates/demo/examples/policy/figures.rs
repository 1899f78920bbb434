//! What a run is judged by.

use std::time::Duration;

use admit::Finish;

/// Names of the figures. Times are in milliseconds, without refused calls; then come
/// shares in per cent, `within` the deadline of all calls, `admitted` of those that
/// weren't refused; then attempts for each call, and probes a second and instance.
pub const NAMES: [&str; 9] = [
    "p50", "p99", "p99.9", "within", "admitted", "refused", "errors", "attempts", "probes",
];
/// Digits after the point, for each of [`NAMES`].
const DIGITS: [usize; 9] = [1, 1, 1, 2, 2, 2, 3, 3, 1];

/// The figures of a run, in the order of [`NAMES`].
pub type Figures = [f64; 9];
/// How a call ended, after which time (the whole deadline without an answer), and how many
/// attempts it took.
pub type Done = (Finish, Duration, u8);

/// Sums up the calls `done`.
pub fn figures(done: &[Done], probes: f64) -> Figures {
    let sum = |of: &dyn Fn(&Done) -> u8| done.iter().map(|d| f64::from(of(d))).sum::<f64>();
    let count = |finish| sum(&|d| (d.0 == finish).into());
    let (calls, answered) = (sum(&|_| 1), count(Finish::Answered));
    let admitted = calls - count(Finish::Shed);
    let times = done.iter().filter(|d| d.0 != Finish::Shed);
    let mut times: Vec<Duration> = times.map(|d| d.1).collect();
    times.sort();
    let quantile = |part: usize| times[(times.len() - 1) * part / 1000].as_secs_f64() * 1000.0;
    [
        quantile(500),
        quantile(990),
        quantile(999),
        answered / calls * 100.0,
        answered / admitted * 100.0,
        100.0 - admitted / calls * 100.0,
        count(Finish::Failed) / calls * 100.0,
        sum(&|d| d.2) / calls,
        probes,
    ]
}

/// Median, least and greatest of figure `index` over the seeds.
pub fn spread(runs: &[Figures], index: usize) -> [String; 3] {
    let mut values: Vec<f64> = runs.iter().map(|run| run[index]).collect();
    values.sort_by(f64::total_cmp);
    let digits = DIGITS[index];
    [values.len() / 2, 0, values.len() - 1].map(|i| format!("{:.digits$}", values[i]))
}
