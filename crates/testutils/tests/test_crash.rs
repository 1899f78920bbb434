//! Requests that crash the upstreams that run them.

use testutils::Ask;
use testutils::Fleet;
use testutils::Upstream;
use testutils::tables;
use testutils::tables::HOST;
use testutils::tables::STATUS;

/// Instances of the service.
const INSTANCES: usize = 10;
/// Entry processes.
const ENTRIES: usize = 3;
/// Instances that a request may crash before it is known for it, and retries that may reach
/// instances after that.
const ALLOWED: usize = 3 + 3;
/// What the stand-ins crash on.
const CRASH: &str = "/read/crash";

/// Three hubs, entry processes with the table, and stand-ins that can be crashed.
async fn start() -> (Fleet, Vec<Upstream>) {
    let mut fleet = Fleet::start(3, ENTRIES).await.unwrap();
    fleet.layout.put(&tables::plain(1)).await.unwrap();
    for index in 0..ENTRIES {
        fleet.wait_table(index, 1).await.unwrap();
    }
    let mut upstreams = vec![];
    for number in 0..INSTANCES {
        let mut settings = fleet.layout.upstream(STATUS, number);
        settings.crash = Some(CRASH.into());
        upstreams.push(fleet.start_upstream(&settings).await.unwrap());
    }
    (fleet, upstreams)
}

fn crashed(upstreams: &mut [Upstream]) -> usize {
    let ended = upstreams.iter_mut().map(|u| u.process.has_ended());
    ended.filter(|ended| *ended).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn test_crash_request_that_crashes_instances_is_refused_by_every_entry_process() {
    let (fleet, mut upstreams) = start().await;
    for number in 0..12 {
        let ask = Ask::get(STATUS, CRASH).at(HOST);
        let reply = fleet.call(number % ENTRIES, &ask).await;
        assert!(matches!(reply.status, 502 | 503), "{reply:?}");
    }
    let ended = crashed(&mut upstreams);
    assert!(ended <= ALLOWED, "{ended} of {INSTANCES} instances crashed");
    for number in 0..ENTRIES {
        let ask = Ask::get(STATUS, &format!("/read/{number}")).at(HOST);
        let reply = fleet.call(number, &ask).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
}
