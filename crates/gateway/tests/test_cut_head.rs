//! Guards against responses that break off and are passed on, or believed, as complete.

mod fakes;

use base::prelude::*;
use wire::directory::InstanceChange;
use wire::directory::Phase;

use crate::fakes::Rig;
use crate::fakes::client;
use crate::fakes::directory::instance;
use crate::fakes::list_instances;
use crate::fakes::rig;
use crate::fakes::scripted::Reply;
use crate::fakes::scripted::ScriptedUpstream;
use crate::fakes::scripted::latest;
use crate::fakes::scripted::own_answer;
use crate::fakes::upstream::ReceivedRequest;
use crate::fakes::wait_until;

const SERVICES: [&str; 4] = ["urgent", "once", "durable", "deferred"];
/// Number of instances that refuse connections of a gateway that is cut off.
const UNREACHED: u16 = 12;
/// How the end of a body is told, and the body.
const FRAMINGS: [(&str, &str); 3] = [
    ("content-length: 4\r\n", "body"),
    (
        "transfer-encoding: chunked\r\n",
        "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    ),
    ("connection: close\r\n", "body"),
];

/// Which response breaks off, and after how many bytes.
fn cut_path(framing: usize, cut: usize) -> String {
    format!("/cut/{framing}/{cut}")
}

/// The response to a request, as its path says.
fn cut_reply(requests: &[ReceivedRequest]) -> Reply {
    let request = latest(requests);
    let mut parts = request.path().split('/').skip(2);
    let mut number = || parts.next().and_then(|part| part.parse().ok());
    let (Some(framing), Some(cut)) = (number(), number()) else {
        return Reply(own_answer(request), false);
    };
    let whole = whole_response(framing, request.id());
    Reply(whole[..cut.min(whole.len())].to_owned(), true)
}

fn whole_response(framing: usize, id: &str) -> String {
    let (headers, body) = FRAMINGS[framing];
    format!("HTTP/1.1 200 OK\r\nrwr-request-id: {id:0<32}\r\n{headers}\r\n{body}")
}

/// Requests responses that break off at each byte; none may look like a success.
async fn check_no_cut_succeeds(rig: &Rig, upstream: &ScriptedUpstream) {
    for (framing, (headers, _)) in FRAMINGS.into_iter().enumerate() {
        let length = whole_response(framing, &"0".repeat(32)).len();
        for cut in 0..length {
            let path = cut_path(framing, cut);
            let request = client().post(rig.url(&path)).header("rwr-service", "once");
            let whole = async { request.send().await?.error_for_status()?.bytes().await };
            assert!(whole.await.is_err(), "{headers} cut at {cut}");
            assert_eq!(upstream.connections_of(&path).len(), 1, "{headers} {cut}");
        }
    }
}

#[tokio::test]
async fn test_cut_head_of_an_instance_is_no_success() {
    let upstream = ScriptedUpstream::start(cut_reply).await;
    let rig = rig(&[], |_| {}).await;
    let listed = SERVICES.map(|s| instance(s, "scripted", upstream.address, Phase::Ready));
    list_instances(&rig, listed.to_vec()).await;
    check_no_cut_succeeds(&rig, &upstream).await;
}

#[tokio::test]
async fn test_cut_head_of_another_gateway_is_no_success() {
    let peer = ScriptedUpstream::start(cut_reply).await;
    let rig = rig(&[], |_| {}).await;
    let closed = testutils::Host::new();
    fakes::cut_off(&rig, peer.address, &unreached(&closed)).await;
    check_no_cut_succeeds(&rig, &peer).await;
}

fn unreached(closed: &testutils::Host) -> Vec<InstanceChange> {
    let of = |service: &'static str| {
        (1..=UNREACHED)
            .map(move |port| instance(service, &format!("i-{port}"), closed.at(port), Phase::Ready))
    };
    SERVICES.into_iter().flat_map(of).collect()
}

#[tokio::test]
async fn test_cut_head_of_response_to_a_probe_is_no_report() {
    let head = "HTTP/1.1 200 OK\r\nrwr-load: 6/6\r\ncontent-length: 0\r\n\r\n";
    let cuts = std::sync::atomic::AtomicUsize::new(0);
    let upstream = ScriptedUpstream::start(move |requests| {
        if latest(requests).path() != "/rwr/load" {
            return Reply(own_answer(latest(requests)), false);
        }
        let cut = cuts.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % head.len();
        Reply(head[..cut].to_owned(), true)
    })
    .await;
    let rig = rig(&[], |_| {}).await;
    let listed = vec![instance("once", "scripted", upstream.address, Phase::Ready)];
    list_instances(&rig, listed).await;
    rig.directory
        .change_limits(|limits| limits.probe_millis = 1_000_000);
    wait_until(|| upstream.received().len() > head.len()).await;
    let core = rig.gateway.core();
    let service = ServiceName::new("once").expect("a name");
    let balancer = core.balancers.get(&service).expect("a balancer");
    let views = balancer.state().chooser.views(core.clock.now());
    assert!(views.iter().all(|view| view.age.is_none()));
}
