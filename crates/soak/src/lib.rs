//! A randomized soak: hubs and entry processes as real processes, faults from
//! outside them, and promises checked from what callers and upstreams saw.
//!
//! A seed draws the faults ([`world`]): signals to processes, faults of upstreams,
//! and connections to these by way of a [`proxy`] that delays, silences or resets.
//! Callers call all the while ([`calls`]). At the end everything is restored, and
//! [`invariants`] looks for broken promises.

pub mod calls;
pub mod crashing_upstreams;
pub mod invariants;
pub mod proxy;
pub mod world;

use std::time::Duration;

use quick_error::quick_error;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use testutils::ProcessError;
use testutils::system::SystemError;

use crate::calls::Callers;
use crate::invariants::Verdict;
use crate::world::World;

quick_error! {
    /// Why a run couldn't be made.
    #[derive(Debug)]
    pub enum SoakError {
        /// A process or a table.
        System(err: SystemError) {
            from()
            source(err)
            display("{err}")
        }
        /// A process.
        Process(err: ProcessError) {
            from()
            source(err)
            display("{err}")
        }
        /// An upstream.
        StandIn(err: standin::StartError) {
            from()
            source(err)
            display("stand-in: {err}")
        }
        /// A proxy.
        Proxy(err: std::io::Error) {
            from()
            source(err)
            display("proxy: {err}")
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Of the faults and their times.
    pub seed: u64,
    /// Faults, one after the other; they last and overlap.
    pub steps: u32,
    /// Longest time between two of them.
    pub pause: Duration,
}

/// Runs `plan` and judges it.
///
/// # Errors
///
/// Fails when the system can't be started, or doesn't serve again at the end.
pub async fn run(plan: Plan) -> Result<Verdict, SoakError> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut world = World::start(&mut rng).await?;
    let callers = Callers::start(world.fronts());
    for _ in 0..plan.steps {
        world.step(&mut rng).await?;
        world.rest(&mut rng, plan.pause).await;
    }
    world.restore().await?;
    let calls = callers.stop().await;
    let crashed = world.crash().await?;
    Ok(invariants::judge(&world, &calls, crashed))
}
