//! Errors of a control replica.

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
    /// Why a replica cannot start or has stopped.
    #[derive(Debug)]
    pub enum ControlError {
        /// A port cannot be bound.
        Bind(address: SocketAddr, err: io::Error) {
            source(err)
            display("bind {address}: {err}")
        }
        /// The data folder cannot be used.
        Store(err: StoreError) {
            from()
            source(err)
            display("{err}")
        }
        /// The recovered data cannot be converted.
        Convert(err: ConvertError) {
            from()
            source(err)
            display("data folder: {err}")
        }
        /// The recovered snapshot cannot be restored.
        StateMachine(err: StateMachineError) {
            from()
            source(err)
            display("data folder: {err}")
        }
        /// The writer thread cannot be started.
        Writer(err: WriterError) {
            from()
            source(err)
            display("{err}")
        }
        /// The metrics client cannot be started.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
        /// The driver stopped on its own.
        Driver(err: DriverError) {
            from()
            source(err)
            display("{err}")
        }
        /// A task panicked or was cancelled.
        Task(err: JoinError) {
            from()
            source(err)
            display("{err}")
        }
    }
}
