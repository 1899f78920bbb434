//! A running replica and its shutdown.

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
use crate::input::DriverHandle;
use crate::input::Input;
use crate::local_client::LocalClient;
use crate::partition::Partition;
use crate::settings::Settings;

/// Interval at which the leader is checked during a graceful stop.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Cancellation tokens of the two listeners and their connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShutdownTokens {
    /// Stops accepting connections.
    pub(crate) stop_accepting: CancellationToken,
    /// Closes all connections.
    pub(crate) close_connections: CancellationToken,
}

impl ShutdownTokens {
    /// Runs `connection` until it ends or all connections are closed.
    pub(crate) fn run_until_closed<F>(&self, connection: F) -> impl Future<Output = ()> + use<F>
    where
        F: Future<Output = ()>,
    {
        let closed = self.close_connections.clone();
        async move {
            closed.run_until_cancelled(connection).await;
        }
    }
}

/// A running replica.
pub struct Control {
    pub(crate) id: u64,
    pub(crate) rpc: SocketAddr,
    pub(crate) replica: SocketAddr,
    pub(crate) local_client: LocalClient,
    pub(crate) driver: DriverHandle,
    pub(crate) partition: Partition,
    pub(crate) shutdown: ShutdownTokens,
    pub(crate) driver_stop: CancellationToken,
    pub(crate) open_requests: TaskTracker,
    pub(crate) acceptors: JoinSet<()>,
    pub(crate) driver_task: JoinHandle<Result<(), DriverError>>,
    pub(crate) founding: AbortOnDropHandle<()>,
    pub(crate) survey: AbortOnDropHandle<()>,
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
}

impl Control {
    /// The id generated when the data folder was created.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The address for directories, gateways and operators.
    #[must_use]
    pub fn rpc(&self) -> SocketAddr {
        self.rpc
    }

    /// The address for other replicas.
    #[must_use]
    pub fn replica(&self) -> SocketAddr {
        self.replica
    }

    /// The in-process client of this replica.
    #[must_use]
    pub fn local_client(&self) -> &LocalClient {
        &self.local_client
    }

    /// The simulated network partition, for tests.
    #[must_use]
    pub fn partition(&self) -> &Partition {
        &self.partition
    }

    /// Waits until the replica stops on its own.
    ///
    /// # Errors
    ///
    /// Fails with the error that stopped the replica.
    pub async fn ended(&mut self) -> Result<(), ControlError> {
        let result = (&mut self.driver_task).await;
        self.close().await;
        result?.map_err(ControlError::from)
    }

    /// Transfers leadership, answers open requests, and stops. Each of the two steps is
    /// limited by the `stop` timeout.
    pub async fn stop(mut self) {
        self.shutdown.stop_accepting.cancel();
        let timeout = self.settings.timing.stop;
        let _ = tokio::time::timeout(timeout, self.transfer_leadership()).await;
        self.open_requests.close();
        let _ = tokio::time::timeout(timeout, self.open_requests.wait()).await;
        self.kill().await;
        info!(self.log, "stopped"; "id" => self.id);
    }

    /// Stops at once like a crash of the process; completed disk writes are kept.
    pub async fn kill(&mut self) {
        self.close().await;
        let _ = (&mut self.driver_task).await;
    }

    /// Repeats the transfer until it succeeds, as the chosen successor may be stopping, too.
    async fn transfer_leadership(&self) {
        loop {
            self.driver.notify(Input::Transfer);
            let status = self.driver.call(Input::Status).await;
            if !status.is_ok_and(|s| s.role() == Role::Leader && s.replicas.len() > 1) {
                return;
            }
            tokio::time::sleep(TRANSFER_POLL_INTERVAL).await;
        }
    }

    /// Cancels all tasks and waits until the ports are released.
    async fn close(&mut self) {
        self.cancel_all();
        while self.acceptors.join_next().await.is_some() {}
    }

    fn cancel_all(&self) {
        self.shutdown.stop_accepting.cancel();
        self.shutdown.close_connections.cancel();
        self.driver_stop.cancel();
        self.founding.abort();
        self.survey.abort();
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.cancel_all();
    }
}
