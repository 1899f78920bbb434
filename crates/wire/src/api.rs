//! The `tarpc` services of the internal protocol.

// `tarpc::service` generates clients and enums without doc comments.
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
use crate::directory::CrashReport;
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
use crate::hub::FetchReply;
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
use crate::quota::Acquire;
use crate::quota::GiveBack;
use crate::quota::Permits;
use crate::quota::Transfer;
use crate::quota::TransferReply;
use crate::replica::Ask;
use crate::replica::AskReply;
use crate::replica::Envelope;
use crate::replica::Found;
use crate::replica::FoundReply;
use crate::replica::Hello;
use crate::replica::HelloReply;
use crate::replica::LogReport;

/// Served by each control replica to directories, gateways and operators.
#[tarpc::service]
pub trait ControlApi {
    /// Proposes a catalogue change; any replica forwards it to the leader.
    async fn propose(change: Change) -> ChangeReply;
    /// Long-polls for a newer catalogue; confirms after the wait that there is none.
    async fn follow(ask: Follow) -> FollowReply;
    /// Returns accepted changes, oldest first.
    async fn history(query: HistoryQuery) -> History;
    /// Returns the replica's view of itself and its group.
    async fn status() -> Status;
    /// Adds or removes one replica of the group.
    async fn change_membership(change: Membership) -> MembershipReply;
    /// Claims the right to execute a request with an idempotency key.
    async fn claim(claim: Claim) -> ClaimReply;
    /// Records the outcome of a claimed request.
    async fn settle(settle: Settle) -> SettleReply;
}

/// Served by each control replica to the others.
#[tarpc::service]
pub trait ReplicaApi {
    /// Delivers messages of the consensus protocol; replies are sent as separate messages.
    async fn step(envelope: Envelope);
    /// Returns the replica's identity and its group.
    async fn hello(ask: Hello) -> HelloReply;
    /// Returns what the replica's log holds.
    async fn report_log() -> LogReport;
    /// Bootstraps a replica without a log with the initial group.
    async fn found(ask: Found) -> FoundReply;
    /// Executes a forwarded request as the leader.
    async fn ask(ask: Ask) -> AskReply;
}

/// Served by each directory to gateways, other directories and operators.
#[tarpc::service]
pub trait DirectoryApi {
    /// Takes a gateway's heartbeat and long-polls for updates.
    async fn sync(ask: Sync) -> SyncReply;
    /// Exchanges state with another directory (push and pull).
    async fn exchange(push: Exchange) -> Exchange;
    /// Takes observations of requests that crash instances; returns the suspects of all gateways.
    async fn report(report: CrashReport) -> Suspects;
    /// Returns the hosts known to this directory.
    async fn hosts() -> HostsReply;
    /// Returns the instances known to this directory.
    async fn instances() -> InstancesReply;
}

/// Served by each gateway to operators.
#[tarpc::service]
pub trait GatewayApi {
    /// Explains how calls of a service are routed.
    async fn explain(ask: Explain) -> ExplainReply;
    /// Starts a graceful shutdown.
    async fn drain() -> DrainReply;
}

/// Served by each hub to entry processes, other hubs and operators.
#[tarpc::service]
pub trait HubApi {
    /// Long-polls for changes of the route table and of the instances.
    async fn watch(ask: Watch) -> WatchReply;
    /// Returns this hub's newest route table if it is newer than the caller's.
    async fn fetch(ask: Fetch) -> FetchReply;
    /// Proposes a new route table.
    async fn put_table(table: Table) -> TableReply;
    /// Reads the newest route table.
    async fn read_table() -> ReadReply;
    /// Starts or ends the evacuation of a failure domain.
    async fn evacuate(order: Evacuation) -> EvacuationReply;
    /// Returns the evacuations of failure domains.
    async fn evacuations() -> EvacuationsReply;
    /// Takes an entry process's observations of requests that crash instances; returns the
    /// suspects of all entry processes.
    async fn report(report: Report) -> Suspects;
    /// Returns the entry hosts that a caller may use.
    async fn resolve(query: ResolveQuery) -> ResolveReply;
}

/// Served by each entry process to the others, for the services whose dispatcher it is.
#[tarpc::service]
pub trait PlaceApi {
    /// Grants an instance for one attempt, or refuses for lack of capacity.
    async fn place(ask: crate::place::Ask) -> Placed;
    /// Reports the end of an attempt at a granted instance.
    async fn ended(end: Ended);
    /// Grants permits for requests of a workspace whose quota the process holds.
    async fn acquire(ask: Acquire) -> Permits;
    /// Sends tokens to the holder of another failure domain; they are deducted before.
    async fn transfer(ask: Transfer) -> TransferReply;
    /// Takes back permits whose requests were not run.
    async fn give_back(permits: GiveBack);
}
