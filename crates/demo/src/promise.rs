//! The system's promises, checked against callers' replies and upstreams' runs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use base::prelude::*;
use standin::Run;
use standin::RunState;
use standin::archive;
use strum::Display;
use testutils::caller::Delivery;

use crate::routes::RoutesEvidence;
use crate::traffic::Record;
use crate::watch::VersionHistory;

/// Time after which a draining upstream gets no new work.
pub const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Time within which a catalogue change is in force on every entry host.
pub const MAX_IN_FORCE_DELAY: Duration = Duration::from_secs(4);

/// Time within which a new route table is in force at every entry process.
pub const MAX_TABLE_DELAY: Duration = Duration::from_secs(2);

/// A promise of the system to its users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Promise {
    /// Probes stay within the budget of each instance.
    #[strum(to_string = "measuring stays within its budget")]
    Budget,
    /// Each caller gets the complete response to its own request.
    #[strum(to_string = "each answer is whole and the caller's own")]
    Own,
    /// A request refused as `NotRun` did not run.
    #[strum(to_string = "what is refused as not run did not run")]
    NotRun,
    /// A non-idempotent request runs at most once.
    #[strum(to_string = "a non-idempotent request runs at most once")]
    Once,
    /// A durable request that was acknowledged has run to completion.
    #[strum(to_string = "an acknowledged change was done")]
    Durable,
    /// A draining upstream gets no new work after [`DRAIN_GRACE`].
    #[strum(to_string = "a leaving upstream gets no new work after 3 s")]
    Leaving,
    /// A graceful stop aborts no request in flight.
    #[strum(to_string = "a planned stop cuts no request")]
    Stop,
    /// An accepted change is in force on every entry host within [`MAX_IN_FORCE_DELAY`].
    #[strum(to_string = "a change is in force everywhere within 4 s")]
    InForce,
    /// A host never returns to an older version of the catalogue.
    #[strum(to_string = "a configuration never reverts")]
    NoRevert,
    /// After an upstream was killed, callers are answered or refused with a time to retry.
    #[strum(to_string = "a killed upstream leaves no caller waiting")]
    Served,
    /// A new route table is in force at every entry process within [`MAX_TABLE_DELAY`].
    #[strum(to_string = "a route table is in force everywhere within 2 s")]
    Table,
    /// Each target of a split gets its share of the requests.
    #[strum(to_string = "each part of a split gets its share")]
    Split,
}

/// Result of checking one promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckResult {
    /// The promise that was checked.
    pub promise: Promise,
    /// Number of cases checked; a promise without any does not hold.
    pub cases: usize,
    /// Descriptions of the cases that broke the promise.
    pub broken: Vec<String>,
}

impl CheckResult {
    /// Whether at least one case was checked and none broke the promise.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.cases > 0 && self.broken.is_empty()
    }

    fn new(promise: Promise) -> Self {
        Self {
            promise,
            cases: 0,
            broken: vec![],
        }
    }

    fn case(&mut self, passed: bool, description: impl FnOnce() -> String) {
        self.cases += 1;
        if !passed {
            self.broken.push(description());
        }
    }
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = match (self.cases, self.holds()) {
            (0, _) => "untested",
            (_, true) => "held",
            (_, false) => "BROKEN",
        };
        let promise = self.promise.to_string();
        write!(f, "{promise:<52} {status:<9} {:>5} cases", self.cases)
    }
}

/// Probes that an instance received, and its budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probes {
    /// Name of the instance.
    pub instance: String,
    /// Probes received.
    pub count: u64,
    /// Probes that the service's budget allows in the time of the run.
    pub budget: u64,
}

/// Observations of a run, from which the promises are checked.
pub struct Evidence {
    /// All calls.
    pub records: Vec<Record>,
    /// All runs of requests, by instance.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// Probes of each instance.
    pub probes: Vec<Probes>,
    /// Name of the instance that was drained.
    pub drained: String,
    /// How long calls continued after the drain started.
    pub drained_for: Duration,
    /// Size of an archive response in bytes.
    pub archive: u64,
    /// Calls of the killed instance's service that started after the kill.
    pub after_kill: Vec<Record>,
    /// Time until a change was in force on every entry host; `None` if it never was.
    pub in_force: Option<Duration>,
    /// Versions observed in force.
    pub versions: VersionHistory,
    /// Number of calls in flight at the gateway that was stopped.
    pub during_stop: usize,
}

/// Checks the promises of a system with gateways.
#[must_use]
pub fn check(evidence: &Evidence) -> Vec<CheckResult> {
    vec![
        check_budget(evidence),
        check_own(evidence),
        check_not_run(evidence),
        check_once(evidence),
        check_durable(evidence),
        check_leaving(evidence),
        check_stop(evidence),
        check_in_force(evidence),
        check_revert(evidence),
        check_served(evidence),
    ]
}

/// Checks the promises of a system with route tables.
#[must_use]
pub fn check_routes(evidence: &RoutesEvidence) -> Vec<CheckResult> {
    let mut table = CheckResult::new(Promise::Table);
    table.case(evidence.in_force <= MAX_TABLE_DELAY, || {
        format!("took {:?}", evidence.in_force)
    });
    let mut own = CheckResult::new(Promise::Own);
    own.cases = evidence.calls;
    if evidence.answered < evidence.calls {
        own.broken = vec![format!("{} of {}", evidence.answered, evidence.calls)];
    }
    let mut split = CheckResult::new(Promise::Split);
    let sum: u32 = evidence.weights.iter().sum();
    for (ran, weight) in evidence.runs.into_iter().zip(evidence.weights) {
        let share = evidence.calls * weight as usize / sum.max(1) as usize;
        // Each of the two entry processes may be off by one request.
        split.case(ran.abs_diff(share) <= 2, || format!("{ran} of {share}"));
    }
    vec![table, own, split]
}

fn check_budget(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::Budget);
    for probes in &evidence.probes {
        result.case(probes.count <= probes.budget, || {
            format!("{}: {} of {}", probes.instance, probes.count, probes.budget)
        });
    }
    result
}

fn check_own(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::Own);
    for record in evidence.records.iter().filter(|r| r.reply.is_ok()) {
        result.case(is_own_response(record, evidence.archive), || {
            record.to_string()
        });
    }
    result
}

fn is_own_response(record: &Record, archive: u64) -> bool {
    if record.workload.class == Class::Deferred {
        return record.reply.body == archive::bytes(&record.request.path, 0..archive);
    }
    let Some(receipt) = record.reply.receipt() else {
        return false;
    };
    receipt.path == record.request.path
        && receipt.caller == record.request.caller
        && receipt.echo == record.request.body
        && receipt.key == record.request.key.clone().unwrap_or_default()
}

fn check_not_run(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::NotRun);
    for record in &evidence.records {
        let refused = record.reply.outcome == Some(Outcome::NotRun);
        if refused && !is_shared(record, evidence) {
            let ran = runs_of(record, evidence).count();
            result.case(ran == 0, || format!("{record} ran {ran} times"));
        }
    }
    result
}

/// Whether another call has the same key, and so may have run instead of this one.
fn is_shared(record: &Record, evidence: &Evidence) -> bool {
    let key = &record.request.key;
    let same = evidence.records.iter().filter(|r| &r.request.key == key);
    key.is_some() && same.count() > 1
}

fn check_once(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::Once);
    let once = |r: &&Record| r.workload.class == Class::Once;
    for record in evidence.records.iter().filter(once) {
        let ran = runs_of(record, evidence).count();
        result.case(ran <= 1, || format!("{record} ran {ran} times"));
    }
    result
}

fn check_durable(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::Durable);
    let done = |r: &&Record| r.workload.class == Class::Durable && r.reply.is_ok();
    for record in evidence.records.iter().filter(done) {
        let completed = runs_of(record, evidence).any(|r| r.state == RunState::Done);
        result.case(completed, || record.to_string());
    }
    result
}

fn runs_of<'a>(record: &'a Record, evidence: &'a Evidence) -> impl Iterator<Item = &'a Run> {
    let service = record.request.service;
    let instances = evidence.runs.iter();
    let own =
        instances.filter(move |(name, _)| name.rsplit_once('-').is_some_and(|(s, _)| s == service));
    let runs = own.flat_map(|(_, runs)| runs);
    runs.filter(|run| run.path == record.request.path && run.caller == record.request.caller)
}

fn check_leaving(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::Leaving);
    if evidence.drained_for < DRAIN_GRACE * 2 {
        // Calls did not continue long enough after the drain to tell.
        return result;
    }
    let runs = evidence.runs.get(&evidence.drained);
    let late = runs.into_iter().flatten().filter(|run| {
        let drained_for = run.drained_ms.map(Duration::from_millis);
        drained_for.is_some_and(|elapsed| elapsed > DRAIN_GRACE)
    });
    let late: Vec<String> = late.map(|run| format!("{run:?}")).collect();
    result.cases = 1;
    result.broken = late;
    result
}

fn check_stop(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::Stop);
    result.cases = evidence.during_stop;
    let truncated = evidence
        .records
        .iter()
        .filter(|r| r.reply.delivery == Delivery::Truncated);
    result.broken = truncated.map(ToString::to_string).collect();
    result
}

fn check_in_force(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::InForce);
    let in_time = evidence
        .in_force
        .is_some_and(|elapsed| elapsed <= MAX_IN_FORCE_DELAY);
    result.case(in_time, || format!("took {:?}", evidence.in_force));
    result
}

fn check_revert(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::NoRevert);
    result.cases = evidence.versions.observations;
    let reverts = evidence.versions.reverts.iter();
    result.broken = reverts.map(|r| format!("{r:?}")).collect();
    result
}

fn check_served(evidence: &Evidence) -> CheckResult {
    let mut result = CheckResult::new(Promise::Served);
    let calls = &evidence.after_kill;
    for (i, record) in calls.iter().enumerate() {
        let next = calls.get(i + 1);
        result.case(is_served(record, next), || record.to_string());
    }
    result
}

/// Whether the call was answered, or refused with a time to retry at which the caller's
/// next call was answered.
fn is_served(record: &Record, next: Option<&Record>) -> bool {
    let may_retry =
        record.reply.outcome == Some(Outcome::NotRun) && record.reply.retry_after.is_some();
    record.reply.is_ok() || (may_retry && next.is_some_and(|n| n.reply.is_ok()))
}
