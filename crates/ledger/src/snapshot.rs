//! Conversion between the ledger and its snapshot message.

use quick_error::quick_error;
use wire::ledger::Snapshot;
use wire::ledger::Standing as WireStanding;

use crate::key::Key;
use crate::limits::Limits;
use crate::machine::Ledger;
use crate::record::Record;
use crate::record::RecordState;
use crate::record::StoredAnswer;

quick_error! {
    /// Reason that a snapshot can't be restored.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// A part of a record's key is not a valid name.
        InvalidKey(index: usize) {
            display("record {index} has an invalid service, caller or key name")
        }
        /// The state of a record is missing or unknown.
        MissingState(index: usize) {
            display("record {index} has no valid state")
        }
        /// Two records have the same key.
        DuplicateKey(index: usize) {
            display("record {index} has the same key as an earlier record")
        }
    }
}

impl Ledger {
    /// Returns the complete state; equal states encode to equal bytes.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            now_ms: self.now_ms,
            records: self
                .records
                .iter()
                .map(|(key, record)| to_wire(key, record))
                .collect(),
        }
    }

    /// Restores the ledger from which `snapshot` was taken.
    ///
    /// # Errors
    ///
    /// Fails on an invalid name, a missing state or a duplicate key.
    pub fn restore(limits: Limits, snapshot: &Snapshot) -> Result<Self, RestoreError> {
        let mut ledger = Self::new(limits);
        ledger.now_ms = snapshot.now_ms;
        for (index, record) in snapshot.records.iter().enumerate() {
            let key = Key::from_parts(&record.service, &record.caller, &record.key)
                .ok_or(RestoreError::InvalidKey(index))?;
            if ledger.records.contains_key(&key) {
                return Err(RestoreError::DuplicateKey(index));
            }
            ledger.insert_record(key, from_wire(index, record)?);
        }
        Ok(ledger)
    }
}

fn to_wire(key: &Key, record: &Record) -> wire::ledger::Record {
    let (state, answer) = match &record.state {
        RecordState::InFlight => (WireStanding::InFlight, None),
        RecordState::Done(answer) => (WireStanding::Done, Some(answer.answer())),
        RecordState::NotRun => (WireStanding::NotRun, None),
        RecordState::Unknown => (WireStanding::Unknown, None),
    };
    wire::ledger::Record {
        service: key.service().into(),
        caller: key.caller().into(),
        key: key.request().into(),
        digest: record.digest,
        standing: state.into(),
        claim_id: record.claim_id.to_vec().into(),
        due_ms: record.expires_at_ms,
        answer,
    }
}

fn from_wire(index: usize, record: &wire::ledger::Record) -> Result<Record, RestoreError> {
    let state = match record.standing() {
        WireStanding::Unspecified => return Err(RestoreError::MissingState(index)),
        WireStanding::InFlight => RecordState::InFlight,
        WireStanding::Done => RecordState::Done(StoredAnswer::new(
            &record.answer.clone().unwrap_or_default(),
        )),
        WireStanding::NotRun => RecordState::NotRun,
        WireStanding::Unknown => RecordState::Unknown,
    };
    Ok(Record {
        digest: record.digest,
        state,
        claim_id: record.claim_id.as_ref().into(),
        expires_at_ms: record.due_ms,
    })
}
