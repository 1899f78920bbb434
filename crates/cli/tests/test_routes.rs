//! The commands of `rwrctl` that call hubs: route tables, evacuations and quarantine.

mod fakes;

use std::sync::Arc;
use std::sync::Mutex;

use cli::Exit;
use fakes::listen;
use fakes::rwrctl;
use fakes::unused_address;
use fakes::write;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use wire::api::HubApi;
use wire::hub::Evacuation;
use wire::hub::EvacuationOutcome;
use wire::hub::EvacuationReply;
use wire::hub::EvacuationRow;
use wire::hub::Evacuations;
use wire::hub::EvacuationsReply;
use wire::hub::Fetch;
use wire::hub::FetchReply;
use wire::hub::Fingerprint;
use wire::hub::ReadReply;
use wire::hub::Report;
use wire::hub::ResolveQuery;
use wire::hub::ResolveReply;
use wire::hub::Suspect;
use wire::hub::Suspects;
use wire::hub::Table;
use wire::hub::TableOutcome;
use wire::hub::TableReply;
use wire::hub::Watch;
use wire::hub::WatchReply;

const FILE: &str = "\
[table]
version = 7

[service status]
health = /health
connections = 240

[route example.org/status/]
kind = idempotent
attempts = 2
target = status
";

/// Version of a table of which the hub doesn't learn in time whether it was accepted.
const UNCERTAIN: u64 = 9;

#[derive(Clone, Default)]
struct Hub {
    stored: Arc<Mutex<Option<Table>>>,
    /// Whether a majority confirms that there is no table.
    confirms_none: bool,
}

impl HubApi for Hub {
    async fn watch(self, _: Context, _: Watch) -> WatchReply {
        WatchReply::default()
    }

    async fn fetch(self, _: Context, _: Fetch) -> FetchReply {
        FetchReply::default()
    }

    /// Accepts orders on one failure domain; each other one gets a different outcome.
    async fn evacuate(self, _: Context, order: Evacuation) -> EvacuationReply {
        let outcome = match order.domain.as_str() {
            "milano" => EvacuationOutcome::Taken,
            "torino" => EvacuationOutcome::Overtaken,
            "genova" => EvacuationOutcome::Refused,
            _ => EvacuationOutcome::Unspecified,
        };
        EvacuationReply {
            outcome: outcome.into(),
        }
    }

    async fn evacuations(self, _: Context) -> EvacuationsReply {
        let row = |domain: &str, evacuated, revision| EvacuationRow {
            domain: domain.into(),
            evacuated,
            revision,
        };
        EvacuationsReply {
            confirmed: true,
            evacuations: Some(Evacuations {
                revision: 3,
                rows: vec![row("milano", true, 3), row("torino", false, 2)],
            }),
        }
    }

    async fn put_table(self, _: Context, table: Table) -> TableReply {
        let mut stored = self
            .stored
            .lock()
            .expect("no test panics while it holds it");
        if table.version == UNCERTAIN {
            return TableReply::default();
        }
        let version = stored.as_ref().map(|stored| stored.version);
        let outcome = if Some(table.version) > version {
            *stored = Some(table);
            TableOutcome::Taken
        } else {
            TableOutcome::Older
        };
        TableReply {
            outcome: outcome.into(),
            version: stored.as_ref().expect("a table").version,
        }
    }

    async fn read_table(self, _: Context) -> ReadReply {
        let stored = self
            .stored
            .lock()
            .expect("no test panics while it holds it");
        ReadReply {
            confirmed: stored.is_some() || self.confirms_none,
            table: stored.clone(),
        }
    }

    async fn report(self, _: Context, _: Report) -> Suspects {
        let row = |path, refused_ms| Suspect {
            request: Some(Fingerprint {
                path,
                body: 1,
                sender: 2,
            }),
            refused_ms,
        };
        Suspects {
            revision: 2,
            rows: vec![row(10, 90_000), row(11, 0)],
        }
    }

    async fn resolve(self, _: Context, _: ResolveQuery) -> ResolveReply {
        ResolveReply::default()
    }
}

#[tokio::test]
async fn test_routes_put_and_show() {
    let hub = listen!(HubApi, Hub::default());
    let path = write("routes.ini", FILE);
    let path = path.display();
    let before = rwrctl(&format!("routes show --hub {hub}")).await;
    assert_eq!(before.exit, Exit::Unreachable);
    let put = rwrctl(&format!(
        "routes put {path} --hub {},{hub}",
        unused_address()
    ))
    .await;
    assert_eq!(put.exit, Exit::Done, "{}", put.err);
    let show = rwrctl(&format!("routes show --hub {hub}")).await;
    assert!(
        show.out.contains("[route example.org/status/]"),
        "{}",
        show.out
    );
    let again = rwrctl(&format!("routes put {path} --hub {hub}")).await;
    assert_eq!(again.exit, Exit::Conflict);
}

/// Guards against "no table yet" and "not confirmed" that are told as a version, and against a put
/// of unknown outcome that is reported as having changed nothing.
#[tokio::test]
async fn test_routes_without_a_table_are_no_version() {
    let hub = listen!(
        HubApi,
        Hub {
            confirms_none: true,
            ..Hub::default()
        }
    );
    let none = rwrctl(&format!("routes show --hub {hub}")).await;
    assert_eq!(none.exit, Exit::Failure);
    assert!(
        none.err.contains("no route table was accepted"),
        "{}",
        none.err
    );
    let unconfirmed = listen!(HubApi, Hub::default());
    let unconfirmed = rwrctl(&format!("routes show --hub {unconfirmed}")).await;
    assert!(
        unconfirmed.err.contains("no majority"),
        "{}",
        unconfirmed.err
    );
    let uncertain = write("routes-uncertain.ini", &FILE.replace("= 7", "= 9"));
    let put = rwrctl(&format!("routes put {} --hub {hub}", uncertain.display())).await;
    assert_eq!(put.exit, Exit::Uncertain, "{}", put.err);
    assert!(put.err.contains("version 9"), "{}", put.err);
    let first = write("routes-first.ini", &FILE.replace("= 7", "= 0"));
    let put = rwrctl(&format!("routes put {} --hub {hub}", first.display())).await;
    assert_eq!(put.exit, Exit::Done, "{}", put.err);
    assert!(put.out.contains("version 0 is in force"), "{}", put.out);
    let show = rwrctl(&format!("routes show --hub {hub}")).await;
    assert!(show.out.contains("version = 0"), "{}", show.out);
}

#[tokio::test]
async fn test_routes_check_reports_every_fault() {
    let bad = FILE.replace("attempts = 2", "attempts = 0\ntimeout = 11min");
    let path = write("routes-bad.ini", &bad);
    let result = rwrctl(&format!("routes check {}", path.display())).await;
    assert_eq!(result.exit, Exit::Invalid);
    for part in ["0 attempts", "timeout"] {
        assert!(result.err.contains(part), "{part} in {}", result.err);
    }
    let good = write("routes-good.ini", FILE);
    let result = rwrctl(&format!("routes check {}", good.display())).await;
    assert_eq!(result.exit, Exit::Done, "{}", result.err);
}

#[tokio::test]
async fn test_routes_quarantined_requests_are_shown() {
    let hub = listen!(HubApi, Hub::default());
    let listed = rwrctl(&format!("quarantine --hub {hub}")).await;
    assert_eq!(listed.exit, Exit::Done, "{}", listed.err);
    assert!(
        listed
            .out
            .contains("000000000000000a-0000000000000001-0000000000000002"),
        "{}",
        listed.out
    );
    assert!(listed.out.contains("90s"), "{}", listed.out);
    assert!(!listed.out.contains("000000000000000b"), "{}", listed.out);
}

#[tokio::test]
async fn test_routes_failure_domain_is_evacuated_and_returned() {
    let hub = listen!(HubApi, Hub::default());
    let cases = [
        ("evacuate milano", Exit::Done, "milano gets nothing more"),
        ("return milano", Exit::Done, "milano is in use"),
        ("evacuate torino", Exit::Conflict, "was taken meanwhile"),
        ("evacuate genova", Exit::Invalid, "too many others"),
        ("return bergamo", Exit::Uncertain, "may or may not"),
        ("evacuations", Exit::Done, "milano"),
        ("evacuate", Exit::Usage, "DOMAIN"),
    ];
    for (line, exit, text) in cases {
        let result = rwrctl(&format!("{line} --hub {hub}")).await;
        assert_eq!(result.exit, exit, "{line}: {}", result.err);
        let output = format!("{}{}", result.out, result.err);
        assert!(output.contains(text), "{line}: {output}");
    }
    let listed = rwrctl(&format!("evacuations --hub {hub}")).await;
    assert!(!listed.out.contains("torino"), "{}", listed.out);
}

/// Guards against keys in tables that are shown, and against a table that takes effect in part.
#[tokio::test]
async fn test_routes_with_workspaces_are_checked_put_and_shown() {
    let hub = listen!(HubApi, Hub::default());
    let sections = "\n[workspace acme]\nkeys = secret-key\nrate = 2.5/s\nburst = 30\n";
    let good = FILE.replace("kind = idempotent", "kind = download\npublic = yes") + sections;
    let path = write("routes-workspaces.ini", &good);
    let put = rwrctl(&format!("routes put {} --hub {hub}", path.display())).await;
    assert_eq!(put.exit, Exit::Done, "{}", put.err);
    let shared = format!(
        "{}\n[workspace other]\nkeys = secret-key\n",
        good.replace("= 7", "= 8")
    );
    let cases = [
        (
            "shared",
            shared,
            "workspace other: workspace acme holds one of its keys",
        ),
        (
            "malformed",
            good.replace("keys", "key-digests"),
            "64 hexadecimal digits",
        ),
        (
            "rate",
            good.replace("2.5/s", "2.5"),
            "[workspace acme] rate",
        ),
    ];
    for (name, text, fault) in cases {
        let path = write(&format!("routes-{name}.ini"), &text);
        for command in ["check", "put"] {
            let line = format!("routes {command} {} --hub {hub}", path.display());
            let result = rwrctl(&line).await;
            assert_eq!(result.exit, Exit::Invalid, "{name}: {}", result.out);
            assert!(result.err.contains(fault), "{name}: {}", result.err);
            assert!(!result.err.contains("secret-key"), "{name}: {}", result.err);
        }
    }
    let show = rwrctl(&format!("routes show --hub {hub}")).await;
    for part in [
        "version = 7",
        "[workspace acme]",
        "key-digests = ",
        "public = yes",
        "kind = download",
    ] {
        assert!(show.out.contains(part), "{part} in {}", show.out);
    }
    assert!(!show.out.contains("secret-key"), "{}", show.out);
}
