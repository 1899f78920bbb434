//! Validation, route selection, weighted round robin and the formats of tables.

use std::time::Duration;

use base::prelude::*;
use conf::Reader;
use table::Cold;
use table::Confirmation;
use table::Host;
use table::Index;
use table::KeyDigest;
use table::KeyIndex;
use table::Kind;
use table::Problem;
use table::Quota;
use table::Route;
use table::Service;
use table::Table;
use table::Target;
use table::WeightedRoundRobin;
use table::WeightedService;
use table::Workspace;
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

const DIGEST: &str = "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8";

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: WorkspaceName::new(name).expect("a name"),
        keys: keys.iter().map(KeyDigest::of).collect(),
        priority: 3,
        quota: None,
    }
}

fn with_workspaces(workspaces: Vec<Workspace>) -> Table {
    Table {
        workspaces,
        ..table(vec![status_route("/a/")])
    }
}

/// Guards against keys that select two workspaces, and against faults that name no workspace.
#[test]
fn test_check_refuses_invalid_workspaces() {
    let shared = Problem::SharedKey(WorkspaceName::new("a").expect("a name"));
    let cases = [
        (
            "valid",
            vec![workspace("a", &["k"]), workspace("b", &["l", "m"])],
            None,
        ),
        (
            "same key twice in one",
            vec![workspace("a", &["k", "k"])],
            None,
        ),
        ("no key", vec![workspace("a", &[])], None),
        (
            "shared",
            vec![workspace("a", &["k"]), workspace("b", &["l", "k"])],
            Some(shared),
        ),
        (
            "same name",
            vec![workspace("a", &["k"]), workspace("a", &["l"])],
            Some(Problem::DuplicateWorkspace),
        ),
        (
            "empty key",
            vec![workspace("a", &["k", ""])],
            Some(Problem::EmptyKey),
        ),
    ];
    for (name, workspaces, expected) in cases {
        let faults = table::check(&with_workspaces(workspaces));
        let problems: Vec<Problem> = faults.into_iter().map(|fault| fault.problem).collect();
        assert_eq!(problems, expected.into_iter().collect::<Vec<_>>(), "{name}");
    }
}

/// Guards against a table of another process whose workspace can't be named to instances.
#[test]
fn test_check_refuses_decoded_names_that_are_no_header_value() {
    for name in ["", " a", "a ", "a\u{7f}", "a\nb", "\u{e9}"] {
        let mut json = serde_json::to_value(workspace("a", &["k"])).expect("JSON");
        json["name"] = name.into();
        let decoded: Workspace = serde_json::from_value(json).expect("a workspace");
        let faults = table::check(&with_workspaces(vec![decoded]));
        assert_eq!(faults.len(), 1, "{name:?}");
        assert!(WorkspaceName::new(name).is_err(), "{name:?}");
    }
    for name in ["acme", "Acme & Sons, Ltd. [eu]; #1=x%41", "~!@"] {
        assert!(WorkspaceName::new(name).is_ok(), "{name:?}");
    }
}

/// Guards against keys in what is stored and sent to other processes, and in log lines.
#[test]
fn test_codec_has_digests_and_no_keys() {
    let written = with_workspaces(vec![workspace("a", &["password"])]);
    let json = serde_json::to_string(&written).expect("JSON");
    assert!(json.contains(DIGEST), "{json}");
    for text in [json, format!("{written:?}"), table::file::write(&written)] {
        assert!(!text.contains("password"), "{text}");
    }
    let bytes = table::codec::encode(&written).expect("encodes");
    assert_eq!(table::codec::decode(&bytes).expect("decodes"), written);
}

#[test]
fn test_key_digest_reads_only_digests() {
    let digest: KeyDigest = DIGEST.parse().expect("a digest");
    assert!(digest.matches(&KeyDigest::of("password")));
    assert_eq!(
        (digest.to_string(), digest.short()),
        (DIGEST.into(), "5e884898".into())
    );
    let signed = format!("+e{}", &DIGEST[2..]);
    for text in ["", "password", &DIGEST[1..], &signed, &format!("{DIGEST}0")] {
        assert!(text.parse::<KeyDigest>().is_err(), "{text:?}");
    }
}

#[test]
fn test_file_round_trips_workspaces() {
    let mut written = with_workspaces(vec![
        Workspace {
            quota: Some(Quota {
                rate: 2_500,
                burst: 30,
            }),
            ..workspace("Acme & Sons [eu]; #1 = %41", &["k", "l"])
        },
        Workspace {
            quota: Some(Quota {
                rate: 1_000_000_000_000,
                burst: 0,
            }),
            ..workspace("payments", &[])
        },
    ]);
    written.hosts[0].routes[0].public = true;
    written.hosts[0].routes[0].kind = Kind::Download;
    let text = table::file::write(&written);
    let reader = Reader::parse("table.ini", &text).expect("INI");
    assert_eq!(
        table::file::read(reader).expect("a table"),
        written,
        "{text}"
    );
}

fn read_workspaces(sections: &str) -> Result<Table, String> {
    let text = format!("[table]\nversion = 1\n{sections}");
    let reader = Reader::parse("table.ini", &text).expect("INI");
    table::file::read(reader).map_err(|err| err.to_string())
}

#[test]
fn test_file_reads_keys_and_digests() {
    let text = format!("[workspace a b]\nkeys = key=1, k2\nkey-digests = {DIGEST}\nrate = 1/s\n");
    let read = read_workspaces(&text).expect("a table");
    let expected = Workspace {
        priority: 0,
        quota: Some(Quota {
            rate: 1_000,
            burst: 0,
        }),
        ..workspace("a b", &["key=1", "k2", "password"])
    };
    assert_eq!(read.workspaces, [expected]);
}

/// Guards against faults without a clear message, and against messages that have a key.
#[test]
fn test_file_faults_of_workspaces_are_clear() {
    let cases = [
        ("[workspace é]\n", "visible ASCII"),
        ("[workspace %00]\n", "visible ASCII"),
        (
            "[workspace a]\nkey-digests = secret-key\n",
            "64 hexadecimal digits",
        ),
        ("[workspace a]\nkey = secret-key\n", "key"),
        ("[workspace a]\npriority = high\n", "priority"),
        ("[workspace a]\nrate = 5\n", "2.5/s"),
        ("[workspace a]\nrate = 0/s\n", "over 0/s"),
        ("[workspace a]\nrate = -1/s\n", "2.5/s"),
        ("[workspace a]\nburst = 5\n", "rate"),
        ("[workspace a]\nrate = 1/s\nburst = 5.5\n", "burst"),
        (
            "[route h/a/]\nkind = once\ntarget = s\npublic = true\n",
            "yes or no",
        ),
    ];
    for (sections, part) in cases {
        let faults = read_workspaces(sections).expect_err(sections);
        assert!(faults.contains(part), "{part} in {faults}");
        assert!(!faults.contains("secret-key"), "{faults}");
    }
}

/// Guards against a table size that can't be read, or whose keys aren't found.
#[test]
fn test_table_of_100_000_workspaces() {
    let names = (0..100_000).map(|n| format!("workspace-{n}"));
    let workspaces = names.map(|name| workspace(&name, &[&format!("key of {name}")]));
    let written = with_workspaces(workspaces.collect());
    assert!(table::check(&written).is_empty());
    let bytes = table::codec::encode(&written).expect("encodes");
    let read = table::codec::decode(&bytes).expect("decodes");
    assert_eq!(read, written);
    let index = KeyIndex::new(&read);
    let found = index.select("key of workspace-99999").expect("a workspace");
    assert_eq!(found.name.as_str(), "workspace-99999");
    assert!(index.select("key of workspace-100000").is_none());
    println!("encoded: {} bytes", bytes.len());
}

/// Guards against a confirmation that counts for another version, or for a later time.
#[test]
fn test_confirmation_counts_for_the_table_in_force() {
    let at = Moment::from_millis;
    let limit = Duration::from_secs(5);
    let mut confirmation = Confirmation::default();
    confirmation.put_in_force(1);
    assert!(!confirmation.is_within(at(0), limit), "never confirmed");
    confirmation.record(1, at(1_000));
    confirmation.record(1, at(500));
    assert_eq!(confirmation.age(at(3_000)), Some(Duration::from_secs(2)));
    assert!(confirmation.is_within(at(6_000), limit));
    assert!(!confirmation.is_within(at(6_001), limit));
    confirmation.record(3, at(6_000));
    assert!(
        !confirmation.is_within(at(6_001), limit),
        "3 is not in force"
    );
    confirmation.put_in_force(2);
    assert!(
        !confirmation.is_within(at(6_001), limit),
        "3 is not in force"
    );
    confirmation.put_in_force(4);
    assert_eq!(confirmation.age(at(6_001)), Some(Duration::from_millis(1)));
    confirmation.record(3, at(7_000));
    assert_eq!(
        confirmation.age(at(7_000)),
        Some(Duration::ZERO),
        "4 is newer"
    );
}
