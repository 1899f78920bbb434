//! The `tarpc` services between the system's own processes.

// The macro's clients and enums carry no documentation of their own.
#![allow(missing_docs)]

use crate::catalogue::Change;
use crate::catalogue::ChangeReply;
use crate::catalogue::History;
use crate::control::Follow;
use crate::control::FollowReply;
use crate::control::HistoryQuery;
use crate::control::Membership;
use crate::control::MembershipReply;
use crate::control::Status;
use crate::directory::Exchange;
use crate::directory::HostsReply;
use crate::directory::InstancesReply;
use crate::directory::Sync;
use crate::directory::SyncReply;
use crate::gateway::DrainReply;
use crate::gateway::Explain;
use crate::gateway::ExplainReply;
use crate::hub::Evacuation;
use crate::hub::EvacuationReply;
use crate::hub::EvacuationsReply;
use crate::hub::Fetch;
use crate::hub::ReadReply;
use crate::hub::Report;
use crate::hub::ResolveQuery;
use crate::hub::ResolveReply;
use crate::hub::Suspects;
use crate::hub::Table;
use crate::hub::TableReply;
use crate::hub::Watch;
use crate::hub::WatchReply;
use crate::ledger::Claim;
use crate::ledger::ClaimReply;
use crate::ledger::Settle;
use crate::ledger::SettleReply;
use crate::place::Ended;
use crate::place::Placed;
use crate::replica::Ask;
use crate::replica::AskReply;
use crate::replica::Envelope;
use crate::replica::Found;
use crate::replica::FoundReply;
use crate::replica::Hello;
use crate::replica::HelloReply;

/// Served by each control replica to directories, gateways and operators.
#[tarpc::service]
pub trait ControlApi {
    /// Proposes a catalogue change; any replica passes it to the leader.
    async fn propose(change: Change) -> ChangeReply;
    /// Waits for a newer catalogue, or confirms that there is none.
    async fn follow(ask: Follow) -> FollowReply;
    /// Accepted changes, oldest first.
    async fn history(query: HistoryQuery) -> History;
    /// The replica's view of itself and its group.
    async fn status() -> Status;
    /// Adds or removes one replica.
    async fn change_membership(change: Membership) -> MembershipReply;
    /// Claims the right to run a keyed request.
    async fn claim(claim: Claim) -> ClaimReply;
    /// Records what became of a claimed request.
    async fn settle(settle: Settle) -> SettleReply;
}

/// Served by each control replica to the others.
#[tarpc::service]
pub trait ReplicaApi {
    /// Takes messages of the replicated log; answers come as messages of their own.
    async fn step(envelope: Envelope);
    /// Says who is here.
    async fn hello(ask: Hello) -> HelloReply;
    /// Takes the founding group when there is no log yet.
    async fn found(ask: Found) -> FoundReply;
    /// Does a request as the leader.
    async fn ask(ask: Ask) -> AskReply;
}

/// Served by each directory to gateways, other directories and operators.
#[tarpc::service]
pub trait DirectoryApi {
    /// A gateway's heartbeat and poll in one.
    async fn sync(ask: Sync) -> SyncReply;
    /// Push and pull between two directories.
    async fn exchange(push: Exchange) -> Exchange;
    /// The hosts as this directory knows them.
    async fn hosts() -> HostsReply;
    /// The instances as this directory knows them.
    async fn instances() -> InstancesReply;
}

/// Served by each gateway to operators.
#[tarpc::service]
pub trait GatewayApi {
    /// Why calls of a service go where they go.
    async fn explain(ask: Explain) -> ExplainReply;
    /// Starts a graceful stop.
    async fn drain() -> DrainReply;
}

/// Served by each hub to entry processes, other hubs and operators.
#[tarpc::service]
pub trait HubApi {
    /// Waits for changes of the route table and of the instances.
    async fn watch(ask: Watch) -> WatchReply;
    /// The newest route table as this hub has it, without content where it isn't newer.
    async fn fetch(ask: Fetch) -> Table;
    /// Proposes a route table.
    async fn put_table(table: Table) -> TableReply;
    /// The newest route table.
    async fn read_table() -> ReadReply;
    /// Asks that nothing be sent to a failure domain, or takes that back.
    async fn evacuate(order: Evacuation) -> EvacuationReply;
    /// The failure domains to which nothing is sent.
    async fn evacuations() -> EvacuationsReply;
    /// Takes what an entry process has seen of requests that crash instances; gives the
    /// suspects of all.
    async fn report(report: Report) -> Suspects;
    /// The entry hosts that a caller may use.
    async fn resolve(query: ResolveQuery) -> ResolveReply;
}

/// Served by each entry process to the others, for the services that it dispatches.
#[tarpc::service]
pub trait PlaceApi {
    /// Grants an instance for one attempt, or says that there is no room.
    async fn place(ask: crate::place::Ask) -> Placed;
    /// Takes the end of the attempt at a granted instance.
    async fn ended(end: Ended);
}
