//! Measures how each role's resource use grows with its load, at a small scale:
//! `cargo run --release --example slopes`.
//!
//! Prints a table, or with `--plain` one line of key=value pairs per point;
//! `--part NAME` runs only that part. Each role runs in its own process, started from
//! this program, so that its processor time and memory can be measured. Callers,
//! upstreams and the relays that count bytes run in the main process.

mod announce;
mod claim;
mod fault;
mod fields;
mod part;
mod process;
mod relay;
mod role;
mod row;
mod system;
mod usage;

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use strum::IntoEnumIterator;
use tokio::time::timeout;

use crate::fault::MeasureError;
use crate::part::Part;

/// Timeout of one part.
const PART_TIMEOUT: Duration = Duration::from_mins(1);

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let result = match args.split_first() {
        Some((first, rest)) if first == process::ROLE => role::run(rest).await,
        _ => measure(&args).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("slopes: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(args: &[String]) -> Result<(), MeasureError> {
    let plain = args.iter().any(|a| a == "--plain");
    let part_name = args.iter().position(|a| a == "--part");
    let part_name = part_name.map(|at| args.get(at + 1).map_or("", String::as_str));
    let parts: Vec<Part> = match part_name {
        Some(name) => vec![name.parse().map_err(|_| MeasureError::Usage(name.into()))?],
        None => Part::iter().collect(),
    };
    let started_at = Instant::now();
    println!("{}", describe_machine(plain));
    // Parts that read this process's processor time run alone, the others in two lanes.
    let (sequential, others): (Vec<Part>, Vec<Part>) =
        parts.into_iter().partition(|p| p.needs_own_process_time());
    let (first, second) = others.into_iter().partition(|p| p.is_in_first_lane());
    run(sequential, plain).await?;
    futures::future::try_join(run(first, plain), run(second, plain)).await?;
    let end = if plain { "role=run slope=time" } else { "run" };
    println!("{end} took_s={:.0}", started_at.elapsed().as_secs_f64());
    Ok(())
}

/// Runs the parts in sequence and prints each part's rows when the part has finished.
async fn run(parts: Vec<Part>, plain: bool) -> Result<(), MeasureError> {
    for part in parts {
        let timeout_error = |_| MeasureError::Timeout(part.to_string());
        let rows = timeout(PART_TIMEOUT, part.run())
            .await
            .map_err(timeout_error)??;
        for row in rows {
            if plain {
                println!("{}", row.plain());
            } else {
                println!("{row}");
            }
        }
    }
    Ok(())
}

/// Describes the machine and its load, which affects every figure.
fn describe_machine(plain: bool) -> String {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    if plain {
        format!("role=machine slope=load cores={cores} load={load}")
    } else {
        format!("machine: {cores} cores, load average {load}")
    }
}
