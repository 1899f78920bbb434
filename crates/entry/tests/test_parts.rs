//! Requests of a service that is divided into parts, and failures of the parts' dispatchers.

mod fakes;

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use conf::Reader;
use dispatch::parts::PartId;
use entry::Dialect;
use entry::Entry;
use entry::Settings;
use entry::balancer::Balancer;
use evacuation::EvacuationState;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Caller;
use fakes::caller::call;
use fakes::host_of;
use fakes::instance;
use fakes::settings;
use fakes::table;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;
use tokio::net::TcpListener;
use wire::hub::EntryHost;
use wire::hub::Instance;

const FREE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const PATIENCE: Duration = Duration::from_mins(1);
const PAUSE: Duration = Duration::from_millis(10);

fn service() -> ServiceName {
    ServiceName::new("status").expect("a name")
}

/// Starts an entry process of a failure domain, with parts of at most two instances.
async fn start(number: u8, domain: &str, parts: bool) -> Entry {
    let settings = Settings {
        host: HostName::new(&format!("entry-{number}")).expect("a name"),
        domain: DomainName::new(domain).expect("a name"),
        place: Some(FREE),
        max_dispatched: 2,
        parts,
        ..settings()
    };
    let log = telemetry::log::silent();
    let entry = Entry::start(settings, Dialect::default(), log).await;
    let entry = entry.expect("starts");
    entry.core().set_table(table(1));
    entry
}

async fn upstreams(count: u8, behavior: Behavior) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for number in 1..=count {
        upstreams.push(Upstream::start(&format!("i-{number}"), behavior).await);
    }
    upstreams
}

/// The upstreams as instances of failure domain `a`.
fn instances(upstreams: &[Upstream]) -> Vec<Instance> {
    let instances = upstreams
        .iter()
        .map(|upstream| instance(upstream, "status"));
    instances.collect()
}

fn listed(entry: &Entry) -> EntryHost {
    let place = entry.core().settings().place.expect("bound");
    EntryHost {
        place: place.to_string(),
        ..host_of(entry)
    }
}

/// A host of failure domain `a` at which only `place` matters.
fn other_host(place: SocketAddr) -> EntryHost {
    EntryHost {
        address: "127.0.0.1:1".into(),
        domain: "a".into(),
        place: place.to_string(),
        ..EntryHost::default()
    }
}

fn balancer<T>(entry: &Entry, ask: impl FnOnce(&mut Balancer, Moment) -> T) -> T {
    entry.core().balancer(&service(), ask).expect("a balancer")
}

/// The part that the process asks first, and the address of its dispatcher.
fn home(entry: &Entry) -> (PartId, String) {
    balancer(entry, |balancer, _| {
        let home = balancer.home().expect("a home part").clone();
        let division = balancer.division().expect("parts");
        let position = division.position(&home).expect("one of them");
        let dispatcher = division.parts()[position].dispatcher.clone();
        (home, dispatcher.expect("a dispatcher"))
    })
}

fn place_of(entry: &Entry) -> String {
    listed(entry).place
}

fn open_grants(entry: &Entry) -> usize {
    balancer(entry, |balancer, _| balancer.open_grants())
}

/// Waits until the processes have this number of open grants together.
async fn wait_for_grants(entries: &[Entry], count: usize) {
    let reached = async {
        while entries.iter().map(open_grants).sum::<usize>() != count {
            tokio::time::sleep(PAUSE).await;
        }
    };
    let reached = tokio::time::timeout(PATIENCE, reached).await;
    reached.expect("in the end");
}

/// Starts processes that know each other and the upstreams.
async fn start_all(count: u8, upstreams: &[Upstream]) -> Vec<Entry> {
    let mut entries = Vec::new();
    for number in 1..=count {
        entries.push(start(number, "a", true).await);
    }
    let hosts: Vec<EntryHost> = entries.iter().map(listed).collect();
    for entry in &entries {
        entry
            .core()
            .apply_instances(HUB, &instances(upstreams), &[]);
        entry.core().set_hosts(hosts.clone());
    }
    entries
}

/// Guards against a grant that isn't released with its attempt, and against a message to the
/// process's own dispatcher.
#[tokio::test]
async fn test_parts_dispatcher_grants_and_own_part_needs_no_message() {
    let upstreams = upstreams(3, Behavior::Hang).await;
    let entries = start_all(5, &upstreams).await;
    let dispatches = |entry: &&Entry| home(entry).1 == place_of(entry);
    let local = entries.iter().filter(dispatches).count();
    assert!(local > 0 && local < entries.len(), "{local} of 5 dispatch");
    for (number, asker) in (1..).zip(&entries) {
        let mut caller = Caller::connect(asker.front()).await;
        caller.send("GET", READ, &format!("r-{number}"), "").await;
        wait_for_requests(&upstreams, number).await;
        wait_for_grants(&entries, usize::from(!dispatches(&asker))).await;
        drop(caller);
        wait_for_grants(&entries, 0).await;
    }
}

/// Waits until the upstreams have received this number of requests together.
async fn wait_for_requests(upstreams: &[Upstream], count: usize) {
    let received = || upstreams.iter().map(|u| u.received_requests().len());
    let reached = async {
        while received().sum::<usize>() < count {
            tokio::time::sleep(PAUSE).await;
        }
    };
    let reached = tokio::time::timeout(PATIENCE, reached).await;
    reached.expect("in the end");
}

/// Sends requests to a process and checks that each is answered.
async fn check_answered(entry: &Entry, count: usize) {
    for number in 0..count {
        let answer = call(entry.front(), "POST", ONCE, &format!("r-{number}")).await;
        assert_eq!(answer.status, 200, "request {number}");
    }
}

/// Guards against failing requests because a dispatcher is gone or frozen, or because all are.
#[tokio::test]
async fn test_parts_lost_dispatchers_cost_no_request() {
    for listens in [false, true] {
        let upstreams = upstreams(3, Behavior::Answer).await;
        let asker = start(1, "a", true).await;
        asker
            .core()
            .apply_instances(HUB, &instances(&upstreams), &[]);
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind(FREE).await.expect("binds"));
        }
        let places = listeners
            .iter()
            .map(|l| l.local_addr().expect("an address"));
        let hosts: Vec<EntryHost> = places.map(other_host).collect();
        asker.core().set_hosts(hosts);
        let _kept = listens.then_some(listeners);
        check_answered(&asker, 5).await;
    }
}

/// Guards against choosing without a dispatcher while another part's dispatcher answers.
#[tokio::test]
async fn test_parts_other_part_grants_while_the_home_dispatcher_is_frozen() {
    let upstreams = upstreams(3, Behavior::Hang).await;
    let asker = start(1, "a", true).await;
    let dispatcher = start(2, "a", true).await;
    let frozen = TcpListener::bind(FREE).await.expect("binds");
    let frozen = other_host(frozen.local_addr().expect("an address"));
    let hosts = vec![listed(&dispatcher), frozen];
    for entry in [&asker, &dispatcher] {
        entry
            .core()
            .apply_instances(HUB, &instances(&upstreams), &[]);
        entry.core().set_hosts(hosts.clone());
    }
    let dispatchers = balancer(&asker, |balancer, _| {
        let division = balancer.division().expect("parts");
        let parts = division.parts().iter().filter(|part| part.slots > 0);
        let dispatchers: BTreeSet<String> = parts.filter_map(|p| p.dispatcher.clone()).collect();
        dispatchers.len()
    });
    assert_eq!(dispatchers, 2, "each dispatches instances");
    let mut callers = Vec::new();
    for number in 0..3 {
        let mut caller = Caller::connect(asker.front()).await;
        caller.send("GET", READ, &format!("r-{number}"), "").await;
        callers.push(caller);
    }
    wait_for_grants(&[dispatcher], 3).await;
}

/// Guards against a dispatcher that waits for probes of unresponsive instances for longer than its
/// callers wait for it.
#[tokio::test]
async fn test_parts_dispatcher_answers_while_instances_answer_no_probe() {
    let upstreams = upstreams(3, Behavior::Hang).await;
    for upstream in &upstreams {
        upstream.set_health(Behavior::Hang);
    }
    let (asker, dispatcher) = (start(1, "a", true).await, start(2, "a", true).await);
    for entry in [&asker, &dispatcher] {
        entry
            .core()
            .apply_instances(HUB, &instances(&upstreams), &[]);
        entry.core().set_hosts(vec![listed(&dispatcher)]);
    }
    let mut caller = Caller::connect(asker.front()).await;
    caller.send("GET", READ, "r-1", "").await;
    wait_for_requests(&upstreams, 1).await;
    assert_eq!(open_grants(&dispatcher), 1);
}

/// Guards against failing requests while processes differ in their settings, instances or hosts.
#[tokio::test]
async fn test_parts_dispatcher_with_other_lists_costs_no_request() {
    let upstreams = upstreams(4, Behavior::Answer).await;
    let all = instances(&upstreams);
    for (parts, known) in [(false, 4), (true, 0), (true, 1), (true, 3), (true, 4)] {
        let (asker, dispatcher) = (start(1, "a", true).await, start(2, "a", parts).await);
        asker.core().apply_instances(HUB, &all, &[]);
        asker.core().set_hosts(vec![listed(&dispatcher)]);
        dispatcher.core().apply_instances(HUB, &all[..known], &[]);
        check_answered(&asker, 4).await;
        assert_eq!(open_grants_if_known(&dispatcher), 0, "{parts} {known}");
    }
}

fn open_grants_if_known(entry: &Entry) -> usize {
    let grants = entry
        .core()
        .balancer(&service(), |balancer, _| balancer.open_grants());
    grants.unwrap_or_default()
}

/// Guards against asking for parts of instances that have left, and against a part without a
/// dispatcher after instances or processes come and go.
#[tokio::test]
async fn test_parts_follow_instances_and_processes() {
    let upstreams = upstreams(6, Behavior::Answer).await;
    let entries = start_all(3, &upstreams).await;
    let asker = &entries[0];
    let part_count = |entry: &Entry| {
        balancer(entry, |balancer, _| {
            balancer.division().map(|division| division.parts().len())
        })
    };
    let before = part_count(asker).expect("parts");
    assert!(before >= 3);
    check_answered(asker, 4).await;
    let gone = instances(&upstreams).into_iter().skip(1);
    let gone: Vec<Instance> = gone
        .map(|instance| Instance {
            phase: wire::hub::Phase::Gone.into(),
            sequence: 2,
            ..instance
        })
        .collect();
    for entry in &entries {
        entry.core().apply_instances(HUB, &gone[2..], &[]);
    }
    assert!(part_count(asker).expect("parts") < before);
    check_answered(asker, 4).await;
    // With few instances the service is small again.
    for entry in &entries {
        entry.core().apply_instances(HUB, &gone, &[]);
    }
    assert_eq!(part_count(asker), None);
    check_answered(asker, 4).await;
    asker.core().set_hosts(vec![listed(asker)]);
    check_answered(asker, 4).await;
}

/// Guards against asking parts of an evacuated failure domain, and against refusing requests
/// because the process's own domain is evacuated.
#[tokio::test]
async fn test_parts_of_an_evacuated_domain_get_nothing() {
    let upstreams = upstreams(6, Behavior::Answer).await;
    let asker = start(1, "a", true).await;
    let domains = ["a", "a", "a", "b", "b", "b"];
    let all = instances(&upstreams).into_iter().zip(domains);
    let all: Vec<Instance> = all
        .map(|(instance, domain)| Instance {
            domain: domain.into(),
            ..instance
        })
        .collect();
    asker.core().apply_instances(HUB, &all, &[]);
    asker.core().set_hosts(vec![listed(&asker)]);
    check_answered(&asker, 3).await;
    let received = |upstreams: &[Upstream]| -> usize {
        let each = upstreams.iter().map(|u| u.received_requests().len());
        each.sum()
    };
    assert_eq!(received(&upstreams[..3]), 3, "its own failure domain");
    let mut evacuations = EvacuationState::default();
    let order = evacuations.order(&DomainName::new("a").expect("a name"), true);
    evacuations.apply(&order);
    asker.core().apply_evacuations(HUB, &evacuations.to_wire());
    check_answered(&asker, 3).await;
    assert_eq!(received(&upstreams[..3]), 3);
    assert_eq!(received(&upstreams[3..]), 3);
}

/// Guards against a setting that isn't read, printed or checked, and against parts that need a
/// restart of the process.
#[tokio::test]
async fn test_parts_setting_is_read_printed_and_reloaded() {
    let text = |parts: &str| {
        format!(
            "[entry]\nhost = e-1\ndomain = a\nregion = r\nfront = 127.0.0.1:80\n\
             ready = 127.0.0.1:81\nport = 7010\n[place]\nlisten = 127.0.0.1:82\n{parts}"
        )
    };
    let read = |parts: &str| {
        Settings::read(Reader::parse("entry.ini", &text(parts)).expect("INI"))
            .map_err(|err| err.to_string())
    };
    assert!(!read("").expect("valid").parts);
    let enabled = read("parts = yes\n").expect("valid");
    assert!(enabled.parts && enabled.to_string().contains("\nparts = yes\n"));
    assert!(read("parts = some\n").is_err_and(|err| err.contains("yes or no")));

    let upstreams = upstreams(4, Behavior::Answer).await;
    let entry = start(1, "a", false).await;
    let core = entry.core();
    core.apply_instances(HUB, &instances(&upstreams), &[]);
    core.set_hosts(vec![listed(&entry)]);
    for parts in [true, false] {
        let reloaded = Settings {
            parts,
            ..(*core.settings()).clone()
        };
        core.set_settings(&reloaded);
        assert_eq!(balancer(&entry, |balancer, _| balancer.has_parts()), parts);
        check_answered(&entry, 2).await;
    }
}
