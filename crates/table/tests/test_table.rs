//! Validation, route selection, weighted round robin and the formats of tables.

use std::time::Duration;

use base::prelude::*;
use conf::Reader;
use table::Cold;
use table::Host;
use table::Index;
use table::Kind;
use table::Problem;
use table::Route;
use table::Service;
use table::Table;
use table::Target;
use table::WeightedRoundRobin;
use table::WeightedService;
use table::check::MAX_TIMEOUT;

fn name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a name")
}

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: name(service),
        weight,
    }
}

fn route(prefix: &str, target: Target) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Some(Duration::from_millis(800)),
        aim: Some(Duration::from_millis(300)),
        priority: 2,
        attempts: 2,
        target,
        public: false,
    }
}

fn status_route(prefix: &str) -> Route {
    route(prefix, Target::Service(name("status")))
}

fn table(routes: Vec<Route>) -> Table {
    let services = ["status", "status-next"].map(|service| Service {
        name: name(service),
        health: "/health".into(),
        connections: 240,
        cold: None,
    });
    Table {
        version: 7,
        services: services.into(),
        hosts: vec![Host {
            name: "example.org".into(),
            routes,
        }],
        ..Table::default()
    }
}

struct Case {
    name: &'static str,
    route: Route,
    problem: Option<Problem>,
}

#[test]
fn test_check_names_each_problem() {
    let cases = [
        Case {
            name: "valid",
            route: status_route("/a/"),
            problem: None,
        },
        Case {
            name: "no timeout at all",
            route: Route {
                timeout: None,
                ..status_route("/a/")
            },
            problem: None,
        },
        Case {
            name: "unknown service",
            route: route("/a/", Target::Service(name("other"))),
            problem: Some(Problem::UnknownService(name("other"))),
        },
        Case {
            name: "unknown service of a split",
            route: route(
                "/a/",
                Target::Split(vec![weighted("status", 1), weighted("other", 1)]),
            ),
            problem: Some(Problem::UnknownService(name("other"))),
        },
        Case {
            name: "weights add up to 0",
            route: route("/a/", Target::Split(vec![weighted("status", 0)])),
            problem: Some(Problem::NoWeight),
        },
        Case {
            name: "maximum timeout",
            route: Route {
                timeout: Some(MAX_TIMEOUT),
                ..status_route("/a/")
            },
            problem: None,
        },
        Case {
            name: "timeout too long",
            route: Route {
                timeout: Some(MAX_TIMEOUT + Duration::from_millis(1)),
                ..status_route("/a/")
            },
            problem: Some(Problem::TimeoutTooLong(
                MAX_TIMEOUT + Duration::from_millis(1),
            )),
        },
        Case {
            name: "timeout of 0",
            route: Route {
                timeout: Some(Duration::ZERO),
                ..status_route("/a/")
            },
            problem: Some(Problem::ZeroTimeout),
        },
        Case {
            name: "no attempts",
            route: Route {
                attempts: 0,
                ..status_route("/a/")
            },
            problem: Some(Problem::NoAttempts),
        },
        Case {
            name: "prefix without a slash at its end",
            route: status_route("/a"),
            problem: Some(Problem::InvalidPrefix),
        },
        Case {
            name: "prefix without a slash at its beginning",
            route: status_route("a/"),
            problem: Some(Problem::InvalidPrefix),
        },
    ];
    for case in cases {
        let faults = table::check(&table(vec![case.route]));
        let found: Vec<Problem> = faults.into_iter().map(|fault| fault.problem).collect();
        let expected: Vec<Problem> = case.problem.into_iter().collect();
        assert_eq!(found, expected, "{}", case.name);
    }
}

#[test]
fn test_check_reports_every_fault_at_once() {
    let invalid = table(vec![
        status_route("/a/"),
        status_route("/a/"),
        status_route("/b"),
    ]);
    let faults = table::check(&invalid);
    let found: Vec<&Problem> = faults.iter().map(|fault| &fault.problem).collect();
    assert_eq!(found, [&Problem::DuplicatePrefix, &Problem::InvalidPrefix]);
}

#[test]
fn test_check_allows_one_prefix_on_two_hosts() {
    let mut two_hosts = table(vec![status_route("/a/")]);
    two_hosts.hosts.push(Host {
        name: "example.net".into(),
        routes: vec![status_route("/a/")],
    });
    assert_eq!(table::check(&two_hosts), []);
}

#[test]
fn test_index_selects_the_longest_prefix_of_the_host() {
    let index = Index::new(&table(vec![
        status_route("/"),
        status_route("/a/"),
        status_route("/a/b/"),
    ]));
    let cases = [
        ("example.org", "/a/b/c", Some("/a/b/")),
        ("example.org", "/a/b", Some("/a/")),
        ("example.org", "/a/", Some("/a/")),
        ("example.org", "/a", Some("/")),
        ("example.org", "/", Some("/")),
        ("example.net", "/a/", None),
    ];
    for (host, path, expected) in cases {
        let found = index.select(host, path).map(|route| &*route.prefix);
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn test_index_has_no_route_without_matching_prefix() {
    let index = Index::new(&table(vec![status_route("/a/")]));
    assert!(index.select("example.org", "/b/").is_none());
    assert!(index.select("example.org", "/ab/").is_none());
}

#[test]
fn test_round_robin_keeps_each_share_within_one() {
    let services = [weighted("status", 90), weighted("status-next", 10)];
    let mut round_robin = WeightedRoundRobin::default();
    let mut second = 0_i64;
    for count in 1..=1000_i64 {
        let chosen = round_robin.next(&services).expect("a service");
        second += i64::from(*chosen == name("status-next"));
        let expected = count * 10;
        assert!(
            (second * 100 - expected).abs() <= 100,
            "{second} of {count}"
        );
    }
    assert_eq!(second, 100);
}

#[test]
fn test_round_robin_never_selects_service_without_weight() {
    let services = [weighted("status", 0), weighted("status-next", 3)];
    let mut round_robin = WeightedRoundRobin::default();
    for _ in 0..20 {
        assert_eq!(round_robin.next(&services), Some(&name("status-next")));
    }
    assert_eq!(WeightedRoundRobin::default().next(&services[..1]), None);
}

#[test]
fn test_round_robin_applies_new_weights() {
    let mut round_robin = WeightedRoundRobin::default();
    let before = [weighted("status", 1), weighted("status-next", 1)];
    for _ in 0..7 {
        let _ = round_robin.next(&before);
    }
    let after = [weighted("status", 0), weighted("status-next", 5)];
    assert_eq!(round_robin.next(&after), Some(&name("status-next")));
    let fewer = [weighted("status", 2)];
    assert_eq!(round_robin.next(&fewer), Some(&name("status")));
}

#[test]
fn test_codec_round_trips() {
    let split = Target::Split(vec![weighted("status", 90), weighted("status-next", 10)]);
    let written = table(vec![status_route("/a/"), route("/b/", split)]);
    let bytes = table::codec::encode(&written).expect("encodes");
    assert_eq!(table::codec::decode(&bytes).expect("decodes"), written);
    assert!(table::codec::decode(&bytes[..bytes.len() - 1]).is_err());
}

#[test]
fn test_file_round_trips() {
    let split = Target::Split(vec![weighted("status", 90), weighted("status-next", 10)]);
    let mut written = table(vec![status_route("/a/"), route("/b/", split)]);
    written.services[0].cold = Some(Cold {
        duration: Duration::from_secs(3),
        rate: 5_800,
    });
    let text = table::file::write(&written);
    let reader = Reader::parse("table.ini", &text).expect("INI");
    assert_eq!(table::file::read(reader).expect("a table"), written);
}

/// Tables stored before the rate limit of cold instances existed must stay readable.
#[test]
fn test_codec_reads_services_without_cold_limit() {
    let json = br#"{"name":"status","health":"/health","connections":240}"#;
    let service: Service = serde_json::from_slice(json).expect("a service");
    assert_eq!(service.cold, None);
}

#[test]
fn test_file_requires_both_settings_of_cold_instances() {
    for (line, missing) in [("cold = 3s", "cold-rate"), ("cold-rate = 5.8/s", "cold")] {
        let text = format!(
            "[table]\nversion = 1\n[service status]\nhealth = /h\nconnections = 9\n{line}\n"
        );
        let reader = Reader::parse("table.ini", &text).expect("INI");
        let faults = table::file::read(reader).expect_err("faults").to_string();
        assert!(faults.contains(missing), "{missing} in {faults}");
    }
}

#[test]
fn test_file_reports_every_fault_at_once() {
    let text = "[table]\nversion = x\n[route example.org/a/]\nkind = odd\ntarget =\n";
    let reader = Reader::parse("table.ini", text).expect("INI");
    let faults = table::file::read(reader).expect_err("faults").to_string();
    for part in ["version", "kind", "target"] {
        assert!(faults.contains(part), "{part} in {faults}");
    }
}
