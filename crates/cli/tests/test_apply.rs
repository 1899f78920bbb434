//! `rwrctl apply`: each answer, lost answers, resends, and waiting.

mod fakes;

use cli::Exit;
use fakes::FILE;
use fakes::Fake;
use fakes::listen;
use fakes::nobody;
use fakes::rwrctl;
use fakes::write;
use futures::StreamExt;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use wire::directory::Host;
use wire::directory::HostPhase;

/// The common file with one gateway more.
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
        let ended = rwrctl(&format!("{line} --control {control} --timeout 300ms")).await;
        assert_eq!(ended.exit, exit, "{line}: {}", ended.err);
        assert!(ended.err.contains(err), "{line}: {}", ended.err);
        assert_eq!(
            ended.err.contains("hint: "),
            exit != Exit::Done,
            "{line}: {}",
            ended.err
        );
    }
    assert_eq!(fake.world().state.catalogue().version, 2);
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

#[tokio::test]
async fn test_apply_resends_the_same_change() {
    let fake = Fake::default();
    let control = listen!(ControlApi, fake);
    let file = write("resend.ini", &two_gateways());
    let line = format!(
        "apply {} --control {control} --timeout 300ms --plain",
        file.display()
    );
    fake.world().lost = 1_000;
    let ended = rwrctl(&format!("{line} --id lost-1")).await;
    assert_eq!(ended.exit, Exit::Uncertain, "{}", ended.err);
    assert!(
        ended.out.contains("item=change id=lost-1 base=0 edits=3\n"),
        "{}",
        ended.out
    );
    let hint = format!(
        "hint: resend it: rwrctl apply {} --id lost-1\n",
        file.display()
    );
    assert!(ended.err.ends_with(&hint), "{}", ended.err);
    fake.world().lost = 0;
    let ended = rwrctl(&format!("{line} --id lost-1")).await;
    assert_eq!(ended.exit, Exit::Done, "{}", ended.err);
    assert!(
        ended.out.ends_with("item=accepted id=lost-1 version=1\n"),
        "{}",
        ended.out
    );
    let world = fake.world();
    assert!(world.changes.len() > 2);
    assert!(
        world
            .changes
            .iter()
            .all(|change| *change == world.changes[0])
    );
    assert_eq!(world.state.catalogue().version, 1);
}

#[tokio::test]
async fn test_apply_goes_on_to_the_next_replica() {
    let fake = Fake::default();
    let control = listen!(ControlApi, fake);
    let file = write("next.ini", &two_gateways());
    let (dead, file) = (nobody(), file.display());
    let ended = rwrctl(&format!("apply {file} --control {dead},{control}")).await;
    assert_eq!(ended.exit, Exit::Done, "{}", ended.err);
    let ended = rwrctl(&format!("apply {file} --control {dead}")).await;
    assert_eq!(ended.exit, Exit::Unreachable, "{}", ended.err);
    assert!(
        ended.err.contains(&format!("connect to {dead}")),
        "{}",
        ended.err
    );
    fake.world().cut = true;
    let ended = rwrctl(&format!("apply {file} --control {control}")).await;
    assert_eq!(ended.exit, Exit::Unreachable);
    assert!(
        ended
            .err
            .contains("could not confirm version 1 by a majority"),
        "{}",
        ended.err
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
        fake.world().hosts.hosts = hosts.collect();
        let file = write("wait.ini", &two_gateways());
        let line = format!(
            "apply {} --control {control} --directory {directory}",
            file.display()
        );
        let ended = rwrctl(&format!("{line} --wait --within 250ms --plain")).await;
        assert_eq!(ended.exit, exit, "{name}: {}", ended.err);
        assert!(ended.err.contains(err), "{name}: {}", ended.err);
        let rows = ended
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
