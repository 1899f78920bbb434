//! Invalid settings that are accepted, and command lines with a wrong exit code.

use std::process::Command;

use conf::Reader;
use control::Settings;

const GOOD: &str = "\
[control]
host = control-1
domain = milano
region = north-west
data = data
rpc = 127.0.0.1:7101

[replica]
listen = 127.0.0.1:7111
address = 127.0.0.1:7111
initial = 127.0.0.1:7111, 127.0.0.1:7112, 127.0.0.1:7113
";

fn read(text: &str) -> Result<Settings, String> {
    let reader = Reader::parse("control.ini", text).map_err(|err| err.to_string())?;
    Settings::read(reader).map_err(|err| err.to_string())
}

#[test]
fn test_settings_displayed_settings_read_back_the_same() {
    let settings = read(GOOD).expect("reads");
    let reparsed = read(&settings.to_string()).expect("reads back");
    assert_eq!(settings, reparsed);
}

#[test]
fn test_settings_faults_name_section_and_key() {
    let cases = [
        ("host = control-1", "", "[control] host: is missing"),
        (
            "region = north-west",
            "region = two words",
            "[control] region: ",
        ),
        (
            "rpc = 127.0.0.1:7101",
            "rpc = localhost:7101",
            "[control] rpc: ",
        ),
        (
            "[replica]",
            "[replica]\ncolour = red",
            "[replica] colour: is no known key",
        ),
        (
            "[replica]",
            "[other]\nx = 1\n[replica]",
            "[other] : is no known section",
        ),
        (
            "address = 127.0.0.1:7111",
            "address = 127.0.0.1:9",
            "[replica] initial: contradicts address",
        ),
        (
            "initial = 127.0.0.1:7111,",
            "initial = 127.0.0.1:7111, 127.0.0.1:7111,",
            "[replica] initial: ",
        ),
        (
            "[replica]",
            "[timing]\nheartbeat = 1s\n[replica]",
            "[timing] heartbeat: contradicts election",
        ),
        (
            "[replica]",
            "[timing]\nask = 1ms\n[replica]",
            "[timing] ask: contradicts election",
        ),
        (
            "[replica]",
            "[timing]\nask = 5\n[replica]",
            "[timing] ask: ",
        ),
        (
            "[replica]",
            "[store]\nsegment = 1B\n[replica]",
            "[store] segment: ",
        ),
        (
            "[replica]",
            "[store]\ngroup = 0\n[replica]",
            "[store] group: ",
        ),
        (
            "[replica]",
            "[replica]\nacceptance = all",
            "[replica] acceptance: ",
        ),
    ];
    for (from, to, expected) in cases {
        assert!(GOOD.contains(from), "{from}");
        let err = read(&GOOD.replacen(from, to, 1)).expect_err(to);
        assert!(err.contains(expected), "{to}: {err}");
    }
}

/// Command line arguments, the expected exit code, and a part of the expected output.
struct Case {
    arguments: &'static [&'static str],
    code: i32,
    printed: &'static str,
}

#[test]
fn test_settings_command_line() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("control-settings");
    std::fs::create_dir_all(&folder).expect("folder");
    std::fs::write(folder.join("good.ini"), GOOD).expect("writes");
    std::fs::write(folder.join("bad.ini"), "[control]\n").expect("writes");
    let cases = [
        Case {
            arguments: &["--config", "good.ini", "--check"],
            code: 0,
            printed: "heartbeat = 50ms",
        },
        Case {
            arguments: &["--config", "bad.ini", "--check"],
            code: 2,
            printed: "is missing",
        },
        Case {
            arguments: &["--config", "none.ini"],
            code: 2,
            printed: "none.ini",
        },
        Case {
            arguments: &["--colour"],
            code: 2,
            printed: "--colour",
        },
        Case {
            arguments: &[],
            code: 2,
            printed: "--config FILE is required",
        },
        Case {
            arguments: &["--help"],
            code: 0,
            printed: "Usage: rwr-control",
        },
        Case {
            arguments: &["--version"],
            code: 0,
            printed: "rwr-control ",
        },
    ];
    for case in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_rwr-control"))
            .args(case.arguments)
            .current_dir(&folder)
            .output()
            .expect("runs");
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8_lossy(&printed);
        assert_eq!(output.status.code(), Some(case.code), "{printed}");
        assert!(printed.contains(case.printed), "{printed}");
    }
}
