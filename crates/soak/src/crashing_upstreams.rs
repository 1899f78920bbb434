//! Upstreams that one request crashes, as processes without proxies.

use std::net::SocketAddr;

use testutils::Layout;
use testutils::Upstream;
use testutils::tables::CRASH;
use testutils::tables::LOOKUPS;

use crate::SoakError;
use crate::calls;

/// Upstreams that a request crashes.
const CRASHERS: usize = 4;
/// Calls for what crashes them, once all is restored.
const CRASH_CALLS: usize = 10;
/// Crashes that may still come then: three, as every process that knew of those before may have
/// been lost, and three more that were sent before it is known again.
const CRASHES: usize = 6;

/// One upstream, in one of its lives.
struct Crasher {
    settings: standin::Settings,
    upstream: Upstream,
}

/// All of them.
pub struct Crashers(Vec<Crasher>);

impl Crashers {
    /// Starts them.
    ///
    /// # Errors
    ///
    /// Fails when one isn't ready in time.
    pub async fn start(layout: &mut Layout) -> Result<Self, SoakError> {
        let mut all = vec![];
        for number in 0..CRASHERS {
            let mut settings = layout.upstream(LOOKUPS, number);
            settings.crash = Some(CRASH.into());
            let upstream = Upstream::start(&settings).await?;
            all.push(Crasher { settings, upstream });
        }
        Ok(Self(all))
    }

    /// Starts those anew that have crashed, and gives how many these were.
    ///
    /// # Errors
    ///
    /// Fails when one isn't ready in time.
    pub async fn start_anew(&mut self) -> Result<usize, SoakError> {
        let mut crashed = 0;
        for crasher in &mut self.0 {
            if crasher.upstream.process.has_ended() {
                crasher.upstream = Upstream::start(&crasher.settings).await?;
                crashed += 1;
            }
        }
        Ok(crashed)
    }

    /// Calls for what crashes them by way of all entry processes; what that shows to be broken,
    /// if anything.
    ///
    /// # Errors
    ///
    /// Fails when one can't be started anew.
    pub async fn crash(&mut self, fronts: &[SocketAddr]) -> Result<Option<String>, SoakError> {
        let mut crashed = 0;
        for front in fronts.iter().cycle().take(CRASH_CALLS) {
            calls::crash(*front).await;
            crashed += self.start_anew().await?;
        }
        Ok((crashed > CRASHES).then(|| format!("{crashed} upstreams crashed in the end")))
    }
}
