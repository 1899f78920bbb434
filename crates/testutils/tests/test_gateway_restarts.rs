//! A soak of gateways and directories that are killed and restarted in random order while a
//! request that crashes instances comes through all of them. The seeds are those of
//! `RWR_SEEDS`, for example `1..50`, else one.

use std::ops::Range;
use std::time::Duration;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testutils::Caller;
use testutils::Reply;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::services;

/// Gateways, each with its directory.
const GATEWAYS: usize = 5;
/// Instances of the service.
const INSTANCES: usize = 12;
/// Crashes until a request is quarantined, plus sends that may still reach instances.
const MAX_CRASHED: usize = 3 + 3;
/// Steps of one seed.
const STEPS: usize = 40;
/// Path of the request that crashes a stand-in.
const CRASH: &str = "/read/crash";
/// Variable with the seeds to run.
const SEEDS: &str = "RWR_SEEDS";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Sends the request that crashes instances through a gateway.
    Crash(usize),
    /// Sends another request through a gateway.
    Innocent(usize),
    /// Kills a directory and starts it again.
    Directory(usize),
    /// Kills a gateway and starts it again.
    Gateway(usize),
}

impl Step {
    fn random(rng: &mut StdRng) -> Self {
        let host = rng.random_range(0..GATEWAYS);
        match rng.random_range(0..10) {
            0..4 => Self::Crash(host),
            4..7 => Self::Innocent(host),
            7..9 => Self::Directory(host),
            _ => Self::Gateway(host),
        }
    }
}

struct Rig {
    system: System,
    upstreams: Vec<Upstream>,
    steps: Vec<Step>,
    seed: u64,
}

impl Rig {
    async fn start(seed: u64) -> Self {
        let mut system = System::start(1, GATEWAYS, &services::all()).await.unwrap();
        let mut upstreams = vec![];
        for number in 0..INSTANCES {
            let mut settings = system.plan.standin(services::STATUS, number);
            settings.crash = Some(CRASH.into());
            upstreams.push(system.start_upstream(&settings).await.unwrap());
        }
        Self {
            system,
            upstreams,
            steps: Vec::new(),
            seed,
        }
    }

    async fn call(&self, gateway: usize, caller: &'static str, path: &str) -> Reply {
        let request = Request {
            caller,
            ..Request::get(services::STATUS, path)
        };
        let address = self.system.gateway(gateway);
        Caller::new().call(address, &request).await
    }

    /// Sends the other request, again if the gateway was fenced, as it must be when the machine
    /// gives the processes no time for longer than the lease.
    async fn call_unfenced(&self, gateway: usize) -> Reply {
        loop {
            let reply = self.call(gateway, "good", "/read/well").await;
            if reply.reason != "fenced" {
                return reply;
            }
            let unfenced = self.system.wait_unfenced(gateway, services::STATUS);
            unfenced.await.unwrap();
        }
    }

    async fn run(&mut self) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        for _ in 0..STEPS {
            let step = Step::random(&mut rng);
            self.steps.push(step);
            self.perform(step).await;
            let pause = Duration::from_millis(rng.random_range(0..60));
            tokio::time::sleep(pause).await;
            let crashed = self.crashed();
            assert!(
                crashed <= MAX_CRASHED,
                "{crashed} crashed; {}",
                self.story()
            );
        }
    }

    async fn perform(&mut self, step: Step) {
        match step {
            Step::Crash(gateway) => {
                let before = self.crashed();
                let reply = self.call(gateway, "bad", CRASH).await;
                let crashed = self.crashed() - before;
                let is_denied = reply.outcome == Some(Outcome::NotRun);
                assert!(!is_denied || crashed == 0, "{reply:?}; {}", self.story());
            }
            Step::Innocent(gateway) => {
                let reply = self.call_unfenced(gateway).await;
                assert!(reply.is_ok(), "{reply:?}; {}", self.story());
            }
            Step::Directory(index) => {
                let stopped = self.system.directories[index].take().unwrap();
                stopped.kill().await.unwrap();
                let started = self.system.start_directory(index).await.unwrap();
                self.system.directories[index] = Some(started);
            }
            Step::Gateway(index) => {
                let stopped = self.system.gateways[index].take().unwrap();
                stopped.kill().await.unwrap();
                let started = self.system.start_gateway(index).await.unwrap();
                self.system.gateways[index] = Some(started);
                let unfenced = self.system.wait_unfenced(index, services::STATUS);
                unfenced.await.unwrap();
            }
        }
    }

    fn crashed(&mut self) -> usize {
        let exited = self.upstreams.iter_mut().map(|u| u.process.has_ended());
        exited.filter(|exited| *exited).count()
    }

    fn story(&self) -> String {
        let (seed, steps) = (self.seed, &self.steps);
        format!("seed {seed}, steps {steps:?}\n{}", self.system.decisions())
    }
}

fn seeds() -> Range<u64> {
    let text = std::env::var(SEEDS).unwrap_or_default();
    let bounds = text.split_once("..").unwrap_or_default();
    let (Ok(first), Ok(end)) = (bounds.0.parse(), bounds.1.parse()) else {
        return 1..2;
    };
    first..end
}

#[tokio::test(flavor = "multi_thread")]
async fn test_gateway_restarts_keep_the_bound_on_crashed_instances() {
    for seed in seeds() {
        let mut rig = Rig::start(seed).await;
        rig.run().await;
        eprintln!("seed {seed}: {} crashed", rig.crashed());
    }
}
