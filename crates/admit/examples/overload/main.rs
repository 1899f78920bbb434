//! Overload of one service, shared by gateways that don't talk to each other.
//!
//! `cargo run --release -p admit --example overload -- [SEED]` prints one line of
//! key=value pairs for each bound on running calls and each kind of upstream.

mod report;
mod scene;

use admit::Mode;

use crate::report::Setup;
use crate::scene::Scene;

const SLOTS: u32 = 60;
// What one of 15 gateways could hold if it knew the slots and the others.
const EXACT: u32 = 4;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    let bounds = [
        (Mode::Fixed, EXACT),
        (Mode::Fixed, 8),
        (Mode::Fixed, 32),
        (Mode::Adaptive, 8),
        (Mode::Adaptive, 16),
        (Mode::Adaptive, 32),
    ];
    for load in [0.7, 1.0, 2.0] {
        for backlog in [6, 64] {
            for (mode, concurrency) in bounds {
                let setup = Setup {
                    seed,
                    mode,
                    concurrency,
                    backlog,
                    load,
                };
                println!("{setup} slots={SLOTS} {}", Scene::new(setup).run());
            }
        }
    }
}
