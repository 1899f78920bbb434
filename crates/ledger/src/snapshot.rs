//! The ledger as one message, and back.

use quick_error::quick_error;
use wire::ledger::Snapshot;
use wire::ledger::Standing as WireStanding;

use crate::limits::Limits;
use crate::key::Key;
use crate::machine::Ledger;
use crate::record::KeptAnswer;
use crate::record::Record;
use crate::record::Standing;

quick_error! {
    /// Why a snapshot can't be restored.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// A record's key has a part that is no name.
        Key(index: usize) {
            display("record {index} has a key that is no name")
        }
        /// A record stands nowhere.
        Standing(index: usize) {
            display("record {index} has no standing")
        }
        /// A key stands twice.
        Twice(index: usize) {
            display("record {index} has the key of an earlier one")
        }
    }
}

impl Ledger {
    /// The whole state; equal states give equal bytes.
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

    /// The ledger that `snapshot` was taken of.
    ///
    /// # Errors
    ///
    /// Fails on a record that no ledger writes.
    pub fn restore(limits: Limits, snapshot: &Snapshot) -> Result<Self, RestoreError> {
        let mut ledger = Self::new(limits);
        ledger.now_ms = snapshot.now_ms;
        for (index, record) in snapshot.records.iter().enumerate() {
            let key = Key::from_parts(&record.service, &record.caller, &record.key)
                .ok_or(RestoreError::Key(index))?;
            if ledger.records.contains_key(&key) {
                return Err(RestoreError::Twice(index));
            }
            ledger.put(key, from_wire(index, record)?);
        }
        Ok(ledger)
    }
}

fn to_wire(key: &Key, record: &Record) -> wire::ledger::Record {
    let (standing, answer) = match &record.standing {
        Standing::InFlight => (WireStanding::InFlight, None),
        Standing::Done(answer) => (WireStanding::Done, Some(answer.answer())),
        Standing::NotRun => (WireStanding::NotRun, None),
        Standing::Unknown => (WireStanding::Unknown, None),
    };
    wire::ledger::Record {
        service: key.service().into(),
        caller: key.caller().into(),
        key: key.request().into(),
        digest: record.digest,
        standing: standing.into(),
        claim_id: record.claim.to_vec().into(),
        due_ms: record.due_ms,
        answer,
    }
}

fn from_wire(index: usize, record: &wire::ledger::Record) -> Result<Record, RestoreError> {
    let standing = match record.standing() {
        WireStanding::Unspecified => return Err(RestoreError::Standing(index)),
        WireStanding::InFlight => Standing::InFlight,
        WireStanding::Done => {
            Standing::Done(KeptAnswer::new(&record.answer.clone().unwrap_or_default()))
        }
        WireStanding::NotRun => Standing::NotRun,
        WireStanding::Unknown => Standing::Unknown,
    };
    Ok(Record {
        digest: record.digest,
        standing,
        claim: record.claim_id.as_ref().into(),
        due_ms: record.due_ms,
    })
}
