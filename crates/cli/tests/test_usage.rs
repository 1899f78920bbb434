//! Error messages for invalid command lines and settings files, and the use of valid ones.

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
use wire::catalogue::Change;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;

#[tokio::test]
async fn test_usage_errors() {
    let settings = write(
        "client.ini",
        "[rwrctl]\ncontrol = here\ntimeout = 5\ncolour = red\n",
    );
    let (settings, dead) = (settings.display(), unused_address());
    let cases = [
        ("--help".into(), Exit::Done, "Usage: rwrctl"),
        ("show -h".into(), Exit::Done, "Usage: rwrctl"),
        (
            "-V".into(),
            Exit::Done,
            concat!("rwrctl ", env!("CARGO_PKG_VERSION"), " sources="),
        ),
        (String::new(), Exit::Usage, "no command given"),
        ("shew".into(), Exit::Usage, "\"shew\" is no command"),
        ("show --colour".into(), Exit::Usage, "--colour is no option"),
        ("show -x".into(), Exit::Usage, "-x is no option"),
        (
            format!("show --id 3 --control {dead}"),
            Exit::Usage,
            "--id is no option of show",
        ),
        (
            format!("show a b --control {dead}"),
            Exit::Usage,
            "\"b\" is one word too many",
        ),
        (
            "show --plain --plain".into(),
            Exit::Usage,
            "--plain stands twice",
        ),
        ("show --control".into(), Exit::Usage, "missing argument"),
        (
            "show --control localhost:1".into(),
            Exit::Usage,
            "--control \"localhost:1\" has the wrong form",
        ),
        ("show".into(), Exit::Usage, "--control ADDRESS is missing"),
        (
            "hosts".into(),
            Exit::Usage,
            "--directory ADDRESS is missing",
        ),
        ("drain".into(), Exit::Usage, "--gateway ADDRESS is missing"),
        ("explain".into(), Exit::Usage, "SERVICE is missing"),
        (
            format!("apply x.ini --wait --control {dead}"),
            Exit::Usage,
            "--directory ADDRESS is missing",
        ),
        (
            format!("show --config {settings}"),
            Exit::Usage,
            "[rwrctl] control: \"here\" has the wrong form",
        ),
        (
            format!("show --config {settings}"),
            Exit::Usage,
            "[rwrctl] timeout: \"5\" has the wrong form",
        ),
        (
            format!("show --config {settings}"),
            Exit::Usage,
            "[rwrctl] colour: is no known key",
        ),
        (
            format!("show --config {settings}.absent"),
            Exit::Usage,
            "No such file",
        ),
    ];
    for (line, exit, text) in cases {
        let result = rwrctl(&line).await;
        assert_eq!(result.exit, exit, "{line}: {}", result.err);
        assert!(
            format!("{}{}", result.out, result.err).contains(text),
            "{line}: {}",
            result.err
        );
        assert_eq!(
            result.err.contains("hint: "),
            exit != Exit::Done,
            "{line}: {}",
            result.err
        );
    }
}

#[test]
fn test_usage_reference_has_the_usage_text() {
    let page = include_str!("../../../docs/reference/rwrctl.md");
    assert!(page.contains(cli::command::USAGE));
}

#[tokio::test]
async fn test_usage_settings_file() {
    let fake = Fake::default();
    let control = listen!(ControlApi, fake);
    let text = format!("[rwrctl]\ncontrol = {control}\nauthor = bruno\ntimeout = 2s\n");
    let settings = write("good-client.ini", &text);
    let file = write("settings.ini", FILE);
    let line = format!("apply {} --config {}", file.display(), settings.display());
    assert_eq!(rwrctl(&line).await.exit, Exit::Done);
    assert_eq!(fake.lock().changes[0].author, "bruno");
    let result = rwrctl(&format!("show grants --config {}", settings.display())).await;
    assert_eq!(result.exit, Exit::Done, "{}", result.err);
    let result = rwrctl(&format!("show none --config {}", settings.display())).await;
    assert_eq!(result.exit, Exit::Failure);
    assert_eq!(result.err, "rwrctl: there is no service none\n");
    fake.lock().state.apply(&Change {
        id: "later".into(),
        base: 1,
        author: "anna".into(),
        edits: vec![Edit {
            kind: Some(Kind::AddGateway("torino-1".into())),
        }],
    });
    let line = format!(
        "history --from 2 --most 5 --plain --config {}",
        settings.display()
    );
    let expect = "item=change version=2 id=later author=anna edits=\"add gateway torino-1\"\n";
    assert_eq!(rwrctl(&line).await.out, expect);
}
