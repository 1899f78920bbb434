//! What makes a table valid, how a route is selected, and how splits share out.

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

fn part(service: &str, weight: u32) -> WeightedService {
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
    }
}

fn one(prefix: &str) -> Route {
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
            route: one("/a/"),
            problem: None,
        },
        Case {
            name: "no timeout at all",
            route: Route {
                timeout: None,
                ..one("/a/")
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
                Target::Split(vec![part("status", 1), part("other", 1)]),
            ),
            problem: Some(Problem::UnknownService(name("other"))),
        },
        Case {
            name: "weights add up to nothing",
            route: route("/a/", Target::Split(vec![part("status", 0)])),
            problem: Some(Problem::NoWeight),
        },
        Case {
            name: "longest timeout",
            route: Route {
                timeout: Some(MAX_TIMEOUT),
                ..one("/a/")
            },
            problem: None,
        },
        Case {
            name: "too long a timeout",
            route: Route {
                timeout: Some(MAX_TIMEOUT + Duration::from_millis(1)),
                ..one("/a/")
            },
            problem: Some(Problem::LongTimeout(MAX_TIMEOUT + Duration::from_millis(1))),
        },
        Case {
            name: "no time for an answer",
            route: Route {
                timeout: Some(Duration::ZERO),
                ..one("/a/")
            },
            problem: Some(Problem::NoTimeout),
        },
        Case {
            name: "no attempts",
            route: Route {
                attempts: 0,
                ..one("/a/")
            },
            problem: Some(Problem::NoAttempts),
        },
        Case {
            name: "prefix without a slash at its end",
            route: one("/a"),
            problem: Some(Problem::Prefix),
        },
        Case {
            name: "prefix without a slash at its beginning",
            route: one("a/"),
            problem: Some(Problem::Prefix),
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
    let twice = table(vec![one("/a/"), one("/a/"), one("/b")]);
    let faults = table::check(&twice);
    let found: Vec<&Problem> = faults.iter().map(|fault| &fault.problem).collect();
    assert_eq!(found, [&Problem::SamePlace, &Problem::Prefix]);
}

#[test]
fn test_check_allows_one_prefix_on_two_hosts() {
    let mut two = table(vec![one("/a/")]);
    two.hosts.push(Host {
        name: "example.net".into(),
        routes: vec![one("/a/")],
    });
    assert_eq!(table::check(&two), []);
}

#[test]
fn test_index_selects_the_longest_prefix_of_the_host() {
    let index = Index::new(&table(vec![one("/"), one("/a/"), one("/a/b/")]));
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
fn test_index_has_no_route_beside_the_prefixes() {
    let index = Index::new(&table(vec![one("/a/")]));
    assert!(index.select("example.org", "/b/").is_none());
    assert!(index.select("example.org", "/ab/").is_none());
}

#[test]
fn test_split_keeps_each_share_within_one_at_all_times() {
    let parts = [part("status", 90), part("status-next", 10)];
    let mut split = WeightedRoundRobin::default();
    let mut second = 0_i64;
    for turn in 1..=1000_i64 {
        let chosen = split.next(&parts).expect("a part");
        second += i64::from(*chosen == name("status-next"));
        let owed = turn * 10;
        assert!((second * 100 - owed).abs() <= 100, "{second} of {turn}");
    }
    assert_eq!(second, 100);
}

#[test]
fn test_split_never_chooses_a_part_without_weight() {
    let parts = [part("status", 0), part("status-next", 3)];
    let mut split = WeightedRoundRobin::default();
    for _ in 0..20 {
        assert_eq!(split.next(&parts), Some(&name("status-next")));
    }
    assert_eq!(WeightedRoundRobin::default().next(&parts[..1]), None);
}

#[test]
fn test_split_takes_new_weights_over() {
    let mut split = WeightedRoundRobin::default();
    let before = [part("status", 1), part("status-next", 1)];
    for _ in 0..7 {
        let _ = split.next(&before);
    }
    let after = [part("status", 0), part("status-next", 5)];
    assert_eq!(split.next(&after), Some(&name("status-next")));
    let fewer = [part("status", 2)];
    assert_eq!(split.next(&fewer), Some(&name("status")));
}

#[test]
fn test_codec_reads_what_it_writes() {
    let split = Target::Split(vec![part("status", 90), part("status-next", 10)]);
    let written = table(vec![one("/a/"), route("/b/", split)]);
    let bytes = table::codec::encode(&written).expect("encodes");
    assert_eq!(table::codec::decode(&bytes).expect("decodes"), written);
    assert!(table::codec::decode(&bytes[..bytes.len() - 1]).is_err());
}

#[test]
fn test_file_reads_what_it_writes() {
    let split = Target::Split(vec![part("status", 90), part("status-next", 10)]);
    let mut written = table(vec![one("/a/"), route("/b/", split)]);
    written.services[0].cold = Some(Cold {
        duration: Duration::from_secs(3),
        rate: 5_800,
    });
    let text = table::file::write(&written);
    let reader = Reader::parse("table.ini", &text).expect("INI");
    assert_eq!(table::file::read(reader).expect("a table"), written);
}

/// A table of before what cold instances take could be told.
#[test]
fn test_codec_reads_services_without_a_bound() {
    let json = br#"{"name":"status","health":"/health","connections":240}"#;
    let service: Service = serde_json::from_slice(json).expect("a service");
    assert_eq!(service.cold, None);
}

#[test]
fn test_file_wants_both_of_what_cold_instances_take() {
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
