//! Upstreams whose responses arrive twice, late, cut short or wrongly framed.

use rand::RngExt;
use rand::rngs::SmallRng;
use standin::FaultShares;
use standin::FaultyInstance;
use standin::Refusal;
use standin::ResponseFault;
use standin::Run;
use standin::runs::Runs;
use telemetry::log::silent;
use testutils::Layout;
use testutils::system::wait;
use testutils::tables::GRANTS;
use testutils::tables::STATUS;

use crate::SoakError;

/// Number of these upstreams per service.
const UPSTREAMS: usize = 2;
/// Number of the first of these upstreams; lower numbers belong to the others of the service.
const FIRST_NUMBER: usize = 10;
/// Faults of responses that are drawn.
const FAULTS: [ResponseFault; 9] = [
    ResponseFault::LateCopy,
    ResponseFault::LateCopyAfterProbes,
    ResponseFault::Copy,
    ResponseFault::Unnamed,
    ResponseFault::CutHead,
    ResponseFault::CutBody,
    ResponseFault::Overlong,
    ResponseFault::Garbage,
    ResponseFault::Lost,
];
/// Refusals that are drawn.
const REFUSALS: [Refusal; 2] = [Refusal::Full, Refusal::Limited];
/// Maximum share of one fault of responses.
const MAX_FAULT_SHARE: f64 = 0.08;
/// Maximum share of one kind of refusal.
const MAX_REFUSAL_SHARE: f64 = 0.3;

/// All upstreams with faulty responses.
#[derive(Default)]
pub struct FaultyUpstreams(Vec<FaultyInstance>);

impl FaultyUpstreams {
    /// Starts the upstreams, without faults.
    ///
    /// # Errors
    ///
    /// Fails if an upstream can't listen.
    pub async fn start(layout: &mut Layout, rng: &mut SmallRng) -> Result<Self, SoakError> {
        let mut all = vec![];
        for service in [STATUS, GRANTS] {
            for number in FIRST_NUMBER..FIRST_NUMBER + UPSTREAMS {
                let mut settings = layout.upstream(service, number);
                settings.seed = rng.random();
                let faults = FaultShares::default();
                all.push(FaultyInstance::start(settings, faults, silent()).await?);
            }
        }
        Ok(Self(all))
    }

    /// Draws the shares of the faults of a random upstream. Returns a description, or `None` if
    /// there are no upstreams.
    pub fn draw(&self, rng: &mut SmallRng) -> Option<String> {
        let position = rng.random_range(0..self.0.len().max(1));
        let upstream = self.0.get(position)?;
        let faults = FAULTS.map(|fault| (fault, rng.random_range(0.0..MAX_FAULT_SHARE)));
        let refusals = REFUSALS.map(|refusal| (refusal, rng.random_range(0.0..MAX_REFUSAL_SHARE)));
        let shares = FaultShares {
            responses: faults.into(),
            refusals: refusals.into(),
        };
        let step = format!("faulty upstream {position}: {shares:?}");
        upstream.set_shares(shares);
        Some(step)
    }

    /// Ends all faults.
    pub fn restore(&self) {
        for upstream in &self.0 {
            upstream.set_shares(FaultShares::default());
        }
    }

    /// Waits until no upstream works on a request.
    ///
    /// # Errors
    ///
    /// Fails on a timeout.
    pub async fn wait_idle(&self) -> Result<(), SoakError> {
        let is_idle = async || self.0.iter().all(|upstream| upstream.in_flight() == 0);
        Ok(wait("idle upstreams", is_idle).await?)
    }

    /// Runs of all upstreams.
    pub fn runs(&self) -> impl Iterator<Item = Run> + '_ {
        let runs = self.0.iter().map(FaultyInstance::runs);
        runs.flat_map(Runs::all)
    }
}
