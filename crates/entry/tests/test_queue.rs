//! How a balancer treats the requests that wait for capacity.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admit::Waiting;
use base::prelude::*;
use conf::Reader;
use dispatch::DispatcherLocation;
use entry::Settings;
use entry::balancer::Balancer;
use entry::balancer::FairSelection;
use entry::balancer::Offer;
use entry::balancer::Selection;
use entry::pool::Pool;
use entry::settings::Retry;
use entry::settings::SharedBudgets;
use entry::view::InstanceStatus;
use entry::view::Upstream;
use route::DomainIndex;
use route::Evidence;
use route::LoadReport;
use route::Need;
use route::OutcomeKind;
use route::Pick;
use tokio::sync::oneshot::Receiver;
use wire::hub::Phase;

const NEED: Need = Need {
    work: Duration::from_millis(100),
    aim: Duration::from_millis(400),
    crossing: 0.0,
    max_occupancy: 1.0,
    domain_index: DomainIndex::OWN,
    evidence: Evidence::Any,
};

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn report(running: u32) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: 1,
        pace: 100,
    }
}

fn of(workspace: &str, patience: u64) -> Waiting {
    Waiting {
        workspace: WorkspaceName::new(workspace).ok(),
        ..Waiting::new(0, at(patience))
    }
}

/// A balancer of one instance with one slot, which takes a request for 100 ms ten times.
fn balancer(location: DispatcherLocation) -> (Balancer, Pick) {
    let domain = DomainName::new("a").expect("a name");
    let shared = SharedBudgets {
        retry: Retry::default(),
        probes: 60,
        entries: 16,
    };
    let mut balancer = Balancer::new(domain.clone(), &shared, 1, at(0));
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let upstream = Arc::new(Upstream {
        id: InstanceId::new("i-1").expect("a name"),
        incarnation: 0,
        service: ServiceName::new("s").expect("a name"),
        address,
        domain,
        slots: 1,
        cold: Duration::ZERO,
        pool: Pool::new(address),
    });
    let status = InstanceStatus {
        phase: Phase::Ready,
        silent: false,
        upstream: &upstream,
    };
    balancer.update(at(0), [status].into_iter());
    balancer.set_dispatcher_location(at(0), location);
    let pick = balancer.picks(&["i-1".to_owned()])[0];
    for turn in 0..10 {
        let ticket = balancer.start_attempt(at(turn * 100), pick);
        let end = at(turn * 100 + 100);
        balancer.finish_attempt(end, ticket, OutcomeKind::Ok, Some(report(0)));
    }
    (balancer, pick)
}

/// Queues three requests that can wait for two and a half slots; returns what they are told.
fn offers(balancer: &mut Balancer, workspace: &str) -> Vec<Option<Offer>> {
    let wait = |_| balancer.wait_for_capacity(at(1_000), of(workspace, 1_250));
    let mut receivers: Vec<Receiver<Offer>> = (0..3).map(wait).collect();
    receivers.iter_mut().map(|r| r.try_recv().ok()).collect()
}

/// Guards against holding requests for which no slot becomes free in time, and against refusing
/// the newest of them.
#[test]
fn test_queue_too_long_for_a_request_refuses_the_oldest_at_once() {
    let (mut balancer, _) = balancer(DispatcherLocation::Local);
    let hopeless = Some(Offer::Hopeless);
    assert_eq!(offers(&mut balancer, "a"), [hopeless, None, None]);
}

/// Guards against refusing requests where other processes free up slots, and against a changed
/// treatment of requests in deployments without workspaces.
#[test]
fn test_queue_refuses_none_without_workspaces_or_knowledge_of_all_slots() {
    for (location, workspace) in [
        (DispatcherLocation::Local, ""),
        (DispatcherLocation::Remote, "a"),
        (DispatcherLocation::Unassigned, "a"),
    ] {
        let (mut balancer, _) = balancer(location);
        assert_eq!(offers(&mut balancer, workspace), [None, None, None]);
    }
}

/// Guards against a workspace that takes each free slot as it sends more requests than others.
#[test]
fn test_queue_free_slot_goes_to_the_workspace_that_had_less() {
    let (mut balancer, pick) = balancer(DispatcherLocation::Local);
    let mut waiting = balancer.wait_for_capacity(at(1_000), of("small", 2_000));
    let mut choose = |workspace| {
        balancer.record_probe(at(1_000), pick, Some(report(0)));
        balancer.choose_fairly(at(1_000), &NEED, &[], &of(workspace, 2_000))
    };
    let first = choose("flood");
    assert!(matches!(first, FairSelection::Own(Selection::Send(_))));
    assert!(matches!(choose("flood"), FairSelection::Yielded));
    assert_eq!(waiting.try_recv(), Ok(Offer::Slot(pick)));
    let third = choose("flood");
    assert!(matches!(third, FairSelection::Own(Selection::Send(_))));
}

/// Guards against telling all refused requests the same time to come back.
#[test]
fn test_queue_refused_requests_come_back_at_different_times() {
    let (mut balancer, _) = balancer(DispatcherLocation::Local);
    balancer.set_returning(true);
    let remaining = Duration::from_secs(30);
    let told = |_| balancer.retry_after(at(1_000), remaining);
    let times: Vec<Duration> = (0..3).map(told).collect();
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
}

/// Guards against printed settings that don't read as the same ones, and against a default that
/// changes the times of requests that come back.
#[test]
fn test_queue_settings_print_as_they_read() {
    let start = "[entry]\nhost = h\ndomain = a\nregion = r\nfront = 127.0.0.1:1\nready = 127.0.0.1:2\nport = 7010\n";
    let read = |text: &str| {
        let reader = Reader::parse("entry.ini", text).expect("INI");
        Settings::read(reader)
    };
    assert!(!read(start).expect("valid").returning);
    let settings = read(&format!("{start}[queue]\nreturning = yes\n")).expect("valid");
    assert!(settings.returning);
    assert_eq!(read(&settings.to_string()).expect("valid"), settings);
    assert!(read(&format!("{start}[queue]\nreturning = maybe\n")).is_err());
}
