//! The error of a failed measurement.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why a measurement failed.
    #[derive(Debug)]
    pub enum MeasureError {
        /// An I/O error on a file, pipe or socket.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A role's process exited or sent an invalid line.
        Role(line: String) {
            display("invalid line from a role's process: {line:?}")
        }
        /// A part did not finish within its timeout.
        Timeout(part: String) {
            display("part {part} timed out")
        }
        /// The command line is invalid.
        Usage(word: String) {
            display("unknown part or role: {word:?}")
        }
        /// A name is invalid.
        Name(err: base::name::NameError) {
            from()
            source(err)
            display("{err}")
        }
        /// A control replica can't be started.
        Control(err: control::ControlError) {
            from()
            source(err)
            display("control: {err}")
        }
        /// A replica's data folder can't be opened.
        Store(err: store::StoreError) {
            from()
            source(err)
            display("store: {err}")
        }
        /// A replica's state machine rejected a command.
        Machine(err: control::state_machine::StateMachineError) {
            from()
            source(err)
            display("machine: {err}")
        }
        /// A directory can't be started.
        Directory(err: directory::StartError) {
            from()
            source(err)
            display("directory: {err}")
        }
        /// A gateway can't be started.
        Gateway(err: gateway::StartError) {
            from()
            source(err)
            display("gateway: {err}")
        }
        /// A stand-in can't be started.
        StandIn(err: standin::StartError) {
            from()
            source(err)
            display("stand-in: {err}")
        }
        /// A change of the catalogue was not applied.
        Operator(err: testutils::operator::OperatorError) {
            from()
            source(err)
            display("operator: {err}")
        }
        /// A connection to a process of the system failed.
        Link(err: wire::link::LinkError) {
            from()
            source(err)
            display("{err}")
        }
        /// The load tool failed.
        Load(err: load::LoadError) {
            from()
            source(err)
            display("load: {err}")
        }
        /// A task panicked.
        Task(err: tokio::task::JoinError) {
            from()
            source(err)
            display("{err}")
        }
        /// A claim was not granted.
        Claim(reply: Box<wire::ledger::ClaimReply>) {
            display("claim not granted: {reply:?}")
        }
    }
}
