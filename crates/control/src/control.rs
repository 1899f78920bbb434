//! The service for directories, gateways and operators.

use std::time::Duration;

use ledger::Key;
use ledger::Limits;
use ledger::limits::MAX_CLAIM_ID;
use slog::Logger;
use slog::info;
use tarpc::context::Context;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::api::ControlApi;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::catalogue::History;
use wire::catalogue::Uncertain;
use wire::catalogue::change_reply;
use wire::control::Follow;
use wire::control::FollowReply;
use wire::control::HistoryQuery;
use wire::control::Membership;
use wire::control::MembershipRefused;
use wire::control::MembershipReply;
use wire::control::Replica;
use wire::control::Status;
use wire::control::membership;
use wire::control::membership_reply;
use wire::ledger::Claim;
use wire::ledger::ClaimReply;
use wire::ledger::Command;
use wire::ledger::Refusal;
use wire::ledger::Refused;
use wire::ledger::Settle;
use wire::ledger::SettleReply;
use wire::ledger::Unreachable;
use wire::ledger::claim_reply;
use wire::ledger::command;
use wire::replica::Ask;
use wire::replica::Hello;
use wire::replica::ask;
use wire::replica::ask_reply::Kind;

use crate::input::DriverHandle;
use crate::input::Input;
use crate::input::View;
use crate::leader_client::LeaderClient;
use crate::link;
use crate::partition::Partition;
use crate::settings::Timing;

/// Maximum time that a follow request waits for a newer catalogue.
const MAX_FOLLOW_WAIT: Duration = Duration::from_secs(30);
/// Time limit for a new replica to return its identity.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// The service implementation, cloned for each request.
#[derive(Clone)]
pub struct ControlServer {
    /// Handle of the driver task.
    pub driver: DriverHandle,
    /// Sends requests to the leader.
    pub leader_client: LeaderClient,
    /// The state applied by this replica.
    pub views: watch::Receiver<View>,
    /// Timeouts.
    pub timing: Timing,
    /// Simulated network partition, for tests.
    pub partition: Partition,
    /// Cancelled when the process stops; waiting follow requests then return at once.
    pub stopping: CancellationToken,
    /// Logger.
    pub log: Logger,
}

impl ControlServer {
    /// Whether a quorum has confirmed, after the call, that the applied state is current.
    async fn confirm(&self) -> bool {
        let deadline = Instant::now() + self.timing.election * 2;
        tokio::select! {
            () = self.stopping.cancelled() => false,
            confirmed = self.driver.confirm(deadline) => confirmed,
        }
    }

    /// Waits until the applied catalogue is newer than version `have`, or until `deadline`.
    async fn wait_for_newer(&self, have: u64, deadline: Instant) {
        let mut views = self.views.clone();
        let has_newer = views.wait_for(|view| view.catalogue.version > have);
        tokio::select! {
            () = self.stopping.cancelled() => {}
            _ = tokio::time::timeout_at(deadline, has_newer) => {}
        }
    }

    async fn request_ledger(&self, kind: command::Kind) -> Option<Kind> {
        let command = Command { kind: Some(kind) };
        let request = Ask {
            kind: Some(ask::Kind::Ledger(command)),
        };
        self.leader_client.request(&request).await.ok()
    }

    /// Fills in the id, failure domain and region of a replica by asking it at its address.
    /// Returns `None` when it does not answer or has another id than the given one.
    async fn resolve_identity(&self, replica: Replica) -> Option<Replica> {
        if replica.id != 0 && !replica.domain.is_empty() && !replica.region.is_empty() {
            return Some(replica);
        }
        let link = link::replica(replica.address.parse().ok()?);
        let request = Hello { initial: vec![] };
        let reply = link::hello(&link, &self.partition, request, HELLO_TIMEOUT).await;
        let found = reply.ok()?.replica?;
        let id_matches = replica.id == 0 || replica.id == found.id;
        id_matches.then_some(Replica {
            address: replica.address,
            ..found
        })
    }
}

impl ControlApi for ControlServer {
    async fn propose(self, _: Context, change: Change) -> ChangeReply {
        let request = Ask {
            kind: Some(ask::Kind::Change(change)),
        };
        match self.leader_client.request(&request).await {
            Ok(Kind::Change(reply)) => reply,
            _ => ChangeReply {
                kind: Some(change_reply::Kind::Uncertain(Uncertain {})),
            },
        }
    }

    async fn follow(self, _: Context, request: Follow) -> FollowReply {
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_FOLLOW_WAIT);
        let deadline = Instant::now() + wait;
        let confirmed = self.confirm().await;
        if confirmed {
            self.wait_for_newer(request.have, deadline).await;
        }
        let catalogue = self.views.borrow().catalogue.clone();
        FollowReply {
            confirmed,
            version: catalogue.version,
            catalogue: (catalogue.version > request.have).then(|| (*catalogue).clone()),
        }
    }

    async fn history(self, _: Context, query: HistoryQuery) -> History {
        let reply = self.driver.call(|r| Input::History(query, r)).await;
        reply.unwrap_or_default()
    }

    async fn status(self, _: Context) -> Status {
        self.driver.call(Input::Status).await.unwrap_or_default()
    }

    async fn change_membership(self, _: Context, change: Membership) -> MembershipReply {
        let kind = match change.kind {
            Some(membership::Kind::Add(replica)) => {
                let Some(replica) = self.resolve_identity(replica).await else {
                    return membership_refused("no replica with this id answered at the address");
                };
                Some(membership::Kind::Add(replica))
            }
            kind => kind,
        };
        info!(self.log, "membership asked"; "change" => format!("{kind:?}"));
        let request = Ask {
            kind: Some(ask::Kind::Membership(Membership { kind })),
        };
        match self.leader_client.request(&request).await {
            Ok(Kind::Membership(reply)) => reply,
            _ => membership_refused("no leader answered in time; retry the request"),
        }
    }

    async fn claim(self, _: Context, claim: Claim) -> ClaimReply {
        let valid_key = Key::from_parts(&claim.service, &claim.caller, &claim.key).is_some();
        if !valid_key || claim.claim_id.len() > MAX_CLAIM_ID {
            return claim_reply(claim_reply::Kind::Refused(Refused {
                refusal: Refusal::Form.into(),
            }));
        }
        match self.request_ledger(command::Kind::Claim(claim)).await {
            Some(Kind::Claim(reply)) => reply,
            _ => claim_reply(claim_reply::Kind::Unreachable(Unreachable {})),
        }
    }

    async fn settle(self, _: Context, mut settle: Settle) -> SettleReply {
        if settle.claim_id.len() > MAX_CLAIM_ID {
            return SettleReply { recorded: false };
        }
        // The ledger does not store answers over its limit, so the log need not contain them.
        if let Some(answer) = &mut settle.answer
            && answer.body.len() > Limits::default().max_body_bytes
        {
            answer.body.clear();
            answer.omitted = true;
        }
        match self.request_ledger(command::Kind::Settle(settle)).await {
            Some(Kind::Settle(reply)) => reply,
            _ => SettleReply { recorded: false },
        }
    }
}

fn claim_reply(kind: claim_reply::Kind) -> ClaimReply {
    ClaimReply { kind: Some(kind) }
}

fn membership_refused(reason: &str) -> MembershipReply {
    MembershipReply {
        kind: Some(membership_reply::Kind::Refused(MembershipRefused {
            reason: reason.to_owned(),
        })),
    }
}
