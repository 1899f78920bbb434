//! Applies claims and settlements in the order of the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wire::ledger::Answer;
use wire::ledger::Claim;
use wire::ledger::ClaimReply;
use wire::ledger::Command;
use wire::ledger::Done;
use wire::ledger::Full;
use wire::ledger::Granted;
use wire::ledger::InFlight;
use wire::ledger::Mismatch;
use wire::ledger::Refusal;
use wire::ledger::Refused;
use wire::ledger::Settle;
use wire::ledger::SettleReply;
use wire::ledger::Settled;
use wire::ledger::Unknown;
use wire::ledger::claim_reply::Kind;
use wire::ledger::command;

use crate::limits::Limits;
use crate::limits::MAX_CLAIM_ID;
use crate::limits::MAX_RETRY_MS;
use crate::key::Key;
use crate::record::KeptAnswer;
use crate::record::Record;
use crate::record::Standing;

/// What a command got.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// To a claim.
    Claim(ClaimReply),
    /// To a settlement.
    Settle(SettleReply),
    /// To the passing of time.
    Expire,
}

/// Sizes of a ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Records of all standings.
    pub records: usize,
    /// Records in flight.
    pub in_flight: usize,
    /// Bytes of the answers kept.
    pub answers: usize,
}

/// The ledger's state.
///
/// Invariant: `timers` has exactly one item for each record, at its `due_ms`,
/// and none of them lies at or before `now_ms`.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(crate) limits: Limits,
    pub(crate) now_ms: u64,
    pub(crate) records: BTreeMap<Key, Record>,
    timers: BTreeSet<(u64, Key)>,
    services: BTreeMap<Box<str>, usize>,
    counts: Counts,
}

impl Ledger {
    /// An empty ledger.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            now_ms: 0,
            records: BTreeMap::new(),
            timers: BTreeSet::new(),
            services: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Applies one command of the log, stamped `now_ms` since the Unix epoch by the leader.
    pub fn apply(&mut self, now_ms: u64, command: &Command) -> Reply {
        self.advance(now_ms);
        match &command.kind {
            Some(command::Kind::Claim(claim)) => Reply::Claim(ClaimReply {
                kind: Some(self.claim(claim)),
            }),
            Some(command::Kind::Settle(settle)) => Reply::Settle(SettleReply {
                recorded: self.settle(settle),
            }),
            Some(command::Kind::Expire(_)) | None => Reply::Expire,
        }
    }

    /// The ledger's time, milliseconds since the Unix epoch; never goes back.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// When the next record changes by itself; a leader then logs an `Expire`.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Its sizes.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The record of `key`.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    fn advance(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        while let Some((due, key)) = self.timers.first().cloned() {
            if due > self.now_ms {
                return;
            }
            self.fall_due(&key);
        }
    }

    fn fall_due(&mut self, key: &Key) {
        let Some(mut record) = self.take(key) else {
            return;
        };
        if record.standing != Standing::InFlight {
            return;
        }
        record.standing = Standing::Unknown;
        record.due_ms = self.end_ms(key);
        self.put(key.clone(), record);
    }

    fn claim(&mut self, claim: &Claim) -> Kind {
        if !is_claim_id(&claim.claim_id) {
            return refused(Refusal::Form);
        }
        let Some(key) = Key::from_parts(&claim.service, &claim.caller, &claim.key) else {
            return refused(Refusal::Form);
        };
        if let Some(refusal) = self.refusal(&key) {
            return refused(refusal);
        }
        let Some(record) = self.records.get(&key) else {
            return self.first_claim(key, claim);
        };
        if record.digest.is_some_and(|digest| digest != claim.digest) {
            return Kind::Mismatch(Mismatch {});
        }
        let same = *record.claim == *claim.claim_id;
        match &record.standing {
            Standing::InFlight if same => Kind::Granted(Granted {}),
            Standing::InFlight => Kind::InFlight(InFlight {
                retry_ms: self.retry_ms(record.due_ms),
            }),
            Standing::Done(answer) => Kind::Done(Done {
                answer: Some(answer.answer()),
            }),
            Standing::Unknown => Kind::Unknown(Unknown {}),
            Standing::NotRun if same => refused(Refusal::Spent),
            Standing::NotRun => self.grant(key, claim),
        }
    }

    fn refusal(&self, key: &Key) -> Option<Refusal> {
        let Some(minted) = key.minted_ms() else {
            return (!self.limits.untimed).then_some(Refusal::Untimed);
        };
        if minted > self.now_ms.saturating_add(self.limits.early_ms) {
            return Some(Refusal::Early);
        }
        let end = minted.saturating_add(self.limits.window_ms);
        (end < self.now_ms).then_some(Refusal::Expired)
    }

    fn first_claim(&mut self, key: Key, claim: &Claim) -> Kind {
        if self.is_full(key.service()) {
            let due = self.next_expiry_ms().unwrap_or(self.now_ms);
            return Kind::Full(Full {
                retry_ms: self.retry_ms(due),
            });
        }
        self.grant(key, claim)
    }

    fn grant(&mut self, key: Key, claim: &Claim) -> Kind {
        self.take(&key);
        let hold_ms = u64::from(claim.hold_ms).clamp(1, self.limits.hold_ms);
        let record = Record {
            digest: Some(claim.digest),
            standing: Standing::InFlight,
            claim: claim.claim_id.as_ref().into(),
            due_ms: self.now_ms.saturating_add(hold_ms),
        };
        self.put(key, record);
        Kind::Granted(Granted {})
    }

    fn settle(&mut self, settle: &Settle) -> bool {
        let settled = settle.settled();
        if settled == Settled::Unspecified || !is_claim_id(&settle.claim_id) {
            return false;
        }
        let Some(key) = Key::from_parts(&settle.service, &settle.caller, &settle.key) else {
            return false;
        };
        let Some(record) = self.records.get(&key) else {
            return settled == Settled::NotRun && self.settle_before_claim(key, settle);
        };
        if *record.claim != *settle.claim_id {
            return false;
        }
        match &record.standing {
            Standing::InFlight => self.close(key, settled, settle.answer.as_ref()),
            // A resent settlement finds its own result.
            Standing::Done(_) => return settled == Settled::Done,
            Standing::NotRun => return settled == Settled::NotRun,
            Standing::Unknown => return settled == Settled::Unknown,
        }
        true
    }

    /// Notes a claim that its gateway gave up before the log had it, so that
    /// it is not granted to nobody when it comes.
    fn settle_before_claim(&mut self, key: Key, settle: &Settle) -> bool {
        if self.refusal(&key).is_some() || self.is_full(key.service()) {
            return false;
        }
        let record = Record {
            digest: None,
            standing: Standing::NotRun,
            claim: settle.claim_id.as_ref().into(),
            due_ms: self.end_ms(&key),
        };
        self.put(key, record);
        true
    }

    fn close(&mut self, key: Key, settled: Settled, answer: Option<&Answer>) {
        let Some(mut record) = self.take(&key) else {
            return;
        };
        record.due_ms = self.end_ms(&key);
        record.standing = match settled {
            Settled::Done => {
                let room = self.limits.answers.saturating_sub(self.counts.answers);
                Standing::Done(KeptAnswer::within(&self.limits, answer, room))
            }
            Settled::NotRun => Standing::NotRun,
            Settled::Unknown | Settled::Unspecified => Standing::Unknown,
        };
        self.put(key, record);
    }

    /// The first moment at which a record of `key` is needed no more.
    ///
    /// A timed key's claims are refused from that moment on, so that nothing
    /// is lost with the record.
    fn end_ms(&self, key: &Key) -> u64 {
        let from = key.minted_ms().unwrap_or(self.now_ms);
        let end = from.saturating_add(self.limits.window_ms).saturating_add(1);
        end.max(self.now_ms + 1)
    }

    fn retry_ms(&self, due_ms: u64) -> u32 {
        let left = due_ms.saturating_sub(self.now_ms).clamp(1, MAX_RETRY_MS);
        u32::try_from(left).unwrap_or(u32::MAX)
    }

    fn is_full(&self, service: &str) -> bool {
        let taken = self.services.get(service).copied().unwrap_or(0);
        self.records.len() >= self.limits.records || taken >= self.limits.service
    }

    pub(crate) fn put(&mut self, key: Key, record: Record) {
        self.count(key.service(), &record, true);
        self.timers.insert((record.due_ms, key.clone()));
        self.records.insert(key, record);
        self.counts.records = self.records.len();
    }

    fn take(&mut self, key: &Key) -> Option<Record> {
        let record = self.records.remove(key)?;
        self.timers.remove(&(record.due_ms, key.clone()));
        self.count(key.service(), &record, false);
        self.counts.records = self.records.len();
        Some(record)
    }

    fn count(&mut self, service: &str, record: &Record, comes: bool) {
        let step = |count: &mut usize, by: usize| {
            *count = if comes { *count + by } else { *count - by };
        };
        let taken = self.services.get_mut(service);
        match taken {
            None => drop(self.services.insert(service.into(), 1)),
            Some(1) if !comes => drop(self.services.remove(service)),
            Some(taken) => step(taken, 1),
        }
        match &record.standing {
            Standing::InFlight => step(&mut self.counts.in_flight, 1),
            Standing::Done(answer) => step(&mut self.counts.answers, answer.weight()),
            Standing::NotRun | Standing::Unknown => {}
        }
    }
}

fn is_claim_id(id: &[u8]) -> bool {
    !id.is_empty() && id.len() <= MAX_CLAIM_ID
}

fn refused(refusal: Refusal) -> Kind {
    Kind::Refused(Refused {
        refusal: refusal.into(),
    })
}
