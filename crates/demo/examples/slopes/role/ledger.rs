//! Runs a control replica's state machine with ledger records, without log and disk.

use std::time::Instant;

use bytes::Bytes;
use control::state_machine::StateMachine;
use prost::Message;
use wire::replica::Command;
use wire::replica::command::Kind;

use super::write_line;
use crate::claim;
use crate::fault::MeasureError;
use crate::usage;

/// Numbers of records at which the growing state machine is measured.
const RECORDS: [u64; 3] = [16_384, 65_536, 131_072];
/// Timestamp of all commands.
const NOW_MS: u64 = 1_800_000_000_000;

/// Fills a state machine with claims and settlements; `answer` is the size of each stored
/// response in bytes.
pub fn run(answer: &str) -> Result<(), MeasureError> {
    let body = Bytes::from(vec![b'x'; answer.parse().unwrap_or_default()]);
    let before = usage::resident_kib();
    let mut state_machine = StateMachine::default();
    let mut number = 0;
    for records in RECORDS {
        let (first, started_at) = (number, usage::cpu());
        while number < records {
            for kind in [claim::claim(number), claim::settle(number, &body)] {
                let command = Command {
                    now_ms: NOW_MS,
                    kind: Some(Kind::Ledger(kind)),
                };
                state_machine.apply(&Bytes::from(command.encode_to_vec()))?;
            }
            number += 1;
        }
        let spent = usage::cpu().saturating_sub(started_at);
        let growth = usage::resident_kib().saturating_sub(before);
        let started_at = Instant::now();
        let snapshot = state_machine.snapshot();
        write_line(&format!(
            "records={} rss_kib={growth} apply_ns={} snapshot_bytes={} snapshot_us={}",
            state_machine.ledger().counts().records,
            spent.as_nanos() / u128::from(records - first),
            snapshot.len(),
            started_at.elapsed().as_micros(),
        ))?;
    }
    Ok(())
}
