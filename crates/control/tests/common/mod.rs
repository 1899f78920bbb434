//! Clients, groups and sample requests for tests of control replicas.
#![allow(dead_code, reason = "each test binary uses its own part")]

pub mod process;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use control::Control;
use control::Settings;
use control::group;
use wire::api::ControlApiClient;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::catalogue::Class;
use wire::catalogue::Edit;
use wire::catalogue::Entry;
use wire::catalogue::HistoryItem;
use wire::catalogue::Limits;
use wire::catalogue::change_reply;
use wire::catalogue::edit;
use wire::control::Follow;
use wire::control::FollowReply;
use wire::control::HistoryQuery;
use wire::control::Membership;
use wire::control::Status;
use wire::control::membership;
use wire::control::membership_reply;
use wire::ledger::Answer;
use wire::ledger::Claim;
use wire::ledger::Settle;
use wire::ledger::Settled;
use wire::ledger::claim_reply;
use wire::link::LinkError;
use wire::link::within;
use wire::peer;
use wire::peer::ControlLink;

/// Time limit for a condition that must eventually hold.
pub const TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between checks of such a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Creates an empty folder for a test.
pub fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("folder");
    path
}

/// Starts a group and returns the settings for restarting each replica.
pub async fn start(name: &str, count: usize) -> (Vec<Settings>, Vec<Control>) {
    start_with(name, count, |_| {}).await
}

/// Like [`start`], with settings modified by `change`.
pub async fn start_with(
    name: &str,
    count: usize,
    change: impl Fn(&mut Settings),
) -> (Vec<Settings>, Vec<Control>) {
    let mut settings = group::local(&folder(name), count).expect("settings");
    settings.iter_mut().for_each(change);
    let replicas = group::start(&mut settings, &telemetry::log::silent())
        .await
        .expect("starts");
    (settings, replicas)
}

/// Restarts a replica from its data folder.
pub async fn restart(settings: &Settings) -> Control {
    control::start(settings.clone(), telemetry::log::silent())
        .await
        .expect("starts again")
}

/// A client of a replica.
pub struct Client {
    link: ControlLink,
}

impl Client {
    /// Creates a client, which connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            link: peer::control(address),
        }
    }

    /// The connected client.
    pub async fn api(&self) -> Result<ControlApiClient, LinkError> {
        self.link.client().await
    }

    /// Proposes a change once. After an error its outcome is unknown.
    pub async fn propose(&self, change: &Change) -> Result<change_reply::Kind, LinkError> {
        let api = self.api().await?;
        let result = api.propose(within(TIMEOUT), change.clone()).await;
        let reply: ChangeReply = self.link.check_result(result)?;
        Ok(reply.kind.expect("a reply has a kind"))
    }

    /// Proposes a change until its outcome is known.
    pub async fn propose_with_retry(&self, change: &Change) -> change_reply::Kind {
        let attempts = async {
            loop {
                match self.propose(change).await {
                    Ok(change_reply::Kind::Uncertain(_)) | Err(_) => {
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                    Ok(kind) => return kind,
                }
            }
        };
        tokio::time::timeout(TIMEOUT, attempts)
            .await
            .expect("a certain answer")
    }

    /// Sends a follow request.
    pub async fn follow(&self, have: u64, wait_ms: u32) -> Result<FollowReply, LinkError> {
        let api = self.api().await?;
        let result = api.follow(within(TIMEOUT), Follow { have, wait_ms }).await;
        self.link.check_result(result)
    }

    /// Follows until a version of at least `version` is confirmed.
    pub async fn wait_for_version(&self, version: u64) -> FollowReply {
        let attempts = async {
            loop {
                match self.follow(0, 0).await {
                    Ok(reply) if reply.confirmed && reply.version >= version => return reply,
                    _ => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
        };
        tokio::time::timeout(TIMEOUT, attempts)
            .await
            .expect("the version is reached")
    }

    /// Sends a claim once.
    pub async fn claim(&self, claim: &Claim) -> Result<claim_reply::Kind, LinkError> {
        let api = self.api().await?;
        let result = api.claim(within(TIMEOUT), claim.clone()).await;
        let reply = self.link.check_result(result)?;
        Ok(reply.kind.expect("a reply has a kind"))
    }

    /// Repeats a claim until a quorum answers it.
    pub async fn claim_with_retry(&self, claim: &Claim) -> claim_reply::Kind {
        let attempts = async {
            loop {
                match self.claim(claim).await {
                    Ok(claim_reply::Kind::Unreachable(_)) | Err(_) => {
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                    Ok(kind) => return kind,
                }
            }
        };
        tokio::time::timeout(TIMEOUT, attempts)
            .await
            .expect("a certain answer")
    }

    /// Repeats a settlement until it is recorded.
    pub async fn settle_with_retry(&self, settle: &Settle) {
        let attempts = async {
            loop {
                let api = self.api().await;
                if let Ok(api) = api {
                    let result = api.settle(within(TIMEOUT), settle.clone()).await;
                    if self.link.check_result(result).is_ok_and(|r| r.recorded) {
                        return;
                    }
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, attempts)
            .await
            .expect("recorded");
    }

    /// Requests a membership change once.
    pub async fn change_group(
        &self,
        kind: membership::Kind,
    ) -> Result<membership_reply::Kind, LinkError> {
        let api = self.api().await?;
        let ask = Membership { kind: Some(kind) };
        let result = api.change_membership(within(TIMEOUT), ask).await;
        let reply = self.link.check_result(result)?;
        Ok(reply.kind.expect("a reply has a kind"))
    }

    /// Repeats a membership change until it is done.
    pub async fn change_group_with_retry(&self, kind: membership::Kind) {
        let attempts = async {
            loop {
                let reply = self.change_group(kind.clone()).await;
                if matches!(reply, Ok(membership_reply::Kind::Done(_))) {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, attempts).await.expect("done");
    }

    /// All accepted changes.
    pub async fn history(&self) -> Vec<HistoryItem> {
        let mut items: Vec<HistoryItem> = Vec::new();
        loop {
            let from = items.last().map_or(0, |item| item.version + 1);
            let query = HistoryQuery { from, most: 256 };
            let api = self.api().await.expect("connects");
            let result = api.history(within(TIMEOUT), query).await;
            let page = self.link.check_result(result).expect("history").items;
            if page.is_empty() {
                return items;
            }
            items.extend(page);
        }
    }

    /// The status of the replica.
    pub async fn status(&self) -> Result<Status, LinkError> {
        let api = self.api().await?;
        self.link.check_result(api.status(within(TIMEOUT)).await)
    }
}

/// A claim of `key` with an id made from `number`.
pub fn claim(key: &str, number: u8, hold_ms: u32) -> Claim {
    Claim {
        service: "grants".into(),
        caller: "site-7".into(),
        key: key.into(),
        digest: 7,
        claim_id: vec![number; 16].into(),
        hold_ms,
    }
}

/// A settlement that records a claim as done with the answer `body`.
pub fn done(claim: &Claim, body: &'static [u8]) -> Settle {
    Settle {
        service: claim.service.clone(),
        caller: claim.caller.clone(),
        key: claim.key.clone(),
        claim_id: claim.claim_id.clone(),
        settled: Settled::Done.into(),
        answer: Some(Answer {
            status: 200,
            content_type: "text/plain".into(),
            body: body.into(),
            digest: ledger::record::digest(body),
            omitted: false,
        }),
    }
}

/// Waits until all replicas agree on a leader and returns its index.
pub async fn leader(clients: &[Client]) -> usize {
    let attempts = async {
        loop {
            if let Some(found) = find_leader(clients).await {
                return found;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, attempts)
        .await
        .expect("a leader")
}

async fn find_leader(clients: &[Client]) -> Option<usize> {
    let mut ids = Vec::new();
    let mut leaders = Vec::new();
    for client in clients {
        let status = client.status().await.ok()?;
        ids.push(status.id);
        leaders.push(status.leader);
    }
    let first = leaders[0];
    let agreed = leaders.iter().all(|l| *l == first);
    ids.iter().position(|id| agreed && *id == first)
}

/// Clients of the replicas.
pub fn clients(replicas: &[Control]) -> Vec<Client> {
    replicas.iter().map(|r| Client::new(r.rpc())).collect()
}

/// A change that adds or replaces one service.
pub fn change(id: &str, base: u64, service: &str) -> Change {
    Change {
        id: id.into(),
        base,
        author: "operator".into(),
        edits: vec![Edit {
            kind: Some(edit::Kind::Put(entry(service))),
        }],
    }
}

/// A valid catalogue entry.
pub fn entry(service: &str) -> Entry {
    Entry {
        service: service.into(),
        owner: "owner".into(),
        class: Class::Urgent.into(),
        limits: Some(Limits {
            concurrency: 60,
            queue: 60,
            deadline_ms: 2_000,
            body_bytes: 65_536,
            retry_percent: 10,
            probe_millis: 1_000,
        }),
    }
}

/// The version of an accepted change; panics on any other reply.
pub fn accepted(kind: &change_reply::Kind) -> u64 {
    match kind {
        change_reply::Kind::Accepted(accepted) => accepted.version,
        other => panic!("not accepted: {other:?}"),
    }
}
