//! A randomized soak test: injects faults into a system of real hub and entry processes
//! and checks its guarantees from the replies to callers and the runs of upstreams.
//!
//! A seed determines the faults ([`world`]): signals to processes, faults of upstreams,
//! and a [`proxy`] in front of these that delays, withholds or resets traffic. If the plan says
//! so, further upstreams answer twice, late, cut short or wrongly framed ([`faulty_upstreams`]).
//! Callers send requests all the time ([`calls`]), with keys of which tables remove some
//! ([`keys`]). At the end the system is restored, and [`invariants`] looks for violated
//! guarantees.

pub mod calls;
pub mod crashing_upstreams;
pub mod faulty_upstreams;
pub mod invariants;
pub mod keys;
pub mod proxy;
pub mod world;

use std::time::Duration;

use quick_error::quick_error;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use testutils::ProcessError;
use testutils::system::SystemError;

use crate::calls::Callers;
use crate::invariants::Report;
use crate::world::World;

quick_error! {
    /// Error of a soak run.
    #[derive(Debug)]
    pub enum SoakError {
        /// Starting the system or publishing a table failed.
        System(err: SystemError) {
            from()
            source(err)
            display("{err}")
        }
        /// Starting or signalling a process failed.
        Process(err: ProcessError) {
            from()
            source(err)
            display("{err}")
        }
        /// Starting an emulated upstream failed.
        StandIn(err: standin::StartError) {
            from()
            source(err)
            display("stand-in: {err}")
        }
        /// Starting a proxy failed.
        Proxy(err: std::io::Error) {
            from()
            source(err)
            display("proxy: {err}")
        }
    }
}

/// Parameters of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the faults and the pauses between them.
    pub seed: u64,
    /// Number of steps. The fault of a step lasts, so that faults overlap.
    pub steps: u32,
    /// Maximum pause after a step.
    pub max_pause: Duration,
    /// Whether some upstreams send faulty responses.
    pub faulty_responses: bool,
}

/// Runs `plan` and checks the guarantees.
///
/// # Errors
///
/// Fails if the system can't be started, or doesn't serve requests again after the faults have
/// ended.
pub async fn run(plan: Plan) -> Result<Report, SoakError> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut world = World::start(plan, &mut rng).await?;
    let callers = Callers::start(world.fronts(), world.keys());
    for _ in 0..plan.steps {
        world.step(&mut rng).await?;
        world.pause(&mut rng, plan.max_pause).await;
    }
    world.restore().await?;
    let calls = callers.stop().await;
    let crash_violation = world.check_crashes().await?;
    world.wait_idle().await?;
    Ok(invariants::check(&world, &calls, crash_violation))
}
