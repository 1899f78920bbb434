//! `rwrctl apply`: exit codes of each reply, resends after a lost reply, and waiting.

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
use wire::directory::Host;
use wire::directory::HostPhase;

/// The common file with a second gateway.
fn two_gateways() -> String {
    format!("{FILE}\n[gateway torino-1]\n")
}

#[tokio::test]
async fn test_apply_answers() {
    let fake = Fake::default();
    let control = listen!(ControlApi, fake);
    let name = "answers.ini";
    let file = write(name, &two_gateways());
    let more = write("answers-more.ini", &two_gateways().replace("84", "85"));
    let bad = write(
        "answers-bad.ini",
        &two_gateways()
            .replace("once", "twice")
            .replace("64KiB", "64"),
    );
    let old = format!(
        "[catalogue]\nversion = 1\n\n{}",
        two_gateways().replace("84", "86")
    );
    let old = write("answers-old.ini", &old);
    let (file, more) = (file.display(), more.display());
    let (bad, old) = (bad.display(), old.display());
    let cases = [
        (
            format!("apply {bad}"),
            Exit::Invalid,
            "[service grants] body: \"64\" has the wrong form",
        ),
        (
            format!("apply {bad}"),
            Exit::Invalid,
            "[service grants] class: \"twice\" has the wrong form",
        ),
        (
            format!("apply {file} --base 7 --id ahead"),
            Exit::Invalid,
            " base: is ahead of the current version 0",
        ),
        (
            format!("apply {file} --id a-1 --author anna"),
            Exit::Done,
            "",
        ),
        (format!("apply {file} --id a-2"), Exit::Done, ""),
        (
            format!("apply {more} --id a-1"),
            Exit::Invalid,
            "id a-1 was used for another change, which made version 1",
        ),
        (
            format!("apply {more} --id b-1 --base 0"),
            Exit::Conflict,
            "change a-1 by anna came first on version 0; now at version 1",
        ),
        (format!("apply {more} --id b-2 --base 1"), Exit::Done, ""),
        (
            format!("apply {old} --id b-3"),
            Exit::Conflict,
            "change b-2 by operator came first on version 1; now at version 2",
        ),
        (
            format!("apply {more} --id b/2"),
            Exit::Usage,
            "--id \"b/2\" has the wrong form",
        ),
        (
            format!("apply {more}.absent"),
            Exit::Invalid,
            "No such file",
        ),
        ("apply".into(), Exit::Usage, "FILE is missing"),
    ];
    for (line, exit, err) in cases {
        let result = rwrctl(&format!("{line} --control {control} --timeout 300ms")).await;
        assert_eq!(result.exit, exit, "{line}: {}", result.err);
        assert!(result.err.contains(err), "{line}: {}", result.err);
        assert_eq!(
            result.err.contains("hint: "),
            exit != Exit::Done,
            "{line}: {}",
            result.err
        );
    }
    assert_eq!(fake.lock().state.catalogue().version, 2);
    let folder = env!("CARGO_TARGET_TMPDIR");
    let left = std::fs::read_dir(folder)
        .expect("the folder")
        .filter(|entry| {
            let entry = entry.as_ref().expect("an entry");
            let entry = entry.file_name().to_string_lossy().into_owned();
            entry.starts_with("answers") && entry.ends_with(".change")
        });
    assert_eq!(
        left.count(),
        0,
        "every answer was certain, so no change stays saved"
    );
}

/// Guards against a file that was made from the empty catalogue, version 0, and takes back the
/// first change, which another operator made since.
#[tokio::test]
async fn test_apply_file_of_empty_catalogue_conflicts_with_first_change() {
    let fake = Fake::default();
    let control = listen!(ControlApi, fake);
    let flags = format!("--control {control} --timeout 300ms");
    let shown = rwrctl(&format!("show --ini {flags}")).await;
    assert_eq!(shown.exit, Exit::Done, "{}", shown.err);
    let other = FILE.replace("service grants", "service archive");
    let mine = write("empty-mine.ini", &format!("{}\n{other}", shown.out));
    let first = write("empty-first.ini", &two_gateways());
    let result = rwrctl(&format!("apply {} --id first {flags}", first.display())).await;
    assert_eq!(result.exit, Exit::Done, "{}", result.err);

    let result = rwrctl(&format!("plan {} {flags}", mine.display())).await;
    let warning = "the file was made from version 0, so applying it will end in a conflict";
    assert!(result.out.contains(warning), "{}", result.out);
    let result = rwrctl(&format!("apply {} --id mine {flags}", mine.display())).await;
    assert_eq!(result.exit, Exit::Conflict, "{}", result.err);
    let catalogue = fake.lock().state.catalogue().clone();
    assert_eq!(catalogue.version, 1);
    assert_eq!(catalogue.gateways.len(), 2);
}

#[tokio::test]
async fn test_apply_resends_the_same_change() {
    let fake = Fake::default();
    let control = listen!(ControlApi, fake);
    let file = write("resend.ini", &two_gateways());
    let line = format!(
        "apply {} --control {control} --timeout 300ms --plain",
        file.display()
    );
    fake.lock().lost_replies = 1_000;
    let result = rwrctl(&format!("{line} --id lost-1")).await;
    assert_eq!(result.exit, Exit::Uncertain, "{}", result.err);
    assert!(
        result
            .out
            .contains("item=change id=lost-1 base=0 edits=3\n"),
        "{}",
        result.out
    );
    let hint = format!(
        "hint: resend it: rwrctl apply {} --id lost-1\n",
        file.display()
    );
    assert!(result.err.ends_with(&hint), "{}", result.err);
    fake.lock().lost_replies = 0;
    let result = rwrctl(&format!("{line} --id lost-1")).await;
    assert_eq!(result.exit, Exit::Done, "{}", result.err);
    assert!(
        result.out.ends_with("item=accepted id=lost-1 version=1\n"),
        "{}",
        result.out
    );
    let server = fake.lock();
    assert!(server.changes.len() > 2);
    assert!(
        server
            .changes
            .iter()
            .all(|change| *change == server.changes[0])
    );
    assert_eq!(server.state.catalogue().version, 1);
}

#[tokio::test]
async fn test_apply_tries_the_next_replica() {
    let fake = Fake::default();
    let control = listen!(ControlApi, fake);
    let file = write("next.ini", &two_gateways());
    let (dead, file) = (unused_address(), file.display());
    let result = rwrctl(&format!("apply {file} --control {dead},{control}")).await;
    assert_eq!(result.exit, Exit::Done, "{}", result.err);
    let result = rwrctl(&format!("apply {file} --control {dead}")).await;
    assert_eq!(result.exit, Exit::Unreachable, "{}", result.err);
    assert!(
        result.err.contains(&format!("connect to {dead}")),
        "{}",
        result.err
    );
    fake.lock().no_majority = true;
    let result = rwrctl(&format!("apply {file} --control {control}")).await;
    assert_eq!(result.exit, Exit::Unreachable);
    assert!(
        result
            .err
            .contains("could not confirm version 1 by a majority"),
        "{}",
        result.err
    );
}

fn host(name: &str, phase: HostPhase, version: u64) -> Host {
    Host {
        host: name.into(),
        phase: phase.into(),
        version,
        ..Host::default()
    }
}

#[tokio::test]
async fn test_apply_waits_until_in_force() {
    use HostPhase::Fenced;
    use HostPhase::Serving;
    let cases = [
        (
            "all have it",
            vec![("milano-1", Serving, 1), ("torino-1", Serving, 1)],
            Exit::Done,
            "",
        ),
        (
            "one behind",
            vec![("milano-1", Serving, 1), ("torino-1", Serving, 0)],
            Exit::Unfinished,
            "not yet in force on torino-1\n",
        ),
        (
            "one fenced",
            vec![("milano-1", Serving, 1), ("torino-1", Fenced, 0)],
            Exit::Done,
            "",
        ),
        (
            "all fenced",
            vec![("milano-1", Fenced, 0), ("torino-1", Fenced, 0)],
            Exit::Unfinished,
            "not yet in force on milano-1, torino-1\n",
        ),
        (
            "one not heard",
            vec![("torino-1", Serving, 1)],
            Exit::Unfinished,
            "not yet in force on milano-1\n",
        ),
        (
            "one not registered",
            vec![
                ("milano-1", Serving, 1),
                ("torino-1", Serving, 1),
                ("new-1", Serving, 0),
            ],
            Exit::Unfinished,
            "not yet in force on new-1\n",
        ),
    ];
    for (name, hosts, exit, err) in cases {
        let fake = Fake::default();
        let (control, directory) = (listen!(ControlApi, fake), listen!(DirectoryApi, fake));
        let hosts = hosts
            .into_iter()
            .map(|(h, phase, version)| host(h, phase, version));
        fake.lock().hosts.hosts = hosts.collect();
        let file = write("wait.ini", &two_gateways());
        let line = format!(
            "apply {} --control {control} --directory {directory}",
            file.display()
        );
        let result = rwrctl(&format!("{line} --wait --within 250ms --plain")).await;
        assert_eq!(result.exit, exit, "{name}: {}", result.err);
        assert!(result.err.contains(err), "{name}: {}", result.err);
        let rows = result
            .out
            .lines()
            .filter(|line| line.starts_with("item=host"));
        assert_eq!(
            rows.count(),
            if name == "one not registered" { 3 } else { 2 },
            "{name}"
        );
    }
}
