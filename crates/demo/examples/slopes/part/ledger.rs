//! Measures memory, time and snapshots of the ledger's records.

use crate::fault::MeasureError;
use crate::process::Process;
use crate::row::Row;
use crate::usage;

/// Sizes of a stored response, in bytes.
const ANSWERS: [u64; 2] = [0, 256];
/// Number of measurements that the role's process makes.
const SIZES: usize = 3;

/// Fills a replica's state machine, in a separate process for each size of response.
pub async fn run() -> Result<Vec<Row>, MeasureError> {
    let mut rows = Vec::new();
    for answer in ANSWERS {
        let mut process = Process::start(&["ledger", &answer.to_string()])?;
        for _ in 0..SIZES {
            let reply = process.read_line().await?;
            let records = reply.number("records")?;
            let row = Row::new("control", "records")
                .at("records", usage::float(records))
                .at("answer_b", usage::float(answer))
                .with(
                    "rss_b_each",
                    usage::ratio(reply.number("rss_kib")? * 1_024, records),
                )
                .with(
                    "snapshot_b_each",
                    usage::ratio(reply.number("snapshot_bytes")?, records),
                )
                .with(
                    "snapshot_ms",
                    usage::ratio(reply.number("snapshot_us")?, 1_000),
                )
                .with(
                    "apply_us_each",
                    usage::ratio(reply.number("apply_ns")?, 1_000),
                );
            rows.push(row);
        }
    }
    Ok(rows)
}
