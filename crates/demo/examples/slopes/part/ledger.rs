//! Memory, time and snapshots of the ledger's records.

use crate::fault::Fault;
use crate::process::Process;
use crate::row::Row;
use crate::usage;

/// Bytes of a kept answer.
const ANSWERS: [u64; 2] = [0, 256];
/// Sizes that the role's process measures.
const SIZES: usize = 3;

/// Fills a replica's state machine, a process for each size of answer.
pub async fn run() -> Result<Vec<Row>, Fault> {
    let mut rows = Vec::new();
    for answer in ANSWERS {
        let mut process = Process::start(&["ledger", &answer.to_string()])?;
        for _ in 0..SIZES {
            let said = process.hear().await?;
            let records = said.number("records")?;
            let row = Row::new("control", "records")
                .at("records", usage::float(records))
                .at("answer_b", usage::float(answer))
                .with(
                    "rss_b_each",
                    usage::ratio(said.number("rss_kib")? * 1_024, records),
                )
                .with(
                    "snapshot_b_each",
                    usage::ratio(said.number("snapshot_bytes")?, records),
                )
                .with(
                    "snapshot_ms",
                    usage::ratio(said.number("snapshot_us")?, 1_000),
                )
                .with(
                    "apply_us_each",
                    usage::ratio(said.number("apply_ns")?, 1_000),
                );
            rows.push(row);
        }
    }
    Ok(rows)
}
