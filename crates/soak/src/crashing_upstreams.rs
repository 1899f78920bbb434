//! Upstream processes, without proxies, that a certain request crashes.

use std::net::SocketAddr;

use testutils::Layout;
use testutils::Upstream;
use testutils::tables::CRASH;
use testutils::tables::LOOKUPS;

use crate::SoakError;
use crate::calls;

/// Number of these upstreams.
const UPSTREAMS: usize = 4;
/// Number of crash requests sent to the restored system.
const CRASH_REQUESTS: usize = 10;
/// Maximum number of crashes that these requests may cause: three until the request is recognised
/// again, as every process that knew of the earlier crashes may have been lost, and three by
/// requests sent before that.
const MAX_CRASHES: usize = 6;

/// One upstream, with its current process.
struct CrashingUpstream {
    settings: standin::Settings,
    upstream: Upstream,
}

/// All upstreams that the crash request crashes.
pub struct CrashingUpstreams(Vec<CrashingUpstream>);

impl CrashingUpstreams {
    /// Starts the upstreams.
    ///
    /// # Errors
    ///
    /// Fails if an upstream isn't ready in time.
    pub async fn start(layout: &mut Layout) -> Result<Self, SoakError> {
        let mut all = vec![];
        for number in 0..UPSTREAMS {
            let mut settings = layout.upstream(LOOKUPS, number);
            settings.crash = Some(CRASH.into());
            let upstream = Upstream::start(&settings).await?;
            all.push(CrashingUpstream { settings, upstream });
        }
        Ok(Self(all))
    }

    /// Restarts the upstreams that have crashed and returns their number.
    ///
    /// # Errors
    ///
    /// Fails if an upstream isn't ready in time.
    pub async fn restart_crashed(&mut self) -> Result<usize, SoakError> {
        let mut crashed = 0;
        for crashing in &mut self.0 {
            if crashing.upstream.process.has_ended() {
                crashing.upstream = Upstream::start(&crashing.settings).await?;
                crashed += 1;
            }
        }
        Ok(crashed)
    }

    /// Sends crash requests through all entry processes in turn. Returns a description of the
    /// violated guarantee if too many upstreams crashed.
    ///
    /// # Errors
    ///
    /// Fails if an upstream can't be restarted.
    pub async fn check_crashes(
        &mut self,
        fronts: &[SocketAddr],
    ) -> Result<Option<String>, SoakError> {
        let mut crashed = 0;
        for front in fronts.iter().cycle().take(CRASH_REQUESTS) {
            calls::send_crash_request(*front).await;
            crashed += self.restart_crashed().await?;
        }
        Ok((crashed > MAX_CRASHES)
            .then(|| format!("{crashed} upstreams crashed after the restore")))
    }
}
