//! Results of a run.

use std::time::Duration;

use admit::Finish;

/// Names of the figures.
///
/// Latencies are in milliseconds and exclude refused calls. Shares are in percent:
/// `within` is the share of all calls answered before the deadline, `admitted` that of
/// calls that weren't refused. `attempts` is per call, `probes` per second and instance.
pub const NAMES: [&str; 9] = [
    "p50", "p99", "p99.9", "within", "admitted", "refused", "errors", "attempts", "probes",
];
/// Digits after the decimal point, for each of [`NAMES`].
const DIGITS: [usize; 9] = [1, 1, 1, 2, 2, 2, 3, 3, 1];

/// The figures of a run, in the order of [`NAMES`].
pub type Figures = [f64; 9];
/// Outcome of a call, its latency (the deadline if unanswered), and its number of attempts.
pub type CallResult = (Finish, Duration, u8);

/// Computes the figures of the calls `done`; `probes` is passed through.
pub fn figures(done: &[CallResult], probes: f64) -> Figures {
    let sum = |of: &dyn Fn(&CallResult) -> u8| done.iter().map(|d| f64::from(of(d))).sum::<f64>();
    let count = |finish| sum(&|d| (d.0 == finish).into());
    let (calls, answered) = (sum(&|_| 1), count(Finish::Answered));
    let admitted = calls - count(Finish::Shed);
    let times = done.iter().filter(|d| d.0 != Finish::Shed);
    let mut times: Vec<Duration> = times.map(|d| d.1).collect();
    times.sort();
    let quantile =
        |permille: usize| times[(times.len() - 1) * permille / 1000].as_secs_f64() * 1000.0;
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

/// Median, minimum and maximum of figure `index` over the seeds.
pub fn median_min_max(runs: &[Figures], index: usize) -> [String; 3] {
    let mut values: Vec<f64> = runs.iter().map(|run| run[index]).collect();
    values.sort_by(f64::total_cmp);
    let digits = DIGITS[index];
    [values.len() / 2, 0, values.len() - 1].map(|i| format!("{:.digits$}", values[i]))
}
