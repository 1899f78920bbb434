//! A directory that says what the test sets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::StreamExt;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use wire::api::DirectoryApi;
use wire::api::DirectoryApiRequest;
use wire::api::DirectoryApiResponse;
use wire::catalogue::Catalogue;
use wire::catalogue::Class;
use wire::catalogue::Entry;
use wire::catalogue::Limits;
use wire::directory::Exchange;
use wire::directory::Host;
use wire::directory::HostsReply;
use wire::directory::Instance;
use wire::directory::InstanceChange;
use wire::directory::InstancesReply;
use wire::directory::Phase;
use wire::directory::Sync;
use wire::directory::SyncReply;

/// What the directory knows and has heard.
#[derive(Default)]
pub struct State {
    pub catalogue: Catalogue,
    pub confirmed: bool,
    pub instances: Vec<InstanceChange>,
    pub cursor: u64,
    pub heard: Vec<Host>,
}

/// The directory while it is served.
#[derive(Clone)]
pub struct FakeDirectory {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
}

/// Services of all classes, each named after its class.
pub fn catalogue(version: u64) -> Catalogue {
    let classes = [
        ("urgent", Class::Urgent),
        ("once", Class::Once),
        ("durable", Class::Durable),
        ("deferred", Class::Deferred),
    ];
    Catalogue {
        version,
        entries: classes.map(|(name, class)| entry(name, class)).to_vec(),
        gateways: vec!["host-1".into()],
    }
}

fn entry(name: &str, class: Class) -> Entry {
    Entry {
        service: name.into(),
        owner: "tests".into(),
        class: class.into(),
        limits: Some(Limits {
            concurrency: 64,
            queue: 64,
            deadline_ms: 5_000,
            body_bytes: 1024 * 1024,
            retry_percent: 10,
            probe_millis: 0,
        }),
    }
}

/// An instance of `service` at `address`.
pub fn instance(service: &str, id: &str, address: SocketAddr, phase: Phase) -> InstanceChange {
    InstanceChange {
        instance: Some(Instance {
            service: service.into(),
            id: id.into(),
            address: address.to_string(),
            domain: "milano".into(),
            slots: 6,
            connections: 250,
            phase: phase.into(),
            incarnation: 1,
            sequence: 1,
        }),
        gone: false,
    }
}

impl FakeDirectory {
    /// A directory that names `upstream` for every service, and confirms.
    pub async fn start(upstream: SocketAddr) -> Self {
        let services = ["urgent", "once", "durable", "deferred"];
        let instances = services.map(|s| instance(s, "i-1", upstream, Phase::Ready));
        let state = State {
            catalogue: catalogue(1),
            confirmed: true,
            instances: instances.to_vec(),
            cursor: 1,
            heard: Vec::new(),
        };
        Self::serve(state).await
    }

    pub async fn serve(state: State) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut incoming = wire::link::listen::<
            ClientMessage<DirectoryApiRequest>,
            Response<DirectoryApiResponse>,
        >(any)
        .await
        .expect("a free port");
        let directory = Self {
            address: incoming.local_addr(),
            state: Arc::new(Mutex::new(state)),
        };
        let server = directory.clone();
        tokio::spawn(async move {
            while let Some(Ok(transport)) = incoming.next().await {
                let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
                tokio::spawn(calls.for_each(|call| async {
                    tokio::spawn(call);
                }));
            }
        });
        directory
    }

    /// Changes what the directory knows; the next poll carries all of it.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.lock().expect("no panic");
        change(&mut state);
        state.cursor += 1;
    }

    /// Changes the limits of every service, as a new version.
    pub fn limit(&self, change: impl Fn(&mut Limits)) {
        self.change(|state| {
            state.catalogue.version += 1;
            let entries = state.catalogue.entries.iter_mut();
            entries.filter_map(|e| e.limits.as_mut()).for_each(change);
        });
    }

    /// Whether a gateway has said something that fits `check`.
    pub fn has_heard(&self, check: impl Fn(&Host) -> bool) -> bool {
        self.state.lock().expect("no panic").heard.iter().any(check)
    }
}

impl DirectoryApi for FakeDirectory {
    async fn sync(self, _: Context, ask: Sync) -> SyncReply {
        let reply = {
            let mut state = self.state.lock().expect("no panic");
            state.heard.extend(ask.host);
            // An older one is sent too: the gateway itself must refuse it.
            let newer = state.catalogue.version != ask.have;
            let changed = state.cursor != ask.cursor;
            SyncReply {
                catalogue: newer.then(|| state.catalogue.clone()),
                confirmed: if state.confirmed {
                    state.catalogue.version
                } else {
                    0
                },
                confirmed_age_ms: 0,
                epoch: 1,
                cursor: state.cursor,
                whole: changed,
                changes: if changed {
                    state.instances.clone()
                } else {
                    Vec::new()
                },
            }
        };
        if reply.catalogue.is_none() && !reply.whole {
            tokio::time::sleep(Duration::from_millis(ask.wait_ms.into())).await;
        }
        reply
    }

    async fn exchange(self, _: Context, push: Exchange) -> Exchange {
        push
    }

    async fn hosts(self, _: Context) -> HostsReply {
        HostsReply::default()
    }

    async fn instances(self, _: Context) -> InstancesReply {
        InstancesReply::default()
    }
}
