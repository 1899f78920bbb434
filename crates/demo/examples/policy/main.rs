//! Compares policies under faults: `cargo run --release --example policy -- --seed N`.

mod call;
mod fake;
mod fault;
mod figures;
mod gateway;
mod noise;
mod run;
mod shape;
mod table;
mod time;

use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;
use lexopt::ValueExt;

use crate::shape::Shape;
use crate::table::Options;

const HELP: &str = "policy: compares policies under faults
  --seed N       first seed, default 100 (seeds below 100 were tuned on)
  --seeds N      number of seeds, default 5
  --shape NAME   ferrovie or trust, default both
  --policy NAME  one row only, such as two-choices or least-wait+
  --fault NAME   one column only
  --noise NAME   of neighbours: mild (default) or harsh
  --choosers N   gateways that share the instances, default 15
  --probes N     measuring budget for an instance, in thousandths a second
  --probe-age N  milliseconds without a report after which a probe is sent
  --seconds N    how long calls are counted, default 8
  --threads N    runs at once, default 4
  --plain        one line of key=value for each figure set";

fn main() -> ExitCode {
    match parse() {
        Ok(Some(options)) => {
            table::print(&options);
            ExitCode::SUCCESS
        }
        Ok(None) => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("policy: {err}");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("seeds") => options.seeds = parser.value()?.parse()?,
            Arg::Long("shape") => options.shapes = vec![parser.value()?.parse::<Shape>()?],
            Arg::Long("policy") => {
                let name = parser.value()?.string()?;
                options.rows.retain(|row| row.name() == name);
            }
            Arg::Long("noise") => options.neighbours = parser.value()?.parse()?,
            Arg::Long("probes") => options.probes = Some(parser.value()?.parse()?),
            Arg::Long("probe-age") => {
                let millis = parser.value()?.parse()?;
                options.settings.probe_age = Duration::from_millis(millis);
            }
            Arg::Long("fault") => options.faults = vec![parser.value()?.parse()?],
            Arg::Long("choosers") => options.choosers = parser.value()?.parse()?,
            Arg::Long("seconds") => options.span = Duration::from_secs(parser.value()?.parse()?),
            Arg::Long("threads") => options.threads = parser.value()?.parse()?,
            Arg::Long("plain") => options.plain = true,
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(options))
}
