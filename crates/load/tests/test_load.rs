//! Runs load against a stand-in and a fake directory.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use load::CallOutcome;
use load::Options;
use load::OptionsError;
use load::arrival::Arrivals;
use load::arrival::Spacing;
use load::report::Report;
use load::report::added_micros;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use standin::Fault;
use standin::FaultKind;
use standin::StandIn;
use tokio::net::TcpListener;

type Modify = fn(&mut Options);

fn service() -> ServiceName {
    ServiceName::new("status").unwrap()
}

fn options(address: Option<SocketAddr>) -> Options {
    let mut options = Options::new(service());
    options.address = address;
    options.rate = 100;
    options.duration = Duration::from_secs(1);
    options
}

async fn upstream() -> StandIn {
    let instance = InstanceId::new("status-1").unwrap();
    let domain = DomainName::new("milano").unwrap();
    let mut settings = standin::Settings::new(service(), instance, domain);
    settings.time = Duration::ZERO;
    let log = telemetry::log::silent();
    standin::start(settings, log).await.unwrap()
}

/// Responds to each route query with one address.
struct Directory(SocketAddr);

#[async_trait]
impl Handler for Directory {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.body(format!(
            "{{\"service\":\"status\",\"addresses\":[{{\"address\":\"{}\",\"domain\":\"d\"}}],\"max_age_ms\":60000}}",
            self.0
        ));
    }
}

async fn directory(returned: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::new(TcpAcceptor::try_from(listener).unwrap());
    tokio::spawn(server.serve(Router::with_path("v1/route").get(Directory(returned))));
    address
}

#[test]
fn test_options_refused() {
    let outside: SocketAddr = "192.0.2.1:80".parse().unwrap();
    let inside: SocketAddr = "127.0.0.1:80".parse().unwrap();
    let cases: [(Modify, OptionsError); 7] = [
        (
            |o| o.address = Some("192.0.2.1:80".parse().unwrap()),
            OptionsError::NotLoopback(outside),
        ),
        (
            |o| o.compare = Some("192.0.2.1:80".parse().unwrap()),
            OptionsError::NotLoopback(outside),
        ),
        (|o| o.address = None, OptionsError::NoTarget),
        (
            |o| o.directories = vec!["127.0.0.1:1".parse().unwrap()],
            OptionsError::TwoTargets,
        ),
        (|o| o.rate = 0, OptionsError::RateOutOfRange(0)),
        (|o| o.rate = 50_001, OptionsError::RateOutOfRange(50_001)),
        (
            |o| o.duration = Duration::from_secs(301),
            OptionsError::DurationOutOfRange(Duration::from_secs(301)),
        ),
    ];
    for (modify, expected) in cases {
        let mut options = options(Some(inside));
        assert_eq!(options.check(), Ok(()));
        modify(&mut options);
        assert_eq!(options.check(), Err(expected));
    }
}

#[test]
fn test_arrivals_rate_kept() {
    let duration = Duration::from_secs(100);
    for (spacing, min, max) in [
        (Spacing::Even, 9_999, 10_000),
        (Spacing::Poisson, 9_500, 10_500),
    ] {
        for seed in 0..10 {
            let times: Vec<Duration> = Arrivals::new(spacing, 100, duration, seed).collect();
            let count = times.len();
            assert!((min..=max).contains(&count), "{spacing} {seed} {count}");
            assert!(times.is_sorted());
        }
    }
}

#[test]
fn test_report_added_latency() {
    let duration = Duration::from_secs(1);
    let (mut gateway, mut direct) = (
        Report::new("gateway", duration),
        Report::new("direct", duration),
    );
    for i in 1..=100 {
        let time = Duration::from_micros(i);
        gateway.add(CallOutcome::Ok, time + Duration::from_micros(50), time);
        direct.add(CallOutcome::Ok, time, time);
    }
    // Refusals must not count into the latency, as they are faster than responses.
    gateway.add(CallOutcome::NotRun, Duration::ZERO, Duration::ZERO);
    assert_eq!(added_micros(&gateway, &direct, 0.5), 50);
    assert_eq!(added_micros(&gateway, &direct, 0.99), 50);
    assert_eq!(gateway.sent(), 101);
    assert!(
        gateway.plain().contains(" not_run=1 "),
        "{}",
        gateway.plain()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn test_run_outcomes() {
    let cases = [
        (FaultKind::None, CallOutcome::Ok),
        (FaultKind::Fail, CallOutcome::Status),
        (FaultKind::Short, CallOutcome::Broken),
    ];
    for (kind, outcome) in cases {
        let upstream = upstream().await;
        upstream.set_fault(Fault::new(kind));
        let reports = load::run(options(Some(upstream.address()))).await.unwrap();
        let report = &reports[0];
        assert!(report.sent() > 0);
        assert_eq!(report.count(outcome), report.sent(), "{kind}: {report}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_run_by_directory() {
    let upstream = upstream().await;
    let mut options = options(None);
    options.directories = vec![
        "127.0.0.1:1".parse().unwrap(),
        directory(upstream.address()).await,
    ];
    options.compare = Some(upstream.address());
    options.keyed = true;
    options.spacing = Spacing::Even;
    let reports = load::run(options).await.unwrap();
    let (gateway, direct) = (&reports[0], &reports[1]);
    assert_eq!(gateway.count(CallOutcome::Ok), gateway.sent(), "{gateway}");
    assert_eq!(direct.count(CallOutcome::Ok), direct.sent(), "{direct}");
    let mut keys: Vec<String> = upstream.runs().all().into_iter().map(|r| r.key).collect();
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len() as u64, gateway.sent() + direct.sent());
}

#[tokio::test(flavor = "multi_thread")]
async fn test_run_refuses_non_loopback_address_from_directory() {
    let returned = directory("192.0.2.1:80".parse().unwrap()).await;
    let mut options = options(None);
    options.directories = vec![returned];
    let reports = load::run(options).await.unwrap();
    assert_eq!(reports[0].count(CallOutcome::NoAddress), reports[0].sent());
}
