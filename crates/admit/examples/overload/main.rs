//! Simulates the overload of one service behind gateways that don't coordinate.
//!
//! `cargo run --release -p admit --example overload -- [SEED]` prints one line of
//! key=value pairs for each load, upstream backlog and limit on running calls.

mod report;
mod simulation;

use admit::Mode;

use crate::report::Setup;
use crate::simulation::Simulation;

const SLOTS: u32 = 60;
// The slots divided by the 15 gateways.
const FAIR_SHARE: u32 = 4;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    let limits = [
        (Mode::Fixed, FAIR_SHARE),
        (Mode::Fixed, 8),
        (Mode::Fixed, 32),
        (Mode::Adaptive, 8),
        (Mode::Adaptive, 16),
        (Mode::Adaptive, 32),
    ];
    for load in [0.7, 1.0, 2.0] {
        for backlog in [6, 64] {
            for (mode, concurrency) in limits {
                let setup = Setup {
                    seed,
                    mode,
                    concurrency,
                    backlog,
                    load,
                };
                println!("{setup} slots={SLOTS} {}", Simulation::new(setup).run());
            }
        }
    }
}
