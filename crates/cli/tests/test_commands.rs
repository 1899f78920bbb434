//! The output of each command, aligned and with `--plain`, and its exit code.

mod fakes;

use cli::Exit;
use fakes::FILE;
use fakes::Fake;
use fakes::listen;
use fakes::rwrctl;
use fakes::unused_address;
use fakes::write;
use futures::StreamExt;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use wire::control::MembershipDone;
use wire::control::MembershipPending;
use wire::control::MembershipRefused;
use wire::control::Replica;
use wire::control::Role;
use wire::control::Status;
use wire::control::membership_reply;
use wire::directory::Host;
use wire::directory::HostPhase;
use wire::directory::Instance;
use wire::directory::InstanceChange;
use wire::directory::Phase;
use wire::gateway::Candidate;
use wire::hub::Fingerprint;
use wire::hub::Suspect;

fn of_version(version: u64) -> String {
    format!("[catalogue]\nversion = {version}\n\n{FILE}")
}

/// A fake with one host, one service, one instance and one replica.
fn filled() -> Fake {
    let fake = Fake::filled();
    let mut server = fake.lock();
    server.hosts.hosts = vec![Host {
        host: "milano-1".into(),
        domain: "milano".into(),
        gateway: "127.0.0.1:8080".into(),
        phase: HostPhase::Serving.into(),
        version: 1,
        age_ms: 40,
        ..Host::default()
    }];
    server.instances.instances = vec![InstanceChange {
        instance: Some(Instance {
            service: "grants".into(),
            id: "g-1".into(),
            address: "127.0.0.1:9000".into(),
            domain: "milano".into(),
            slots: 6,
            connections: 250,
            phase: Phase::Draining.into(),
            incarnation: 5,
            sequence: 9,
        }),
        gone: false,
    }];
    server.suspects.rows = vec![Suspect {
        request: Some(Fingerprint {
            path: 10,
            body: 1,
            sender: 2,
        }),
        refused_ms: 89_001,
    }];
    server.explain.version = 1;
    server.explain.in_flight = 2;
    let unreported = Candidate {
        instance: "g-2".into(),
        health: "well".into(),
        age_ms: None,
        ..Candidate::default()
    };
    server.explain.candidates = vec![
        Candidate {
            instance: "g-1".into(),
            health: "slow".into(),
            in_flight: 2,
            latency_us: 1_500,
            age_ms: Some(12),
            chosen_millis: 250,
            reason: "least load".into(),
        },
        unreported,
    ];
    server.status = Status {
        id: 7,
        role: Role::Leader.into(),
        term: 3,
        leader: 7,
        commit: 11,
        applied: 11,
        version: 1,
        first_index: 1,
        replicas: vec![Replica {
            id: 7,
            address: "127.0.0.1:7000".into(),
            domain: "milano".into(),
            region: "north-west".into(),
            voter: true,
        }],
        ledger_keys: 4,
    };
    drop(server);
    fake
}

#[tokio::test]
async fn test_commands_show() {
    let fake = filled();
    let (control, directory) = (listen!(ControlApi, fake), listen!(DirectoryApi, fake));
    let gateway = listen!(GatewayApi, fake);
    let dead = unused_address();
    let same = write("show.ini", FILE);
    let more = write(
        "show-more.ini",
        &FILE.replace("84", "85").replace("milano-1", "milano-2"),
    );
    let (same, more) = (same.display(), more.display());
    let refused = format!("connect to {dead}: Connection refused (os error 111)");
    let cases = [
        (format!("plan {same}"), "version 1: nothing to change\n".into(), "item=plan base=1 differences=0\n".into()),
        (
            format!("plan {more}"),
            "against version 1, 3 differences:\n\
             EFFECT  NAME      FIELD    FROM  TO\n\
             change  grants    queue    84    85\n\
             add     milano-2  gateway  -     -\n\
             remove  milano-1  gateway  -     -\n".into(),
            "item=plan base=1 differences=3\n\
             item=difference effect=change name=grants field=queue from=84 to=85\n\
             item=difference effect=add name=milano-2 field=gateway from=\"\" to=\"\"\n\
             item=difference effect=remove name=milano-1 field=gateway from=\"\" to=\"\"\n".into(),
        ),
        (
            "show".into(),
            "version 1, 1 services, 1 gateways\n\
             SERVICE  OWNER            CLASS  CONCURRENCY  QUEUE  DEADLINE  BODY   RETRIES  PROBES\n\
             grants   Ferrovie Alpine  once   42           84     2s        64KiB  10%      2/s\n\
             GATEWAY\n\
             milano-1\n".into(),
            "item=catalogue version=1 services=1 gateways=1\n\
             item=service service=grants owner=\"Ferrovie Alpine\" class=once concurrency=42 queue=84 deadline=2s body=64KiB retries=10% probes=2/s\n\
             item=gateway gateway=milano-1\n".into(),
        ),
        ("show --ini".into(), of_version(1), of_version(1)),
        (
            "history".into(),
            "VERSION  ID   AUTHOR  EDITS\n1        a-1  anna    put grants, add gateway milano-1\n".into(),
            "item=change version=1 id=a-1 author=anna edits=\"put grants, add gateway milano-1\"\n".into(),
        ),
        (
            "hosts".into(),
            "HOST      DOMAIN  GATEWAY         PHASE    VERSION  AGE-MS\nmilano-1  milano  127.0.0.1:8080  serving  1        40\n".into(),
            "item=host host=milano-1 domain=milano gateway=127.0.0.1:8080 phase=serving version=1 age-ms=40\n".into(),
        ),
        (
            "upstreams grants".into(),
            "SERVICE  ID   ADDRESS         DOMAIN  SLOTS  CONNECTIONS  PHASE     INCARNATION\n\
             grants   g-1  127.0.0.1:9000  milano  6      250          draining  5\n".into(),
            "item=upstream service=grants id=g-1 address=127.0.0.1:9000 domain=milano slots=6 connections=250 phase=draining incarnation=5\n".into(),
        ),
        ("upstreams none".into(), "SERVICE  ID  ADDRESS  DOMAIN  SLOTS  CONNECTIONS  PHASE  INCARNATION\n".into(), String::new()),
        (
            "explain grants".into(),
            "grants: version 1, fenced no, 0 queued, 2 in flight\n\
             INSTANCE  HEALTH  IN-FLIGHT  LATENCY-US  AGE-MS  CHOSEN-MILLIS  REASON\n\
             g-1       slow    2          1500        12      250            least load\n\
             g-2       well    0          0           -       0              -\n".into(),
            "item=gateway service=grants version=1 fenced=no queued=0 in-flight=2\n\
             item=candidate instance=g-1 health=slow in-flight=2 latency-us=1500 age-ms=12 chosen-millis=250 reason=\"least load\"\n\
             item=candidate instance=g-2 health=well in-flight=0 latency-us=0 age-ms=\"\" chosen-millis=0 reason=\"\"\n".into(),
        ),
        (
            "drain".into(),
            format!("{gateway} stops; 3 calls in flight finish first\n"),
            format!("item=drain gateway={gateway} in-flight=3\n"),
        ),
        (
            format!("replica list --control {control},{dead}"),
            String::new(),
            format!(
                "item=status asked={control} id=7 role=leader term=3 leader=7 commit=11 applied=11 version=1 keys=4 error=\"\"\n\
                 item=status asked={dead} id=\"\" role=\"\" term=\"\" leader=\"\" commit=\"\" applied=\"\" version=\"\" keys=\"\" error=\"{refused}\"\n\
                 item=replica id=7 address=127.0.0.1:7000 domain=milano region=north-west voter=yes\n"
            ),
        ),
    ];
    for (line, people, plain) in cases {
        let mut line = format!("{line} --directory {directory} --gateway {gateway}");
        if !line.contains("--control") {
            line = format!("{line} --control {control}");
        }
        let result = rwrctl(&format!("{line} --plain")).await;
        assert_eq!(
            (result.exit, result.out.as_str()),
            (Exit::Done, plain.as_str()),
            "{line}: {}",
            result.err
        );
        let result = rwrctl(&line).await;
        assert_eq!(result.exit, Exit::Done, "{line}: {}", result.err);
        assert!(
            people.is_empty() || result.out == people,
            "{line}:\n{}",
            result.out
        );
    }
}

#[tokio::test]
async fn test_commands_quarantine_of_directory() {
    let directory = listen!(DirectoryApi, filled());
    let line = format!("quarantine --directory {directory}");
    let cases = [
        (
            "",
            "FINGERPRINT                                         LEFT\n\
             000000000000000a-0000000000000001-0000000000000002  90s\n",
        ),
        (
            " --plain",
            "item=request fingerprint=000000000000000a-0000000000000001-0000000000000002 left=90s\n",
        ),
    ];
    for (flag, text) in cases {
        let result = rwrctl(&format!("{line}{flag}")).await;
        assert_eq!((result.exit, result.out.as_str()), (Exit::Done, text));
    }
}

#[tokio::test]
async fn test_commands_replica_changes() {
    use membership_reply::Kind;
    let fake = filled();
    let control = listen!(ControlApi, fake);
    let add = "replica add --id 9 --address 127.0.0.1:7009 --domain torino --region north-west";
    let refused = Kind::Refused(MembershipRefused {
        reason: "one change at a time".into(),
    });
    let cases = [
        (
            add,
            Some(Kind::Done(MembershipDone {})),
            Exit::Done,
            "done: the group has changed\n",
        ),
        (
            add,
            Some(Kind::Pending(MembershipPending { behind: 40 })),
            Exit::Unfinished,
            "still learns, 40 entries behind",
        ),
        (
            "replica remove --id 7",
            Some(refused),
            Exit::Invalid,
            "refused: one change at a time",
        ),
        (
            "replica remove --id 7",
            None,
            Exit::Failure,
            "the answer has no content",
        ),
        (
            "replica add --id 9",
            None,
            Exit::Usage,
            "--address ADDRESS is missing",
        ),
        (
            "replica remove --id nine",
            None,
            Exit::Usage,
            "--id \"nine\" has the wrong form",
        ),
        (
            "replica move",
            None,
            Exit::Usage,
            "\"replica move\" is no command",
        ),
    ];
    for (line, kind, exit, text) in cases {
        fake.lock().membership.kind = kind;
        let result = rwrctl(&format!("{line} --control {control}")).await;
        assert_eq!(result.exit, exit, "{line}: {}", result.err);
        assert!(
            format!("{}{}", result.out, result.err).contains(text),
            "{line}: {}",
            result.err
        );
    }
}

const ENTRY_LOG: &str = "\
ts=110.0 level=INFO msg=choice host=entry-1 binary=rwr-entry instance=i-1 attempt=1 request=r-7
ts=111.0 level=INFO msg=request host=entry-1 binary=rwr-entry status=504 outcome=timeout request=r-7
";
const OTHER_LOG: &str = "ts=109.5 level=INFO msg=hub host=entry-2 binary=rwr-entry outcome=lost\n";

#[tokio::test]
async fn test_story_reads_all_given_files() {
    let (entry, other) = (write("entry.log", ENTRY_LOG), write("other.log", OTHER_LOG));
    let (entry, other) = (entry.display(), other.display());
    let result = rwrctl(&format!("story r-7 {other} {entry}")).await;
    assert_eq!(result.exit, Exit::Done, "{}", result.err);
    assert!(result.out.contains("outcome=timeout"), "{}", result.out);
    let none = rwrctl(&format!("story r-9 {entry}")).await;
    assert_eq!(none.exit, Exit::Failure);
    assert!(
        none.err.contains("no line names request r-9"),
        "{}",
        none.err
    );
    let missing = rwrctl("story r-7 /no/such/log").await;
    assert_eq!(missing.exit, Exit::Failure);
    let usage = rwrctl("story r-7").await;
    assert_eq!(usage.exit, Exit::Usage);
}
