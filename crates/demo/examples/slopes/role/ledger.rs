//! A control replica's state machine with ledger records, without log and disk.

use std::time::Instant;

use bytes::Bytes;
use control::state_machine::StateMachine;
use prost::Message;
use wire::replica::Command;
use wire::replica::command::Kind;

use super::say;
use crate::claim;
use crate::fault::Fault;
use crate::usage;

/// Records at which the machine is measured while it grows.
const RECORDS: [u64; 3] = [16_384, 65_536, 131_072];
/// The time that each command is stamped with.
const NOW_MS: u64 = 1_800_000_000_000;

/// Fills one machine with claims and settlements whose answers have so many bytes.
pub fn run(answer: &str) -> Result<(), Fault> {
    let body = Bytes::from(vec![b'x'; answer.parse().unwrap_or_default()]);
    let before = usage::resident_kib();
    let mut state_machine = StateMachine::default();
    let mut number = 0;
    for records in RECORDS {
        let (first, begin) = (number, usage::cpu());
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
        let spent = usage::cpu().saturating_sub(begin);
        let grown = usage::resident_kib().saturating_sub(before);
        let begin = Instant::now();
        let snapshot = state_machine.snapshot();
        say(&format!(
            "records={} rss_kib={grown} apply_ns={} snapshot_bytes={} snapshot_us={}",
            state_machine.ledger().counts().records,
            spent.as_nanos() / u128::from(records - first),
            snapshot.len(),
            begin.elapsed().as_micros(),
        ))?;
    }
    Ok(())
}
