//! Compares policies under faults: `cargo run --release --example policy -- --seed N`.
//!
//! `--seed` is the first of five seeds; those below 100 were tuned on.
//! `--shape`, `--policy` (such as `least-wait+`) and `--fault` pick one service, row or
//! column; `--noise harsh` has worse neighbours; `--choosers` is the number of gateways;
//! `--probes` the measuring budget in thousandths of a probe a second and instance,
//! `--probe-age` the milliseconds without a report after which a probe is sent;
//! `--plain` prints lines of key=value.

mod call;
mod case;
mod fake;
mod fault;
mod figures;
mod gateway;
mod noise;
mod run;
mod time;

use std::thread;
use std::thread::ScopedJoinHandle;

use lexopt::Arg::Long;
use route::Policy;
use strum::IntoEnumIterator;

use crate::case::Case;
use crate::case::FERROVIE;
use crate::case::TRUST;
use crate::fault::Fault;
use crate::figures::Figures;
use crate::figures::NAMES;

const HELP: &str = "policy [--seed N] [--shape ferrovie|trust] [--policy NAME]
  [--fault NAME] [--noise harsh] [--choosers N] [--probes N] [--probe-age N] [--plain]";

/// Seeds of each case, run at once.
const SEEDS: u64 = 5;

fn main() -> Result<(), lexopt::Error> {
    let (mut cases, mut plain) = (all(), false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("plain") => plain = true,
            Long(name) => {
                let (name, value) = (name.to_owned(), parser.value()?);
                let mut kept = Vec::new();
                for mut case in cases {
                    kept.extend(case.take(&name, value.clone())?.then_some(case));
                }
                cases = kept;
            }
            _ => return Err(HELP.into()),
        }
    }
    compare(&cases, plain);
    Ok(())
}

/// Every row and column: each policy alone, then two with all that the product has around.
fn all() -> Vec<Case> {
    let alone = Policy::iter().map(|policy| (policy, false));
    let whole = [(Policy::TwoChoices, true), (Policy::LeastWait, true)];
    let mut cases = Vec::new();
    for mut case in [FERROVIE, TRUST] {
        for row in alone.clone().chain(whole) {
            (case.policy, case.whole) = row;
            cases.extend(Fault::iter().map(|fault| Case { fault, ..case }));
        }
    }
    cases
}

/// Prints a line for each case and figure, or a table for each figure.
fn compare(cases: &[Case], plain: bool) {
    let runs: Vec<_> = cases.iter().map(run_seeds).collect();
    for (index, name) in NAMES.iter().enumerate() {
        let mut shown = String::new();
        for (case, runs) in cases.iter().zip(&runs) {
            let (row, fault) = (case.row(), case.fault);
            let [median, least, most] = figures::spread(runs, index);
            if plain {
                print!("{row} fault={fault} figure={name}");
                println!(" median={median} min={least} max={most}");
                continue;
            }
            if row != shown {
                print!(
                    "{}{row:<36}{name:<8}",
                    if shown.is_empty() { "" } else { "\n" }
                );
            }
            print!("  {fault} {:<18}", format!("{median} ({least}-{most})"));
            shown = row;
        }
        print!("{}", if plain { "" } else { "\n\n" });
    }
}

/// The figures of each seed.
fn run_seeds(case: &Case) -> Vec<Figures> {
    let join = |thread: ScopedJoinHandle<Figures>| thread.join().expect("no run panics");
    thread::scope(|scope| {
        let spawn = |seed| scope.spawn(move || run::run(Case { seed, ..*case }));
        let threads: Vec<_> = (case.seed..case.seed + SEEDS).map(spawn).collect();
        threads.into_iter().map(join).collect()
    })
}
