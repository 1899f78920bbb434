//! Compares policies under faults: `cargo run --release --example policy -- --seed N`.
//!
//! `--seed` is the first of five seeds; those below 100 were used for tuning.
//! `--shape`, `--policy` (such as `least-wait+`) and `--fault` select one service, row or
//! column. `--noise harsh` simulates noisier neighbours. `--choosers` is the number of
//! gateways, `--probes` the probe budget of an instance in thousandths of a probe per
//! second, and `--probe-age` the milliseconds without a report after which a probe is
//! sent. `--plain` prints lines of key=value.

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

/// Number of seeds of each case, which run in parallel.
const SEEDS: u64 = 5;

fn main() -> Result<(), lexopt::Error> {
    let (mut cases, mut plain) = (all(), false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("plain") => plain = true,
            Long(name) => {
                let (name, value) = (name.to_owned(), parser.value()?);
                let mut selected = Vec::new();
                for mut case in cases {
                    selected.extend(case.apply_option(&name, value.clone())?.then_some(case));
                }
                cases = selected;
            }
            _ => return Err(HELP.into()),
        }
    }
    compare(&cases, plain);
    Ok(())
}

/// All rows and columns: each policy alone, then two with the product's full stack.
fn all() -> Vec<Case> {
    let alone = Policy::iter().map(|policy| (policy, false));
    let full_stack = [(Policy::TwoChoices, true), (Policy::LeastWait, true)];
    let mut cases = Vec::new();
    for mut case in [FERROVIE, TRUST] {
        for row in alone.clone().chain(full_stack) {
            (case.policy, case.full_stack) = row;
            cases.extend(Fault::iter().map(|fault| Case { fault, ..case }));
        }
    }
    cases
}

/// Prints a line for each case and figure if `plain`, or else a table for each figure.
fn compare(cases: &[Case], plain: bool) {
    let runs: Vec<_> = cases.iter().map(run_seeds).collect();
    for (index, name) in NAMES.iter().enumerate() {
        let mut previous_row = String::new();
        for (case, runs) in cases.iter().zip(&runs) {
            let (row, fault) = (case.row(), case.fault);
            let [median, min, max] = figures::median_min_max(runs, index);
            if plain {
                print!("{row} fault={fault} figure={name}");
                println!(" median={median} min={min} max={max}");
                continue;
            }
            if row != previous_row {
                print!(
                    "{}{row:<36}{name:<8}",
                    if previous_row.is_empty() { "" } else { "\n" }
                );
            }
            print!("  {fault} {:<18}", format!("{median} ({min}-{max})"));
            previous_row = row;
        }
        print!("{}", if plain { "" } else { "\n\n" });
    }
}

/// Runs `case` with each seed.
fn run_seeds(case: &Case) -> Vec<Figures> {
    let join = |thread: ScopedJoinHandle<Figures>| thread.join().expect("no run panics");
    thread::scope(|scope| {
        let spawn = |seed| scope.spawn(move || run::run(Case { seed, ..*case }));
        let threads: Vec<_> = (case.seed..case.seed + SEEDS).map(spawn).collect();
        threads.into_iter().map(join).collect()
    })
}
