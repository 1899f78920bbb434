//! Daemons for `rwrctl`'s tests: the real interfaces over TCP, answers from memory.

#![allow(dead_code, reason = "each test binary uses its own part")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use catalogue::State;
use cli::Defaults;
use cli::Exit;
use futures::StreamExt;
use tarpc::context::Context;
use wire::api::ControlApi;
use wire::api::DirectoryApi;
use wire::api::GatewayApi;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::catalogue::History;
use wire::catalogue::Uncertain;
use wire::catalogue::change_reply;
use wire::control::Follow;
use wire::control::FollowReply;
use wire::control::HistoryQuery;
use wire::control::Membership;
use wire::control::MembershipReply;
use wire::control::Status;
use wire::directory::Exchange;
use wire::directory::HostsReply;
use wire::directory::InstancesReply;
use wire::directory::Sync;
use wire::directory::SyncReply;
use wire::gateway::DrainReply;
use wire::gateway::Explain;
use wire::gateway::ExplainReply;
use wire::ledger::Claim;
use wire::ledger::ClaimReply;
use wire::ledger::Settle;
use wire::ledger::SettleReply;

/// A catalogue of one service and one gateway.
pub const FILE: &str = "\
[service grants]
owner = Ferrovie Alpine
class = once
concurrency = 42
queue = 84
deadline = 2s
body = 64KiB
retries = 10%
probes = 2/s

[gateway milano-1]
";

/// What the daemons answer, and what they were sent.
#[derive(Default)]
pub struct World {
    /// Judges changes as control does.
    pub state: State,
    /// Answers to changes that are lost after they were judged.
    pub lost: u32,
    /// Whether the majority is gone.
    pub cut: bool,
    /// Every change that came.
    pub changes: Vec<Change>,
    /// The answer to a change of the group.
    pub membership: MembershipReply,
    pub status: Status,
    pub hosts: HostsReply,
    pub instances: InstancesReply,
    pub explain: ExplainReply,
}

/// One process that serves all three interfaces.
#[derive(Clone, Default)]
pub struct Fake(Arc<Mutex<World>>);

impl Fake {
    pub fn world(&self) -> MutexGuard<'_, World> {
        self.0
            .lock()
            .expect("no test panics while it holds the world")
    }
}

/// Serves one interface of `$fake`; gives the address.
macro_rules! listen {
    ($api:ident, $fake:expr) => {{
        let incoming = wire::link::listen(fakes::any()).await.expect("a free port");
        let address = incoming.local_addr();
        let serve = wire::api::$api::serve($fake.clone());
        tokio::spawn(incoming.for_each_concurrent(None, move |channel| {
            let channel = BaseChannel::with_defaults(channel.expect("a channel"));
            fakes::converse(channel.execute(serve.clone()))
        }));
        address
    }};
}
pub(crate) use listen;

pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub async fn converse(requests: impl futures::Stream<Item = impl Future<Output = ()>>) {
    requests.for_each_concurrent(None, |answer| answer).await;
}

impl ControlApi for Fake {
    async fn propose(self, _: Context, change: Change) -> ChangeReply {
        let mut world = self.world();
        world.changes.push(change.clone());
        let reply = world.state.apply(&change);
        if world.lost == 0 {
            return reply;
        }
        world.lost -= 1;
        ChangeReply {
            kind: Some(change_reply::Kind::Uncertain(Uncertain {})),
        }
    }

    async fn follow(self, _: Context, _: Follow) -> FollowReply {
        let world = self.world();
        let catalogue = world.state.catalogue();
        FollowReply {
            confirmed: !world.cut,
            version: catalogue.version,
            catalogue: Some(catalogue.to_wire()),
        }
    }

    async fn history(self, _: Context, query: HistoryQuery) -> History {
        self.world().state.history(query.from, query.most)
    }

    async fn status(self, _: Context) -> Status {
        self.world().status.clone()
    }

    async fn change_membership(self, _: Context, _: Membership) -> MembershipReply {
        self.world().membership.clone()
    }

    async fn claim(self, _: Context, _: Claim) -> ClaimReply {
        ClaimReply::default()
    }

    async fn settle(self, _: Context, _: Settle) -> SettleReply {
        SettleReply::default()
    }
}

impl DirectoryApi for Fake {
    async fn sync(self, _: Context, _: Sync) -> SyncReply {
        SyncReply::default()
    }

    async fn exchange(self, _: Context, _: Exchange) -> Exchange {
        Exchange::default()
    }

    async fn hosts(self, _: Context) -> HostsReply {
        self.world().hosts.clone()
    }

    async fn instances(self, _: Context) -> InstancesReply {
        self.world().instances.clone()
    }
}

impl GatewayApi for Fake {
    async fn explain(self, _: Context, _: Explain) -> ExplainReply {
        self.world().explain.clone()
    }

    async fn drain(self, _: Context) -> DrainReply {
        DrainReply { in_flight: 3 }
    }
}

/// An address of this host where nobody listens.
pub fn nobody() -> SocketAddr {
    let listener = std::net::TcpListener::bind(any()).expect("a free port");
    listener.local_addr().expect("its address")
}

/// How a command ended.
pub struct Ended {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

/// Runs a command line, its words apart by spaces.
pub async fn rwrctl(line: &str) -> Ended {
    let args = line.split_whitespace().map(Into::into);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(args, &Defaults::default(), &mut out, &mut err)
        .await
        .expect("memory can be written");
    Ended {
        exit,
        out: String::from_utf8(out).expect("text"),
        err: String::from_utf8(err).expect("text"),
    }
}

/// Writes a file of this test run.
pub fn write(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the test's folder can be written");
    path
}
