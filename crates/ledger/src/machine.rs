//! The state machine, which applies claims and settlements in log order.

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

use crate::key::Key;
use crate::limits::Limits;
use crate::limits::MAX_CLAIM_ID;
use crate::limits::MAX_RETRY_AFTER_MS;
use crate::record::Record;
use crate::record::RecordState;
use crate::record::StoredAnswer;

/// Reply to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Reply to a claim.
    Claim(ClaimReply),
    /// Reply to a settlement.
    Settle(SettleReply),
    /// The command only advanced the ledger's time.
    Expire,
}

/// Record counts and memory use of a ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Records in any state.
    pub records: usize,
    /// Records in flight.
    pub in_flight: usize,
    /// Total size of the stored answers, encoded.
    pub answer_bytes: usize,
}

/// The ledger's state.
///
/// Invariant: `expirations` has exactly one item for each record, at its `expires_at_ms`,
/// and all of them are later than `now_ms`.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(crate) limits: Limits,
    pub(crate) now_ms: u64,
    pub(crate) records: BTreeMap<Key, Record>,
    expirations: BTreeSet<(u64, Key)>,
    service_records: BTreeMap<Box<str>, usize>,
    counts: Counts,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            now_ms: 0,
            records: BTreeMap::new(),
            expirations: BTreeSet::new(),
            service_records: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Applies one command of the log; `now_ms` is the leader's stamp, in milliseconds since the
    /// Unix epoch.
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

    /// The ledger's time in milliseconds since the Unix epoch; it never decreases.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Time at which the next hold or record expires; the leader then logs an `Expire`.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.expirations
            .first()
            .map(|(expires_at_ms, _)| *expires_at_ms)
    }

    /// Current record counts and memory use.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the record of `key`.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    fn advance(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        while let Some((expires_at_ms, key)) = self.expirations.first().cloned() {
            if expires_at_ms > self.now_ms {
                return;
            }
            self.expire(&key);
        }
    }

    fn expire(&mut self, key: &Key) {
        let Some(mut record) = self.remove_record(key) else {
            return;
        };
        if record.state != RecordState::InFlight {
            return;
        }
        record.state = RecordState::Unknown;
        record.expires_at_ms = self.record_expiry_ms(key);
        self.insert_record(key.clone(), record);
    }

    fn claim(&mut self, claim: &Claim) -> Kind {
        if !is_claim_id(&claim.claim_id) {
            return refused(Refusal::Form);
        }
        let Some(key) = Key::from_parts(&claim.service, &claim.caller, &claim.key) else {
            return refused(Refusal::Form);
        };
        if let Some(refusal) = self.time_refusal(&key) {
            return refused(refusal);
        }
        let Some(record) = self.records.get(&key) else {
            return self.first_claim(key, claim);
        };
        if record.digest.is_some_and(|digest| digest != claim.digest) {
            return Kind::Mismatch(Mismatch {});
        }
        let same_claim = *record.claim_id == *claim.claim_id;
        match &record.state {
            RecordState::InFlight if same_claim => Kind::Granted(Granted {}),
            RecordState::InFlight => Kind::InFlight(InFlight {
                retry_ms: self.retry_after_ms(record.expires_at_ms),
            }),
            RecordState::Done(answer) => Kind::Done(Done {
                answer: Some(answer.answer()),
            }),
            RecordState::Unknown => Kind::Unknown(Unknown {}),
            RecordState::NotRun if same_claim => refused(Refusal::Spent),
            RecordState::NotRun => self.grant(key, claim),
        }
    }

    fn time_refusal(&self, key: &Key) -> Option<Refusal> {
        let Some(minted) = key.minted_ms() else {
            return (!self.limits.allow_untimed).then_some(Refusal::Untimed);
        };
        if minted > self.now_ms.saturating_add(self.limits.max_ahead_ms) {
            return Some(Refusal::Early);
        }
        let end = minted.saturating_add(self.limits.window_ms);
        (end < self.now_ms).then_some(Refusal::Expired)
    }

    fn first_claim(&mut self, key: Key, claim: &Claim) -> Kind {
        if self.is_full(key.service()) {
            let next_expiry_ms = self.next_expiry_ms().unwrap_or(self.now_ms);
            return Kind::Full(Full {
                retry_ms: self.retry_after_ms(next_expiry_ms),
            });
        }
        self.grant(key, claim)
    }

    fn grant(&mut self, key: Key, claim: &Claim) -> Kind {
        self.remove_record(&key);
        let hold_ms = u64::from(claim.hold_ms).clamp(1, self.limits.max_hold_ms);
        let record = Record {
            digest: Some(claim.digest),
            state: RecordState::InFlight,
            claim_id: claim.claim_id.as_ref().into(),
            expires_at_ms: self.now_ms.saturating_add(hold_ms),
        };
        self.insert_record(key, record);
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
        if *record.claim_id != *settle.claim_id {
            return false;
        }
        match &record.state {
            RecordState::InFlight => self.close(key, settled, settle.answer.as_ref()),
            // A resent settlement gets the same reply as the first.
            RecordState::Done(_) => return settled == Settled::Done,
            RecordState::NotRun => return settled == Settled::NotRun,
            RecordState::Unknown => return settled == Settled::Unknown,
        }
        true
    }

    /// Records a claim that its gateway abandoned before it was in the log, so that the claim
    /// is not granted when it arrives later.
    fn settle_before_claim(&mut self, key: Key, settle: &Settle) -> bool {
        if self.time_refusal(&key).is_some() || self.is_full(key.service()) {
            return false;
        }
        let record = Record {
            digest: None,
            state: RecordState::NotRun,
            claim_id: settle.claim_id.as_ref().into(),
            expires_at_ms: self.record_expiry_ms(&key),
        };
        self.insert_record(key, record);
        true
    }

    fn close(&mut self, key: Key, settled: Settled, answer: Option<&Answer>) {
        let Some(mut record) = self.remove_record(&key) else {
            return;
        };
        record.expires_at_ms = self.record_expiry_ms(&key);
        record.state = match settled {
            Settled::Done => {
                let available_bytes = self
                    .limits
                    .max_answer_bytes
                    .saturating_sub(self.counts.answer_bytes);
                RecordState::Done(StoredAnswer::within_limits(
                    &self.limits,
                    answer,
                    available_bytes,
                ))
            }
            Settled::NotRun => RecordState::NotRun,
            Settled::Unknown | Settled::Unspecified => RecordState::Unknown,
        };
        self.insert_record(key, record);
    }

    /// The earliest time at which a record of `key` that is not in flight may be removed.
    ///
    /// From then on, claims of a timed key are refused as expired, so its record isn't
    /// needed any more.
    fn record_expiry_ms(&self, key: &Key) -> u64 {
        let from = key.minted_ms().unwrap_or(self.now_ms);
        let end = from.saturating_add(self.limits.window_ms).saturating_add(1);
        end.max(self.now_ms + 1)
    }

    fn retry_after_ms(&self, expires_at_ms: u64) -> u32 {
        let delay_ms = expires_at_ms
            .saturating_sub(self.now_ms)
            .clamp(1, MAX_RETRY_AFTER_MS);
        u32::try_from(delay_ms).unwrap_or(u32::MAX)
    }

    fn is_full(&self, service: &str) -> bool {
        let service_records = self.service_records.get(service).copied().unwrap_or(0);
        self.records.len() >= self.limits.max_records
            || service_records >= self.limits.max_service_records
    }

    pub(crate) fn insert_record(&mut self, key: Key, record: Record) {
        self.update_counts(key.service(), &record, true);
        self.expirations.insert((record.expires_at_ms, key.clone()));
        self.records.insert(key, record);
        self.counts.records = self.records.len();
    }

    fn remove_record(&mut self, key: &Key) -> Option<Record> {
        let record = self.records.remove(key)?;
        self.expirations
            .remove(&(record.expires_at_ms, key.clone()));
        self.update_counts(key.service(), &record, false);
        self.counts.records = self.records.len();
        Some(record)
    }

    fn update_counts(&mut self, service: &str, record: &Record, added: bool) {
        let adjust = |count: &mut usize, by: usize| {
            *count = if added { *count + by } else { *count - by };
        };
        let service_records = self.service_records.get_mut(service);
        match service_records {
            None => drop(self.service_records.insert(service.into(), 1)),
            Some(1) if !added => drop(self.service_records.remove(service)),
            Some(count) => adjust(count, 1),
        }
        match &record.state {
            RecordState::InFlight => adjust(&mut self.counts.in_flight, 1),
            RecordState::Done(answer) => {
                adjust(&mut self.counts.answer_bytes, answer.encoded_len());
            }
            RecordState::NotRun | RecordState::Unknown => {}
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
