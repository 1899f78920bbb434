//! A running replica, and how it stops.

use std::net::SocketAddr;
use std::time::Duration;

use slog::Logger;
use slog::info;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use tokio_util::task::TaskTracker;
use wire::control::Role;

use crate::driver::DriverError;
use crate::error::ControlError;
use crate::input::Driver;
use crate::input::Input;
use crate::local_client::LocalClient;
use crate::partition::Partition;
use crate::settings::Settings;

/// Between two looks at who leads during a stop.
const PAUSE: Duration = Duration::from_millis(10);

/// When to stop accepting, and when to close what was accepted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ends {
    /// Take no new connection.
    pub(crate) accept: CancellationToken,
    /// Close all connections.
    pub(crate) serve: CancellationToken,
}

impl Ends {
    /// The connection's task, closed when all are.
    pub(crate) fn bound<F>(&self, connection: F) -> impl Future<Output = ()> + use<F>
    where
        F: Future<Output = ()>,
    {
        let end = self.serve.clone();
        async move {
            end.run_until_cancelled(connection).await;
        }
    }
}

/// A running replica.
pub struct Control {
    pub(crate) id: u64,
    pub(crate) rpc: SocketAddr,
    pub(crate) replica: SocketAddr,
    pub(crate) desk: LocalClient,
    pub(crate) driver: Driver,
    pub(crate) partition: Partition,
    pub(crate) ends: Ends,
    pub(crate) end: CancellationToken,
    pub(crate) open: TaskTracker,
    pub(crate) accepts: JoinSet<()>,
    pub(crate) task: JoinHandle<Result<(), DriverError>>,
    pub(crate) founding: AbortOnDropHandle<()>,
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
}

impl Control {
    /// Minted with the data folder.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Where directories, gateways and operators connect.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// Where other replicas connect.
    #[must_use]
    pub fn replica(&self) -> SocketAddr {
        self.replica
    }

    /// Proposes and reads the route table.
    #[must_use]
    pub fn local_client(&self) -> &LocalClient {
        &self.desk
    }

    /// Where tests cut the links to the other replicas.
    #[must_use]
    pub fn partition(&self) -> &Partition {
        &self.partition
    }

    /// Waits until the replica stops by itself.
    ///
    /// # Errors
    ///
    /// Fails with what stopped it.
    pub async fn ended(&mut self) -> Result<(), ControlError> {
        let result = (&mut self.task).await;
        self.close().await;
        result?.map_err(ControlError::from)
    }

    /// Hands leadership over, answers what is open, and stops.
    pub async fn stop(mut self) {
        self.ends.accept.cancel();
        let limit = self.settings.timing.stop;
        let _ = tokio::time::timeout(limit, self.hand_over()).await;
        self.open.close();
        let _ = tokio::time::timeout(limit, self.open.wait()).await;
        self.kill().await;
        info!(self.log, "stopped"; "id" => self.id);
    }

    /// Stops at once, as a crash would, but for what the disk does.
    pub async fn kill(&mut self) {
        self.close().await;
        let _ = (&mut self.task).await;
    }

    /// Asks again and again, as the chosen successor may be stopping, too.
    async fn hand_over(&self) {
        loop {
            self.driver.tell(Input::Transfer);
            let status = self.driver.call(Input::Status).await;
            if !status.is_ok_and(|s| s.role() == Role::Leader && s.replicas.len() > 1) {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Ends everything, and waits until the ports are free again.
    async fn close(&mut self) {
        self.cancel();
        while self.accepts.join_next().await.is_some() {}
    }

    fn cancel(&self) {
        self.ends.accept.cancel();
        self.ends.serve.cancel();
        self.end.cancel();
        self.founding.abort();
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.cancel();
    }
}
