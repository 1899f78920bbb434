//! Requests that are placed by another entry process, and dispatchers that fail.

mod fakes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base::prelude::*;
use entry::Dialect;
use entry::Entry;
use entry::Settings;
use entry::desk::Desk;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Caller;
use fakes::caller::call;
use fakes::instance;
use fakes::settings;
use fakes::table;
use fakes::upstream::Manner;
use fakes::upstream::Upstream;
use futures::StreamExt;
use route::LoadReport;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use wire::api::PlaceApi;
use wire::hub::EntryHost;
use wire::hub::Instance;
use wire::hub::Phase;
use wire::place::Ask;
use wire::place::Ended;
use wire::place::Kind;
use wire::place::Outcome;
use wire::place::Placed;

const FREE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const PATIENCE: Duration = Duration::from_mins(1);
const PAUSE: Duration = Duration::from_millis(10);

fn service() -> ServiceName {
    ServiceName::new("status").expect("a name")
}

/// An entry process that knows the table and these instances.
async fn start(rows: &[Instance]) -> Entry {
    let settings = Settings {
        place: Some(FREE),
        ..settings()
    };
    let log = telemetry::log::silent();
    let entry = Entry::start(settings, Dialect::default(), log).await;
    let entry = entry.expect("starts");
    entry.core().set_table(table(1));
    entry.core().apply_instances(HUB, rows, &[]);
    entry
}

fn place(entry: &Entry) -> SocketAddr {
    entry.core().settings().place.expect("bound")
}

/// Names the only process that may decide.
fn name(entry: &Entry, dispatcher: SocketAddr) {
    entry.core().set_hosts(vec![EntryHost {
        address: "127.0.0.1:1".into(),
        place: dispatcher.to_string(),
        ..EntryHost::default()
    }]);
}

fn desk<T>(entry: &Entry, ask: impl FnOnce(&mut Desk, Moment) -> T) -> T {
    entry.core().desk(&service(), ask).expect("a desk")
}

/// Tells the process that every instance has all slots taken.
fn make_busy(entry: &Entry) {
    let full = LoadReport {
        running: 6,
        waiting: 0,
        slots: 6,
        pace: 100,
    };
    desk(entry, |desk, now| {
        let picks = desk.picks(&["i-1".to_owned(), "i-2".to_owned()]);
        for pick in picks.iter().cycle().take(30) {
            desk.probed(now, *pick, Some(full));
        }
        assert!(desk.is_busy());
    });
}

/// Waits until so many grants are open.
async fn granted(entry: &Entry, count: usize) {
    let reached = async {
        while desk(entry, |desk, _| desk.grants()) != count {
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, reached)
        .await
        .expect("in the end");
}

#[tokio::test]
async fn test_placing_grant_lasts_as_long_as_the_attempt() {
    let upstream = Upstream::start("i-1", Manner::Hang).await;
    let rows = [instance(&upstream, "status")];
    let (asker, dispatcher) = (start(&rows).await, start(&rows).await);
    name(&asker, place(&dispatcher));
    name(&dispatcher, place(&dispatcher));
    make_busy(&asker);
    let mut caller = Caller::connect(asker.front()).await;
    caller.send("GET", READ, "r-1", "").await;
    upstream.reached(1).await;
    granted(&dispatcher, 1).await;
    // The caller leaves: the attempt is given up, and the dispatcher learns of it.
    drop(caller);
    upstream.left(1).await;
    granted(&dispatcher, 0).await;
    upstream.set(Manner::Answer);
    make_busy(&asker);
    let answer = call(asker.front(), "GET", READ, "r-2").await;
    assert_eq!(answer.status, 200);
    granted(&dispatcher, 0).await;
}

/// Every request is answered while nobody is at the address, or while connections are
/// taken there and nothing comes back: frozen, or cut off one way.
async fn costs_no_request(listens: bool) {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let asker = start(&[instance(&upstream, "status")]).await;
    let listener = TcpListener::bind(FREE).await.expect("binds");
    name(&asker, listener.local_addr().expect("an address"));
    let _kept = listens.then_some(listener);
    for n in 0..3 {
        make_busy(&asker);
        let answer = call(asker.front(), "POST", ONCE, &format!("r-{n}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(upstream.arrivals().len(), 3);
}

#[tokio::test]
async fn test_placing_dispatcher_that_is_gone_costs_no_request() {
    costs_no_request(false).await;
}

#[tokio::test]
async fn test_placing_silent_dispatcher_costs_no_request() {
    costs_no_request(true).await;
}

/// A dispatcher that was restarted, or hears nothing of the instances.
#[tokio::test]
async fn test_placing_dispatcher_that_knows_nothing_costs_no_request() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let asker = start(&[instance(&upstream, "status")]).await;
    let dispatcher = start(&[]).await;
    name(&asker, place(&dispatcher));
    make_busy(&asker);
    let answer = call(asker.front(), "GET", READ, "r-1").await;
    assert_eq!(answer.status, 200);
}

/// Grants what it is told to, and keeps what comes back.
#[derive(Clone)]
struct Fake {
    instance: &'static str,
    ended: Arc<Mutex<Vec<Kind>>>,
}

impl PlaceApi for Fake {
    async fn place(self, _: Context, _: Ask) -> Placed {
        Placed {
            outcome: Outcome::Granted.into(),
            grant: 7,
            instance: self.instance.into(),
            expected_us: 1_000,
            ..Placed::default()
        }
    }

    async fn ended(self, _: Context, end: Ended) {
        self.ended.lock().expect("whole").push(end.kind());
    }
}

impl Fake {
    async fn start(instance: &'static str) -> (Self, SocketAddr) {
        let fake = Self {
            instance,
            ended: Arc::default(),
        };
        let mut incoming = wire::link::listen(FREE).await.expect("binds");
        let address = incoming.local_addr();
        let served = fake.clone();
        tokio::spawn(async move {
            while let Some(Ok(channel)) = incoming.next().await {
                let serving = BaseChannel::with_defaults(channel).execute(served.clone().serve());
                tokio::spawn(serving.for_each(|question| async {
                    tokio::spawn(question);
                }));
            }
        });
        (fake, address)
    }

    async fn told(&self, kind: Kind) {
        let reached = async {
            while self.ended.lock().expect("whole").last() != Some(&kind) {
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(PATIENCE, reached)
            .await
            .expect("in the end");
    }
}

/// A grant is placement only: what this process knows of an instance goes first.
#[tokio::test]
async fn test_placing_instance_that_leaves_gets_nothing_whoever_grants_it() {
    let one = Upstream::start("i-1", Manner::Answer).await;
    let two = Upstream::start("i-2", Manner::Answer).await;
    let leaving = Instance {
        phase: Phase::Draining.into(),
        ..instance(&one, "status")
    };
    for granted in ["i-1", "i-9"] {
        let asker = start(&[leaving.clone(), instance(&two, "status")]).await;
        let (fake, address) = Fake::start(granted).await;
        name(&asker, address);
        make_busy(&asker);
        let answer = call(asker.front(), "POST", ONCE, "r-1").await;
        assert_eq!(answer.status, 200, "{granted}");
        fake.told(Kind::Cancelled).await;
    }
    assert_eq!((one.arrivals().len(), two.arrivals().len()), (0, 2));
}

#[tokio::test]
async fn test_placing_dispatcher_learns_how_the_attempt_ended() {
    let cases = [
        (Manner::Answer, Kind::Ok),
        (Manner::Fail, Kind::Error),
        (Manner::Shed, Kind::Shed),
        (Manner::Close, Kind::Error),
    ];
    for (manner, kind) in cases {
        let upstream = Upstream::start("i-1", manner).await;
        let asker = start(&[instance(&upstream, "status")]).await;
        let (fake, address) = Fake::start("i-1").await;
        name(&asker, address);
        make_busy(&asker);
        call(asker.front(), "POST", ONCE, "r-1").await;
        fake.told(kind).await;
    }
}
