//! What this replica serves to directories, gateways and operators.

use std::time::Duration;

use ledger::Bounds;
use ledger::Key;
use ledger::bounds::MAX_CLAIM_ID;
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

use crate::input::Driver;
use crate::input::Input;
use crate::input::View;
use crate::leader_client::LeaderClient;
use crate::link;
use crate::partition::Partition;
use crate::settings::Timing;

/// Longest time that a follow is held.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// How long a new replica may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// The service, one clone a request.
#[derive(Clone)]
pub struct ControlServer {
    /// The task that decides.
    pub driver: Driver,
    /// Brings requests to the leader.
    pub leader_client: LeaderClient,
    /// The catalogue as applied here.
    pub views: watch::Receiver<View>,
    /// Times.
    pub timing: Timing,
    /// Where tests cut the links.
    pub partition: Partition,
    /// Set when the process stops: nothing is held any more.
    pub stopping: CancellationToken,
    /// The log.
    pub log: Logger,
}

impl ControlServer {
    /// Whether a quorum has confirmed, after the call, that what is applied here is current.
    async fn confirm(&self) -> bool {
        let end = Instant::now() + self.timing.election * 2;
        tokio::select! {
            () = self.stopping.cancelled() => false,
            confirmed = self.driver.confirm(end) => confirmed,
        }
    }

    /// Waits until the catalogue here is newer than `have`.
    async fn wait(&self, have: u64, end: Instant) {
        let mut views = self.views.clone();
        let newer = views.wait_for(|view| view.catalogue.version > have);
        tokio::select! {
            () = self.stopping.cancelled() => {}
            _ = tokio::time::timeout_at(end, newer) => {}
        }
    }

    async fn ledger(&self, kind: command::Kind) -> Option<Kind> {
        let command = Command { kind: Some(kind) };
        let ask = Ask {
            kind: Some(ask::Kind::Ledger(command)),
        };
        self.leader_client.ask(&ask).await.ok()
    }

    /// The replica at the address says its id and failure domain itself.
    async fn complete(&self, replica: Replica) -> Option<Replica> {
        if replica.id != 0 && !replica.domain.is_empty() && !replica.region.is_empty() {
            return Some(replica);
        }
        let link = link::replica(replica.address.parse().ok()?);
        let ask = Hello { initial: vec![] };
        let reply = link::hello(&link, &self.partition, ask, HELLO_TIMEOUT).await;
        let found = reply.ok()?.replica?;
        let same = replica.id == 0 || replica.id == found.id;
        same.then_some(Replica {
            address: replica.address,
            ..found
        })
    }
}

impl ControlApi for ControlServer {
    async fn propose(self, _: Context, change: Change) -> ChangeReply {
        let ask = Ask {
            kind: Some(ask::Kind::Change(change)),
        };
        match self.leader_client.ask(&ask).await {
            Ok(Kind::Change(reply)) => reply,
            _ => ChangeReply {
                kind: Some(change_reply::Kind::Uncertain(Uncertain {})),
            },
        }
    }

    async fn follow(self, _: Context, ask: Follow) -> FollowReply {
        let wait = Duration::from_millis(ask.wait_ms.into()).min(MAX_WAIT);
        let end = Instant::now() + wait;
        let confirmed = self.confirm().await;
        if confirmed {
            self.wait(ask.have, end).await;
        }
        let catalogue = self.views.borrow().catalogue.clone();
        FollowReply {
            confirmed,
            version: catalogue.version,
            catalogue: (catalogue.version > ask.have).then(|| (*catalogue).clone()),
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
                let Some(replica) = self.complete(replica).await else {
                    return refused("the replica at the address doesn't answer as this one");
                };
                Some(membership::Kind::Add(replica))
            }
            kind => kind,
        };
        info!(self.log, "membership asked"; "change" => format!("{kind:?}"));
        let ask = Ask {
            kind: Some(ask::Kind::Membership(Membership { kind })),
        };
        match self.leader_client.ask(&ask).await {
            Ok(Kind::Membership(reply)) => reply,
            _ => refused("no leader answered in time; ask again"),
        }
    }

    async fn claim(self, _: Context, claim: Claim) -> ClaimReply {
        let known = Key::read(&claim.service, &claim.caller, &claim.key).is_some();
        if !known || claim.claim_id.len() > MAX_CLAIM_ID {
            return claim_reply(claim_reply::Kind::Refused(Refused {
                refusal: Refusal::Form.into(),
            }));
        }
        match self.ledger(command::Kind::Claim(claim)).await {
            Some(Kind::Claim(reply)) => reply,
            _ => claim_reply(claim_reply::Kind::Unreachable(Unreachable {})),
        }
    }

    async fn settle(self, _: Context, mut settle: Settle) -> SettleReply {
        if settle.claim_id.len() > MAX_CLAIM_ID {
            return SettleReply { recorded: false };
        }
        // The ledger would drop a long answer, so the log needn't carry it.
        if let Some(answer) = &mut settle.answer
            && answer.body.len() > Bounds::default().body
        {
            answer.body.clear();
            answer.omitted = true;
        }
        match self.ledger(command::Kind::Settle(settle)).await {
            Some(Kind::Settle(reply)) => reply,
            _ => SettleReply { recorded: false },
        }
    }
}

fn claim_reply(kind: claim_reply::Kind) -> ClaimReply {
    ClaimReply { kind: Some(kind) }
}

fn refused(reason: &str) -> MembershipReply {
    MembershipReply {
        kind: Some(membership_reply::Kind::Refused(MembershipRefused {
            reason: reason.to_owned(),
        })),
    }
}
