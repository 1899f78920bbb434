//! `rwr-soak`: runs the soak test for a range of seeds and reports violated guarantees.

use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;
use lexopt::ValueExt;
use soak::Plan;

/// Maximum pause after a step.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Command line options.
struct Options {
    first: u64,
    count: u64,
    steps: u32,
    faulty_responses: bool,
}

const USAGE: &str = "\
rwr-soak [--first SEED] [--count N] [--steps N] [--faulty-responses]

Runs N seeds from SEED on, each with its own hubs, entry processes and upstreams on
loopback, and prints the result of each. Exits with 1 if one violated a guarantee.
With --faulty-responses, some upstreams answer twice, late, cut short or wrongly framed.
";

fn options() -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        first: 1,
        count: 1,
        steps: 40,
        faulty_responses: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("first") => options.first = parser.value()?.parse()?,
            Arg::Long("count") => options.count = parser.value()?.parse()?,
            Arg::Long("steps") => options.steps = parser.value()?.parse()?,
            Arg::Long("faulty-responses") => options.faulty_responses = true,
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
    let mut failed = 0;
    for seed in options.first..options.first.saturating_add(options.count) {
        let plan = Plan {
            seed,
            steps: options.steps,
            max_pause: MAX_PAUSE,
            faulty_responses: options.faulty_responses,
        };
        match soak::run(plan).await {
            Ok(report) => {
                println!("seed {seed}: {report}");
                failed += u64::from(!report.violations.is_empty());
            }
            Err(err) => {
                println!("seed {seed}: run failed: {err}");
                failed += 1;
            }
        }
    }
    println!("{failed} of {} seeds broke something", options.count);
    ExitCode::from(u8::from(failed > 0))
}
