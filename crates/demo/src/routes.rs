//! A demonstration of route tables: one hub, two entry processes, two services, and a
//! split between the services.

use std::time::Duration;

use entry::Dialect;
use entry::Entry;
use hub::Hub;
use quick_error::quick_error;
use standin::StandIn;
use telemetry::log::silent;
use testutils::Caller;
use testutils::Layout;
use testutils::Request;
use testutils::system::SystemError;
use testutils::system::wait;
use testutils::tables;
use testutils::tables::GRANTS;
use testutils::tables::HOST;
use testutils::tables::STATUS;
use tokio::time::Instant;

/// Entry processes.
const ENTRIES: usize = 2;
/// Calls through each entry process while the split is in force.
const CALLS: usize = 40;
/// Weights of the split.
const WEIGHTS: [u32; 2] = [3, 1];

quick_error! {
    /// Why the demonstration of route tables failed.
    #[derive(Debug)]
    pub enum RoutesError {
        /// The hub can't be started.
        Hub(err: hub::HubError) {
            from()
            source(err)
            display("hub: {err}")
        }
        /// An entry process can't be started.
        Entry(err: entry::EntryError) {
            from()
            source(err)
            display("entry: {err}")
        }
        /// A stand-in can't be started.
        StandIn(err: standin::StartError) {
            from()
            source(err)
            display("stand-in: {err}")
        }
        /// The data folder can't be created, or a condition was not met in time.
        System(err: SystemError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// Observations of the demonstration.
#[derive(Clone, Debug)]
pub struct RoutesEvidence {
    /// Time until the new route table was in force at every entry process.
    pub in_force: Duration,
    /// Calls that got the complete response to their own request.
    pub answered: usize,
    /// Calls made in total.
    pub calls: usize,
    /// Runs at each target of the split.
    pub runs: [usize; 2],
    /// Weights of the targets.
    pub weights: [u32; 2],
}

/// The running roles.
struct RoutesSystem {
    layout: Layout,
    hub: Hub,
    entries: Vec<Entry>,
    upstreams: [StandIn; 2],
}

/// Starts the roles, distributes a route table and then one with a split, and makes
/// calls.
///
/// # Errors
///
/// Fails if a role can't start, or a table is not in force in time.
pub async fn run() -> Result<RoutesEvidence, RoutesError> {
    let system = RoutesSystem::start().await?;
    system.layout.put(&tables::plain(1)).await?;
    system.wait_table(1).await?;
    system.wait_upstreams().await?;
    let before = system.runs();
    let changed = Instant::now();
    system.layout.put(&tables::split(2, WEIGHTS)).await?;
    system.wait_table(2).await?;
    let in_force = changed.elapsed();
    let answered = system.call().await;
    let after = system.runs();
    system.hub.stop().await;
    Ok(RoutesEvidence {
        in_force,
        answered,
        calls: CALLS * ENTRIES,
        runs: [after[0] - before[0], after[1] - before[1]],
        weights: WEIGHTS,
    })
}

impl RoutesSystem {
    async fn start() -> Result<Self, RoutesError> {
        let mut layout = Layout::new(1, ENTRIES).map_err(SystemError::from)?;
        let hub = Hub::start(layout.hubs[0].clone(), silent()).await?;
        let mut entries = vec![];
        for settings in layout.entries.clone() {
            entries.push(Entry::start(settings, Dialect::default(), silent()).await?);
        }
        let upstreams = [
            standin::start(layout.upstream(STATUS, 0), silent()).await?,
            standin::start(layout.upstream(GRANTS, 0), silent()).await?,
        ];
        Ok(Self {
            layout,
            hub,
            entries,
            upstreams,
        })
    }

    async fn wait_table(&self, version: u64) -> Result<(), SystemError> {
        wait("table in force", async || {
            let has_version = |entry: &Entry| entry.core().routes().version() >= Some(version);
            self.entries.iter().all(has_version)
        })
        .await
    }

    /// Waits until every entry process serves both services.
    async fn wait_upstreams(&self) -> Result<(), SystemError> {
        let requests = [
            Request::get(STATUS, "/read/first").at(HOST),
            Request::post(GRANTS, "/once/first", "block 7").at(HOST),
        ];
        for settings in &self.layout.entries {
            for request in &requests {
                wait("answer", async || {
                    Caller::new().call(settings.front, request).await.is_ok()
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Makes calls through every entry process and returns how many were answered.
    async fn call(&self) -> usize {
        let mut answered = 0;
        for settings in &self.layout.entries {
            for number in 0..CALLS {
                let path = format!("/read/{number}");
                let reply = Caller::new()
                    .call(settings.front, &Request::get(STATUS, &path).at(HOST))
                    .await;
                let own = reply.receipt().is_some_and(|receipt| receipt.path == path);
                answered += usize::from(reply.is_ok() && own);
            }
        }
        answered
    }

    fn runs(&self) -> [usize; 2] {
        [0, 1].map(|part| self.upstreams[part].runs().all().len())
    }
}
