//! Weighs the crashes that count for a request, of one sender or of all.

use std::collections::BTreeSet;

use base::prelude::*;

use super::Crash;
use super::MIN_CRASHES;
use super::MIN_CRASHES_AFTER_REFUSAL;
use super::MIN_CRASHES_AFTER_REFUSAL_AMONG_OTHERS;
use super::MIN_CRASHES_ALL_SENDERS;
use super::MIN_CRASHES_AMONG_OTHERS;
use super::MIN_SUSPECT_CRASHES;
use super::OTHER_CRASHES_LEAD;
use super::Outcome;
use super::REFUSAL_SETTLE_TIME;
use super::Tracker;
use crate::fingerprint::Fingerprint;

// What speaks for a request being the cause of crashes.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    crashes: usize,
    others: usize,
    is_cause: bool,
}

impl Tracker {
    // Refuses the sender's request if enough instances crashed while running it.
    pub(super) fn evaluate_sender(&mut self, now: Moment, crash: &Crash) -> Outcome {
        let request = crash.request;
        let runs = self.crashed_runs(request);
        // The same request of other senders isn't another cause.
        let mut explained = self.crashed_runs(request.for_all_senders());
        explained.extend(runs.iter().cloned());
        let (crashes, others) = (
            runs.len(),
            self.count_other_crashes(&crash.service, &explained),
        );
        let needed = if others > crashes {
            MIN_CRASHES_AMONG_OTHERS
        } else {
            MIN_CRASHES
        };
        let is_cause = crashes >= needed;
        let evidence = Evidence {
            crashes,
            others,
            is_cause,
        };
        self.apply_evidence(now, crash.at, request, evidence)
    }

    // Refuses the request for all senders if the crashes aren't those of a refused sender alone.
    pub(super) fn evaluate_all_senders(&mut self, now: Moment, crash: &Crash) -> Outcome {
        let request = crash.request.for_all_senders();
        let runs = self.crashed_runs(request);
        let others = self.count_other_crashes(&crash.service, &runs);
        let needed_late = if others > runs.len() {
            MIN_CRASHES_AFTER_REFUSAL_AMONG_OTHERS
        } else {
            MIN_CRASHES_AFTER_REFUSAL
        };
        let crashes = self.count_runs_of_allowed_senders(request);
        let is_cause = crashes >= MIN_CRASHES_ALL_SENDERS
            || (runs.len() >= MIN_CRASHES_ALL_SENDERS
                && self.count_runs_after_refusal(request) >= needed_late);
        let evidence = Evidence {
            crashes: runs.len(),
            others,
            is_cause,
        };
        self.apply_evidence(now, crash.at, request, evidence)
    }

    fn apply_evidence(
        &mut self,
        now: Moment,
        crashed_at: Moment,
        request: Fingerprint,
        evidence: Evidence,
    ) -> Outcome {
        let Evidence {
            crashes,
            others,
            is_cause,
        } = evidence;
        let record = self.records.entry(request).or_default();
        // Ignores crashes under requests that were sent before the refusal.
        let after_refusal = record.refusals > 0 && crashed_at >= record.refused_until;
        if after_refusal || (record.refusals == 0 && is_cause) {
            self.revision.increment(true);
            let span = record.refuse(now, crashed_at);
            return Outcome::Refused { crashes, span };
        }
        if crashes >= MIN_SUSPECT_CRASHES {
            self.revision.increment(false);
        }
        Outcome::Counted { crashes, others }
    }

    // The runs that crashed while running the request.
    fn crashed_runs(&self, request: Fingerprint) -> BTreeSet<InstanceRun> {
        let record = self.records.get(&request);
        record
            .map(|record| record.runs.keys().cloned().collect())
            .unwrap_or_default()
    }

    // Number of runs that crashed while running the request of a sender that was never refused.
    fn count_runs_of_allowed_senders(&self, request: Fingerprint) -> usize {
        let Some(record) = self.records.get(&request) else {
            return 0;
        };
        let is_allowed = |sender: &u64| self.first_refusal(request, *sender).is_none();
        let runs = record.runs.values();
        runs.filter(|senders| senders.iter().any(is_allowed))
            .count()
    }

    // Number of runs that crashed after a sender's refusal, while running the request of other
    // senders only.
    fn count_runs_after_refusal(&self, request: Fingerprint) -> usize {
        let Some(record) = self.records.get(&request) else {
            return 0;
        };
        let senders = record.runs.values().flatten();
        let refusals = senders.filter_map(|sender| self.first_refusal(request, *sender));
        let Some(first) = refusals.min() else {
            return 0;
        };
        let settled = first + REFUSAL_SETTLE_TIME;
        let is_late = |(run, senders): &(&InstanceRun, &BTreeSet<u64>)| {
            let Some((_, at)) = self.crashes.get(run) else {
                return false;
            };
            let was_allowed = |sender: &u64| {
                self.first_refusal(request, *sender)
                    .is_none_or(|refusal| refusal >= *at)
            };
            *at >= settled && senders.iter().all(was_allowed)
        };
        record.runs.iter().filter(is_late).count()
    }

    // When the request of one sender was first refused.
    fn first_refusal(&self, request: Fingerprint, sender: u64) -> Option<Moment> {
        let request = Fingerprint { sender, ..request };
        self.records.get(&request)?.first_refusal
    }

    // Number of crashes of the service's instances other than `runs`, from shortly before the
    // first of them.
    fn count_other_crashes(&self, service: &ServiceName, runs: &BTreeSet<InstanceRun>) -> usize {
        let at = |run: &InstanceRun| self.crashes.get(run).map(|(_, at)| *at);
        let first = runs.iter().filter_map(at).min();
        let Some(from) = first.map(|first| first.before(OTHER_CRASHES_LEAD)) else {
            return 0;
        };
        let others = self
            .crashes
            .iter()
            .filter(|(run, (of, at))| of == service && *at >= from && !runs.contains(*run));
        others.count()
    }
}
