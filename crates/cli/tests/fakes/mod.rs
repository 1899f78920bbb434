//! Fake daemons for the tests of `rwrctl`: the real interfaces over TCP, with replies from memory.

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
use wire::directory::CrashReport;
use wire::directory::Exchange;
use wire::directory::HostsReply;
use wire::directory::InstancesReply;
use wire::directory::Sync;
use wire::directory::SyncReply;
use wire::gateway::DrainReply;
use wire::gateway::Explain;
use wire::gateway::ExplainReply;
use wire::hub::Suspects;
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

/// The replies of the fake daemons, and the changes that they received.
#[derive(Default)]
pub struct ServerState {
    /// Applies changes as control does.
    pub state: State,
    /// How many replies to changes are still to be replaced by an uncertain one.
    pub lost_replies: u32,
    /// Whether no majority confirms a version.
    pub no_majority: bool,
    /// Every change received.
    pub changes: Vec<Change>,
    /// The reply to a membership change.
    pub membership: MembershipReply,
    pub status: Status,
    pub hosts: HostsReply,
    pub instances: InstancesReply,
    pub suspects: Suspects,
    pub explain: ExplainReply,
}

/// A fake process that serves all three interfaces.
#[derive(Clone, Default)]
pub struct Fake(Arc<Mutex<ServerState>>);

impl Fake {
    /// A fake whose catalogue has one accepted change, [`FILE`].
    pub fn filled() -> Self {
        let fake = Self::default();
        let file = catalogue::file::parse("c", FILE).expect("a good file");
        let mut server = fake.lock();
        let edits = catalogue::diff::edits(&server.state.catalogue(), &file.catalogue);
        server.state.apply(&Change {
            id: "a-1".into(),
            base: 0,
            author: "anna".into(),
            edits,
        });
        drop(server);
        fake
    }

    pub fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.0
            .lock()
            .expect("no test panics while it holds the lock")
    }
}

/// Serves one interface of `$fake` and returns its address.
macro_rules! listen {
    ($api:ident, $fake:expr) => {{
        let incoming = wire::link::listen(fakes::any_port())
            .await
            .expect("a free port");
        let address = incoming.local_addr();
        let serve = wire::api::$api::serve($fake.clone());
        tokio::spawn(incoming.for_each_concurrent(None, move |channel| {
            let channel = BaseChannel::with_defaults(channel.expect("a channel"));
            fakes::serve_requests(channel.execute(serve.clone()))
        }));
        address
    }};
}
pub(crate) use listen;

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub async fn serve_requests(requests: impl futures::Stream<Item = impl Future<Output = ()>>) {
    requests.for_each_concurrent(None, |answer| answer).await;
}

impl ControlApi for Fake {
    async fn propose(self, _: Context, change: Change) -> ChangeReply {
        let mut server = self.lock();
        server.changes.push(change.clone());
        let reply = server.state.apply(&change);
        if server.lost_replies == 0 {
            return reply;
        }
        server.lost_replies -= 1;
        ChangeReply {
            kind: Some(change_reply::Kind::Uncertain(Uncertain {})),
        }
    }

    async fn follow(self, _: Context, _: Follow) -> FollowReply {
        let server = self.lock();
        let catalogue = server.state.catalogue();
        FollowReply {
            confirmed: !server.no_majority,
            version: catalogue.version,
            catalogue: Some(catalogue.to_wire()),
        }
    }

    async fn history(self, _: Context, query: HistoryQuery) -> History {
        self.lock().state.history(query.from, query.most)
    }

    async fn status(self, _: Context) -> Status {
        self.lock().status.clone()
    }

    async fn change_membership(self, _: Context, _: Membership) -> MembershipReply {
        self.lock().membership.clone()
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

    async fn report(self, _: Context, _: CrashReport) -> Suspects {
        self.lock().suspects.clone()
    }

    async fn hosts(self, _: Context) -> HostsReply {
        self.lock().hosts.clone()
    }

    async fn instances(self, _: Context) -> InstancesReply {
        self.lock().instances.clone()
    }
}

impl GatewayApi for Fake {
    async fn explain(self, _: Context, _: Explain) -> ExplainReply {
        self.lock().explain.clone()
    }

    async fn drain(self, _: Context) -> DrainReply {
        DrainReply { in_flight: 3 }
    }
}

/// An address on which no process listens: its port is never chosen as a free one.
pub fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// How a command ended.
pub struct CommandResult {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

/// Runs a command line whose arguments are separated by spaces.
pub async fn rwrctl(line: &str) -> CommandResult {
    let args = line.split_whitespace().map(Into::into);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(args, &Defaults::default(), &mut out, &mut err)
        .await
        .expect("memory can be written");
    CommandResult {
        exit,
        out: String::from_utf8(out).expect("text"),
        err: String::from_utf8(err).expect("text"),
    }
}

/// Writes a file into the test run's folder.
pub fn write(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the test's folder can be written");
    path
}
