//! Slopes of each role, measured small: `cargo run --release --example slopes`.
//!
//! Prints a table, or with `--plain` one line of key=value pairs a point;
//! `--part NAME` measures one part only. Each role runs in a process of its own,
//! started from this program, so that processor time and memory are its alone.
//! Callers, upstreams and the relays that count bytes run in the first process.

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

use crate::fault::Fault;
use crate::part::Part;

/// Longest time of one part; a role that never gets ready must not hold the run up.
const PATIENCE: Duration = Duration::from_mins(1);

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

async fn measure(args: &[String]) -> Result<(), Fault> {
    let plain = args.iter().any(|a| a == "--plain");
    let named = args.iter().position(|a| a == "--part");
    let named = named.map(|at| args.get(at + 1).map_or("", String::as_str));
    let parts: Vec<Part> = match named {
        Some(name) => vec![name.parse().map_err(|_| Fault::Usage(name.into()))?],
        None => Part::iter().collect(),
    };
    let begin = Instant::now();
    println!("{}", machine(plain));
    // Parts that read this process's own clock run alone, the others in two lanes.
    let (alone, others): (Vec<Part>, Vec<Part>) = parts.into_iter().partition(|p| p.is_alone());
    let (first, second) = others.into_iter().partition(|p| p.is_first());
    run(alone, plain).await?;
    futures::future::try_join(run(first, plain), run(second, plain)).await?;
    let end = if plain { "role=run slope=time" } else { "run" };
    println!("{end} took_s={:.0}", begin.elapsed().as_secs_f64());
    Ok(())
}

/// Runs one part after another, and prints each as soon as it has ended.
async fn run(parts: Vec<Part>, plain: bool) -> Result<(), Fault> {
    for part in parts {
        let late = |_| Fault::Late(part.to_string());
        let rows = timeout(PATIENCE, part.run()).await.map_err(late)??;
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

/// How busy the machine is, as other work on it shows in every figure.
fn machine(plain: bool) -> String {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    if plain {
        format!("role=machine slope=load cores={cores} load={load}")
    } else {
        format!("machine: {cores} cores, load average {load}")
    }
}
