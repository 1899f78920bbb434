//! Why a slope couldn't be measured.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why a slope couldn't be measured.
    #[derive(Debug)]
    pub enum Fault {
        /// A file, a pipe or a socket.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A process of a role ended or said nothing that can be used.
        Role(said: String) {
            display("a role's process said {said:?}")
        }
        /// A part took too long.
        Late(part: String) {
            display("the part {part} didn't end in time")
        }
        /// The command line.
        Usage(word: String) {
            display("no part or role is called {word:?}")
        }
        /// A name.
        Name(err: base::name::NameError) {
            from()
            source(err)
            display("{err}")
        }
        /// A control replica.
        Control(err: control::ControlError) {
            from()
            source(err)
            display("control: {err}")
        }
        /// A replica's data folder.
        Store(err: store::StoreError) {
            from()
            source(err)
            display("store: {err}")
        }
        /// A replica's state machine.
        Machine(err: control::state_machine::StateMachineError) {
            from()
            source(err)
            display("machine: {err}")
        }
        /// A directory.
        Directory(err: directory::StartError) {
            from()
            source(err)
            display("directory: {err}")
        }
        /// A gateway.
        Gateway(err: gateway::StartError) {
            from()
            source(err)
            display("gateway: {err}")
        }
        /// An upstream's stand-in.
        StandIn(err: standin::StartError) {
            from()
            source(err)
            display("stand-in: {err}")
        }
        /// The catalogue.
        Operator(err: testutils::operator::OperatorError) {
            from()
            source(err)
            display("operator: {err}")
        }
        /// A link between the system's processes.
        Link(err: wire::link::LinkError) {
            from()
            source(err)
            display("{err}")
        }
        /// The load tool.
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
        /// A claim that had to be granted wasn't.
        Claim(reply: Box<wire::ledger::ClaimReply>) {
            display("claim: {reply:?}")
        }
    }
}
