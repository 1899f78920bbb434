//! Clients and groups for the tests of the control replicas.
#![allow(dead_code, reason = "each test binary uses its own part")]

pub mod process;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use control::Control;
use control::Settings;
use control::group;
use tarpc::ClientMessage;
use tarpc::Response;
use wire::api::ControlApiClient;
use wire::api::ControlApiRequest;
use wire::api::ControlApiResponse;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::catalogue::Class;
use wire::catalogue::Edit;
use wire::catalogue::Entry;
use wire::catalogue::Limits;
use wire::catalogue::change_reply;
use wire::catalogue::edit;
use wire::control::Follow;
use wire::control::FollowReply;
use wire::control::Status;
use wire::link::Channel;
use wire::link::Link;
use wire::link::LinkError;
use wire::link::within;

/// Longer than any step of a test takes, for what must come in the end.
pub const PATIENCE: Duration = Duration::from_mins(1);
/// Between two looks at what must come in the end.
pub const PAUSE: Duration = Duration::from_millis(20);

/// A fresh folder for one test.
pub fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("folder");
    path
}

/// A started group with the settings to start each replica again.
pub async fn start(name: &str, count: usize) -> (Vec<Settings>, Vec<Control>) {
    let mut settings = group::local(&folder(name), count).expect("settings");
    let replicas = group::start(&mut settings, &telemetry::log::silent())
        .await
        .expect("starts");
    (settings, replicas)
}

/// Starts a replica again from its folder.
pub async fn restart(settings: &Settings) -> Control {
    control::start(settings.clone(), telemetry::log::silent())
        .await
        .expect("starts again")
}

/// A client of one replica.
pub struct Client {
    link: Link<ControlApiClient, Response<ControlApiResponse>, ClientMessage<ControlApiRequest>>,
}

impl Client {
    /// Connects when first used.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            link: Link::new(address, spawn),
        }
    }

    /// The connected client.
    pub async fn api(&self) -> Result<ControlApiClient, LinkError> {
        self.link.client().await
    }

    /// One proposal; an error is a lost answer.
    pub async fn propose(&self, change: &Change) -> Result<change_reply::Kind, LinkError> {
        let api = self.api().await?;
        let result = api.propose(within(PATIENCE), change.clone()).await;
        let reply: ChangeReply = self.link.judge(result)?;
        Ok(reply.kind.expect("a reply has a kind"))
    }

    /// Proposes until there is a certain answer.
    pub async fn propose_surely(&self, change: &Change) -> change_reply::Kind {
        let tries = async {
            loop {
                match self.propose(change).await {
                    Ok(change_reply::Kind::Uncertain(_)) | Err(_) => {
                        tokio::time::sleep(PAUSE).await;
                    }
                    Ok(kind) => return kind,
                }
            }
        };
        tokio::time::timeout(PATIENCE, tries)
            .await
            .expect("a certain answer")
    }

    /// One follow.
    pub async fn follow(&self, have: u64, wait_ms: u32) -> Result<FollowReply, LinkError> {
        let api = self.api().await?;
        let result = api.follow(within(PATIENCE), Follow { have, wait_ms }).await;
        self.link.judge(result)
    }

    /// Follows until `version` is confirmed.
    pub async fn reaches(&self, version: u64) -> FollowReply {
        let tries = async {
            loop {
                match self.follow(0, 0).await {
                    Ok(reply) if reply.confirmed && reply.version >= version => return reply,
                    _ => tokio::time::sleep(PAUSE).await,
                }
            }
        };
        tokio::time::timeout(PATIENCE, tries)
            .await
            .expect("the version is reached")
    }

    /// The replica's view of itself.
    pub async fn status(&self) -> Result<Status, LinkError> {
        let api = self.api().await?;
        self.link.judge(api.status(within(PATIENCE)).await)
    }
}

fn spawn(
    channel: Channel<Response<ControlApiResponse>, ClientMessage<ControlApiRequest>>,
) -> ControlApiClient {
    ControlApiClient::new(tarpc::client::Config::default(), channel).spawn()
}

/// Clients of all replicas.
pub fn clients(replicas: &[Control]) -> Vec<Client> {
    replicas.iter().map(|r| Client::new(r.rpc())).collect()
}

/// A change that puts one service.
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

/// An entry that is valid.
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

/// The version of an accepted change.
pub fn accepted(kind: &change_reply::Kind) -> u64 {
    match kind {
        change_reply::Kind::Accepted(accepted) => accepted.version,
        other => panic!("not accepted: {other:?}"),
    }
}
