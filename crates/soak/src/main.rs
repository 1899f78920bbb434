//! `rwr-soak`: runs seeds of the soak, and says which broke a promise.

use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;
use lexopt::ValueExt;
use soak::Plan;

/// Longest time between two faults.
const PAUSE: Duration = Duration::from_millis(400);

/// What is run.
struct Options {
    first: u64,
    count: u64,
    steps: u32,
}

const USAGE: &str = "\
rwr-soak [--first SEED] [--count N] [--steps N]

Runs N seeds from SEED on, each with its own hubs, entry processes and upstreams on
loopback, and prints what each showed. Exit 1 when one broke a promise.
";

fn options() -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        first: 1,
        count: 1,
        steps: 40,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("first") => options.first = parser.value()?.parse()?,
            Arg::Long("count") => options.count = parser.value()?.parse()?,
            Arg::Long("steps") => options.steps = parser.value()?.parse()?,
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = match options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("rwr-soak: {err}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let mut bad = 0;
    for seed in options.first..options.first.saturating_add(options.count) {
        let plan = Plan {
            seed,
            steps: options.steps,
            pause: PAUSE,
        };
        match soak::run(plan).await {
            Ok(verdict) => {
                println!("seed {seed}: {verdict}");
                bad += u64::from(!verdict.broken.is_empty());
            }
            Err(err) => {
                println!("seed {seed}: not served again: {err}");
                bad += 1;
            }
        }
    }
    println!("{bad} of {} seeds broke something", options.count);
    ExitCode::from(u8::from(bad > 0))
}
