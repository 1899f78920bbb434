//! What the system promises, judged from what callers got and what truly ran.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use base::prelude::*;
use standin::Run;
use standin::RunState;
use standin::archive;
use strum::Display;
use testutils::caller::End;

use crate::routes::Shown;
use crate::traffic::Record;
use crate::watch::Seen;

/// Time after which a leaving upstream gets no new work.
pub const LEAVE: Duration = Duration::from_secs(3);
/// Time within which a change is in force everywhere.
pub const IN_FORCE: Duration = Duration::from_secs(4);

/// Time within which a new route table is in force everywhere.
pub const TABLE: Duration = Duration::from_secs(2);

/// A promise of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Promise {
    /// Measuring stays within the budget of each instance.
    #[strum(to_string = "measuring stays within its budget")]
    Budget,
    /// Each caller gets the whole answer to its own request.
    #[strum(to_string = "each answer is whole and the caller's own")]
    Own,
    /// What is refused as not run did not run.
    #[strum(to_string = "what is refused as not run did not run")]
    NotRun,
    /// A non-idempotent request runs at most once.
    #[strum(to_string = "a non-idempotent request runs at most once")]
    Once,
    /// An acknowledged change was done.
    #[strum(to_string = "an acknowledged change was done")]
    Durable,
    /// A leaving upstream gets no new work after a few seconds.
    #[strum(to_string = "a leaving upstream gets no new work after 3 s")]
    Leaving,
    /// A planned stop cuts no request in flight.
    #[strum(to_string = "a planned stop cuts no request")]
    Stop,
    /// An accepted configuration is in force everywhere within seconds.
    #[strum(to_string = "a change is in force everywhere within 4 s")]
    InForce,
    /// An accepted configuration never reverts.
    #[strum(to_string = "a configuration never reverts")]
    NoRevert,
    /// After an upstream was killed, callers are answered, or told at once when to come back.
    #[strum(to_string = "a killed upstream leaves no caller waiting")]
    Served,
    /// A new route table is in force everywhere within seconds.
    #[strum(to_string = "a route table is in force everywhere within 2 s")]
    Table,
    /// Each part of a split gets its share of the requests.
    #[strum(to_string = "each part of a split gets its share")]
    Split,
}

/// How a promise fared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judgement {
    /// The promise.
    pub promise: Promise,
    /// What was looked at; a promise that was never put to the test isn't held.
    pub cases: usize,
    /// What broke it, empty when nothing did.
    pub broken: Vec<String>,
}

impl Judgement {
    /// Whether it was put to the test and held.
    #[must_use]
    pub fn held(&self) -> bool {
        self.cases > 0 && self.broken.is_empty()
    }

    fn new(promise: Promise) -> Self {
        Self {
            promise,
            cases: 0,
            broken: vec![],
        }
    }

    fn case(&mut self, kept: bool, what: impl FnOnce() -> String) {
        self.cases += 1;
        if !kept {
            self.broken.push(what());
        }
    }
}

impl fmt::Display for Judgement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match (self.cases, self.held()) {
            (0, _) => "untested",
            (_, true) => "held",
            (_, false) => "BROKEN",
        };
        let promise = self.promise.to_string();
        write!(f, "{promise:<52} {word:<9} {:>5} cases", self.cases)
    }
}

/// Probes that an instance received against what it may receive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probes {
    /// The instance.
    pub instance: String,
    /// Probes received.
    pub count: u64,
    /// Probes that its service's budget allows in the time it ran.
    pub budget: u64,
}

/// All that a trial saw.
pub struct Evidence {
    /// All calls.
    pub records: Vec<Record>,
    /// All runs, by instance.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// The probes.
    pub probes: Vec<Probes>,
    /// The instance that was drained.
    pub drained: String,
    /// How long calls went on after the drain began.
    pub drained_for: Duration,
    /// Size of an archive answer.
    pub archive: u64,
    /// Calls that began after the kill, of the killed instance's service.
    pub after_kill: Vec<Record>,
    /// How long a change took until it was in force everywhere, `None` if it never was.
    pub in_force: Option<Duration>,
    /// Versions seen in force.
    pub seen: Seen,
    /// Calls by way of the gateway that was stopped, during its stop.
    pub during_stop: usize,
}

/// Judges all promises.
#[must_use]
pub fn judge(evidence: &Evidence) -> Vec<Judgement> {
    vec![
        judge_budget(evidence),
        judge_own(evidence),
        judge_not_run(evidence),
        judge_once(evidence),
        judge_durable(evidence),
        judge_leaving(evidence),
        judge_stop(evidence),
        judge_in_force(evidence),
        judge_revert(evidence),
        judge_served(evidence),
    ]
}

/// Judges what route tables showed.
#[must_use]
pub fn judge_routes(shown: &Shown) -> Vec<Judgement> {
    let mut table = Judgement::new(Promise::Table);
    table.case(shown.in_force <= TABLE, || {
        format!("took {:?}", shown.in_force)
    });
    let mut own = Judgement::new(Promise::Own);
    own.cases = shown.calls;
    if shown.answered < shown.calls {
        own.broken = vec![format!("{} of {}", shown.answered, shown.calls)];
    }
    let mut split = Judgement::new(Promise::Split);
    let sum: u32 = shown.weights.iter().sum();
    for (ran, weight) in shown.runs.into_iter().zip(shown.weights) {
        let share = shown.calls * weight as usize / sum.max(1) as usize;
        // Each entry process is within one request of the share.
        split.case(ran.abs_diff(share) <= 2, || format!("{ran} of {share}"));
    }
    vec![table, own, split]
}

fn judge_budget(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::Budget);
    for probes in &evidence.probes {
        judgement.case(probes.count <= probes.budget, || {
            format!("{}: {} of {}", probes.instance, probes.count, probes.budget)
        });
    }
    judgement
}

fn judge_own(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::Own);
    for record in evidence.records.iter().filter(|r| r.reply.is_ok()) {
        judgement.case(is_own(record, evidence.archive), || record.to_string());
    }
    judgement
}

fn is_own(record: &Record, archive: u64) -> bool {
    if record.shape.class == Class::Deferred {
        return record.reply.body == archive::bytes(&record.ask.path, 0..archive);
    }
    let Some(receipt) = record.reply.receipt() else {
        return false;
    };
    receipt.path == record.ask.path
        && receipt.caller == record.ask.caller
        && receipt.echo == record.ask.body
        && receipt.key == record.ask.key.clone().unwrap_or_default()
}

fn judge_not_run(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::NotRun);
    for record in &evidence.records {
        let refused = record.reply.outcome == Some(Outcome::NotRun);
        if refused && !is_shared(record, evidence) {
            let ran = runs_of(record, evidence).count();
            judgement.case(ran == 0, || format!("{record} ran {ran} times"));
        }
    }
    judgement
}

/// Whether another call with the same key may have run in place of this one.
fn is_shared(record: &Record, evidence: &Evidence) -> bool {
    let key = &record.ask.key;
    let same = evidence.records.iter().filter(|r| &r.ask.key == key);
    key.is_some() && same.count() > 1
}

fn judge_once(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::Once);
    let once = |r: &&Record| r.shape.class == Class::Once;
    for record in evidence.records.iter().filter(once) {
        let ran = runs_of(record, evidence).count();
        judgement.case(ran <= 1, || format!("{record} ran {ran} times"));
    }
    judgement
}

fn judge_durable(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::Durable);
    let done = |r: &&Record| r.shape.class == Class::Durable && r.reply.is_ok();
    for record in evidence.records.iter().filter(done) {
        let kept = runs_of(record, evidence).any(|r| r.state == RunState::Done);
        judgement.case(kept, || record.to_string());
    }
    judgement
}

fn runs_of<'a>(record: &'a Record, evidence: &'a Evidence) -> impl Iterator<Item = &'a Run> {
    let service = record.ask.service;
    let instances = evidence.runs.iter();
    let own =
        instances.filter(move |(name, _)| name.rsplit_once('-').is_some_and(|(s, _)| s == service));
    let runs = own.flat_map(|(_, runs)| runs);
    runs.filter(|run| run.path == record.ask.path && run.caller == record.ask.caller)
}

fn judge_leaving(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::Leaving);
    if evidence.drained_for < LEAVE * 2 {
        // Nobody called long enough to show anything.
        return judgement;
    }
    let runs = evidence.runs.get(&evidence.drained);
    let late = runs.into_iter().flatten().filter(|run| {
        let since = run.drained_ms.map(Duration::from_millis);
        since.is_some_and(|span| span > LEAVE)
    });
    let late: Vec<String> = late.map(|run| format!("{run:?}")).collect();
    judgement.cases = 1;
    judgement.broken = late;
    judgement
}

fn judge_stop(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::Stop);
    judgement.cases = evidence.during_stop;
    let cut = evidence.records.iter().filter(|r| r.reply.end == End::Cut);
    judgement.broken = cut.map(ToString::to_string).collect();
    judgement
}

fn judge_in_force(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::InForce);
    let kept = evidence.in_force.is_some_and(|span| span <= IN_FORCE);
    judgement.case(kept, || format!("took {:?}", evidence.in_force));
    judgement
}

fn judge_revert(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::NoRevert);
    judgement.cases = evidence.seen.looks;
    let reverts = evidence.seen.reverts.iter();
    judgement.broken = reverts.map(|r| format!("{r:?}")).collect();
    judgement
}

fn judge_served(evidence: &Evidence) -> Judgement {
    let mut judgement = Judgement::new(Promise::Served);
    let calls = &evidence.after_kill;
    for (i, record) in calls.iter().enumerate() {
        let next = calls.get(i + 1);
        judgement.case(is_served(record, next), || record.to_string());
    }
    judgement
}

/// Whether the call was answered, or refused with a time to come back at
/// which the caller's next call was answered.
fn is_served(record: &Record, next: Option<&Record>) -> bool {
    let told = record.reply.outcome == Some(Outcome::NotRun) && record.reply.retry_after.is_some();
    record.reply.is_ok() || (told && next.is_some_and(|n| n.reply.is_ok()))
}
