//! `rwr-load`: open-loop load for loopback.

use std::fmt::Display;
use std::process::ExitCode;
use std::time::Duration;

use base::prelude::*;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use load::Options;
use load::Report;
use load::arrival::Spacing;
use load::report::added_micros;

const HELP: &str = "\
rwr-load: open-loop load, for loopback addresses only

usage: rwr-load --service NAME (--directory IP:PORT... | --address IP:PORT) [options]

  --service NAME       service called
  --directory IP:PORT  directory to ask; again for others, asked in order
  --address IP:PORT    fixed address in place of a directory
  --compare IP:PORT    an upstream that every second call goes to directly;
                       adds the latency that the gateway adds
  --caller NAME        who calls
  --path PATH          path, default /
  --body TEXT          body; makes each call a POST
  --keyed              an idempotency key of its own on each call
  --deadline-ms N      deadline of each call
  --rate N             calls a second, default 100, at most 50000
  --seconds N          length, default 10, at most 300
  --even               the same time between calls, in place of Poisson
  --seed N             seed of times and keys, default 1
  --plain              key=value lines
  --help               print this, exit
  --version            print the version and a digest of the sources, exit

latency is measured from the intended time of each call; lag_p99 says how late
the tool itself was

exit codes: 0 ok, 1 failure at run time or no call answered, 2 usage";

const FAILURE: u8 = 1;
const USAGE: u8 = 2;

enum Command {
    Help,
    Version,
    Run(Box<Options>, bool),
}

fn main() -> ExitCode {
    match parse() {
        Ok(Command::Help) => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!(
                "{}",
                base::build::version_line("rwr-load", env!("CARGO_PKG_VERSION"))
            );
            ExitCode::SUCCESS
        }
        Ok(Command::Run(options, plain)) => run(*options, plain),
        Err(err) => fail(USAGE, &err),
    }
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut options = Options::new(ServiceName::new("unnamed").map_err(custom_error)?);
    let mut has_service = false;
    let mut plain = false;
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("service") => {
                options.service = parser.value()?.parse_with(ServiceName::new)?;
                has_service = true;
            }
            Arg::Long("plain") => plain = true,
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("version") => return Ok(Command::Version),
            Arg::Long(name) => {
                let name = name.to_owned();
                parse_option(&mut options, &name, &mut parser)?;
            }
            _ => return Err(arg.unexpected()),
        }
    }
    if !has_service {
        return Err("--service NAME is required, see --help".into());
    }
    options.check().map_err(custom_error)?;
    Ok(Command::Run(Box::new(options), plain))
}

fn parse_option(
    options: &mut Options,
    name: &str,
    parser: &mut Parser,
) -> Result<(), lexopt::Error> {
    match name {
        "directory" => options.directories.push(parser.value()?.parse()?),
        "address" => options.address = Some(parser.value()?.parse()?),
        "compare" => options.compare = Some(parser.value()?.parse()?),
        "caller" => options.caller = Some(parser.value()?.parse_with(CallerName::new)?),
        "path" => options.path = parser.value()?.string()?,
        "body" => options.body = parser.value()?.string()?,
        "keyed" => options.keyed = true,
        "deadline-ms" => options.deadline = Some(Duration::from_millis(parser.value()?.parse()?)),
        "rate" => options.rate = parser.value()?.parse()?,
        "seconds" => options.duration = Duration::from_secs(parser.value()?.parse()?),
        "even" => options.spacing = Spacing::Even,
        "seed" => options.seed = parser.value()?.parse()?,
        _ => return Err(Arg::Long(name).unexpected()),
    }
    Ok(())
}

fn custom_error(err: impl std::error::Error + Send + Sync + 'static) -> lexopt::Error {
    lexopt::Error::Custom(Box::new(err))
}

fn run(options: Options, plain: bool) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => return fail(FAILURE, &err),
    };
    let reports = match runtime.block_on(load::run(options)) {
        Ok(reports) => reports,
        Err(err) => return fail(FAILURE, &err),
    };
    print_reports(&reports, plain);
    let all_answered = reports.iter().all(|r| r.count(load::CallOutcome::Ok) > 0);
    if all_answered {
        return ExitCode::SUCCESS;
    }
    ExitCode::from(FAILURE)
}

fn print_reports(reports: &[Report], plain: bool) {
    for report in reports {
        if plain {
            println!("{}", report.plain());
        } else {
            println!("{report}\n");
        }
    }
    let [gateway, direct] = reports else {
        return;
    };
    let p50 = added_micros(gateway, direct, 0.5);
    let p99 = added_micros(gateway, direct, 0.99);
    if plain {
        println!("added_p50_us={p50} added_p99_us={p99}");
    } else {
        println!("added by the gateway: {p50} us at p50, {p99} us at p99");
    }
}

fn fail(code: u8, err: &dyn Display) -> ExitCode {
    eprintln!("rwr-load: {err}");
    ExitCode::from(code)
}
