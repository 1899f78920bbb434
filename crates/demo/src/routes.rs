//! Route tables at work: one hub, two entry processes, two services, a split.

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
/// Calls by way of each entry process while the split is in force.
const CALLS: usize = 40;
/// Weights of the split.
const WEIGHTS: [u32; 2] = [3, 1];

quick_error! {
    /// Why route tables can't be shown.
    #[derive(Debug)]
    pub enum RoutesError {
        /// The hub.
        Hub(err: hub::HubError) {
            from()
            source(err)
            display("hub: {err}")
        }
        /// An entry process.
        Entry(err: entry::EntryError) {
            from()
            source(err)
            display("entry: {err}")
        }
        /// A stand-in for an upstream.
        StandIn(err: standin::StartError) {
            from()
            source(err)
            display("stand-in: {err}")
        }
        /// A folder can't be had, or something took too long.
        System(err: SystemError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// What the trial saw.
#[derive(Clone, Debug)]
pub struct Shown {
    /// How long a new table took until it was in force at every entry process.
    pub in_force: Duration,
    /// Calls whose own whole answer came.
    pub answered: usize,
    /// Calls made.
    pub calls: usize,
    /// Runs of each part of the split.
    pub runs: [usize; 2],
    /// Weights of the parts.
    pub weights: [u32; 2],
}

/// The running roles; all end when they are dropped.
struct Scene {
    layout: Layout,
    hub: Hub,
    entries: Vec<Entry>,
    upstreams: [StandIn; 2],
}

/// Starts the roles, puts a table and then one with a split, and calls.
///
/// # Errors
///
/// Fails when a role can't start, or something takes too long.
pub async fn run() -> Result<Shown, RoutesError> {
    let scene = Scene::start().await?;
    scene.layout.put(&tables::plain(1)).await?;
    scene.wait_table(1).await?;
    scene.wait_upstreams().await?;
    let before = scene.runs();
    let changed = Instant::now();
    scene.layout.put(&tables::split(2, WEIGHTS)).await?;
    scene.wait_table(2).await?;
    let in_force = changed.elapsed();
    let answered = scene.call().await;
    let after = scene.runs();
    scene.hub.stop().await;
    Ok(Shown {
        in_force,
        answered,
        calls: CALLS * ENTRIES,
        runs: [after[0] - before[0], after[1] - before[1]],
        weights: WEIGHTS,
    })
}

impl Scene {
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
            let held = |entry: &Entry| entry.core().routes().table.version >= version;
            self.entries.iter().all(held)
        })
        .await
    }

    /// Waits until every entry process serves both services.
    async fn wait_upstreams(&self) -> Result<(), SystemError> {
        let asks = [
            Request::get(STATUS, "/read/first").at(HOST),
            Request::post(GRANTS, "/once/first", "block 7").at(HOST),
        ];
        for settings in &self.layout.entries {
            for ask in &asks {
                wait("answer", async || {
                    Caller::new().call(settings.front, ask).await.is_ok()
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Calls by way of every entry process; how many were answered.
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
