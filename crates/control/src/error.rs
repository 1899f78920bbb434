//! Why a replica can't start or has stopped.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use store::StoreError;
use telemetry::metrics::MetricsError;
use tokio::task::JoinError;

use crate::convert::ConvertError;
use crate::driver::DriverError;
use crate::state_machine::StateMachineError;
use crate::writer::WriterError;

quick_error! {
    /// Why a replica can't start or has stopped.
    #[derive(Debug)]
    pub enum ControlError {
        /// A port.
        Bind(address: SocketAddr, err: io::Error) {
            source(err)
            display("bind {address}: {err}")
        }
        /// The data folder.
        Store(err: StoreError) {
            from()
            source(err)
            display("{err}")
        }
        /// What the data folder holds.
        Convert(err: ConvertError) {
            from()
            source(err)
            display("data folder: {err}")
        }
        /// The applied state.
        StateMachine(err: StateMachineError) {
            from()
            source(err)
            display("data folder: {err}")
        }
        /// The data folder's thread.
        Writer(err: WriterError) {
            from()
            source(err)
            display("{err}")
        }
        /// The metrics.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
        /// The replica stopped by itself.
        Driver(err: DriverError) {
            from()
            source(err)
            display("{err}")
        }
        /// A task panicked.
        Task(err: JoinError) {
            from()
            source(err)
            display("{err}")
        }
    }
}
