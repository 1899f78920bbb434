//! Exit codes, standard output and signals of the process.

use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

const BINARY: &str = env!("CARGO_BIN_EXE_rwr-standin");

fn write_config(name: &str, listen: &str) -> String {
    let text = format!(
        "[standin]\nlisten = {listen}\nservice = grants\ninstance = grants-1\ndomain = milano\ndrain = 0ms\n"
    );
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path.display().to_string()
}

/// Arguments, the expected exit code, and a text that each stream contains.
struct Case<'a> {
    arguments: Vec<&'a str>,
    code: i32,
    out: &'a str,
    err: &'a str,
}

#[test]
fn test_process_exit_codes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let good = write_config("process-good.ini", "127.0.0.1:0");
    let bad = write_config("process-bad.ini", "localhost");
    let busy = write_config("process-busy.ini", &address);
    let case = |arguments, code, out, err| Case {
        arguments,
        code,
        out,
        err,
    };
    let cases = [
        case(vec!["--help"], 0, "Usage: rwr-standin --config FILE", ""),
        case(vec!["--version"], 0, "rwr-standin ", ""),
        case(vec!["--check", "--config", &good], 0, "drain = 0ms", ""),
        case(vec!["--check", "--config", &bad], 2, "", "[standin] listen"),
        case(vec!["--config", "nowhere.ini"], 2, "", "rwr-standin: "),
        case(vec!["--colour"], 2, "", "--colour"),
        case(vec![], 2, "", "--config FILE is required"),
        case(vec!["--config", &busy], 1, "msg=failed", ""),
    ];
    for case in cases {
        let output = Command::new(BINARY).args(&case.arguments).output();
        let output = output.expect("it runs");
        let out = String::from_utf8_lossy(&output.stdout);
        let err = String::from_utf8_lossy(&output.stderr);
        let context = format!("{:?}: {out} {err}", case.arguments);
        assert_eq!(output.status.code(), Some(case.code), "{context}");
        assert!(out.contains(case.out), "{context}");
        assert!(err.contains(case.err), "{context}");
        assert_eq!(out.is_empty(), case.out.is_empty(), "{context}");
        assert_eq!(err.is_empty(), case.err.is_empty(), "{context}");
    }
}

#[test]
fn test_process_stops_on_signal() {
    let config = write_config("process-stop.ini", "127.0.0.1:0");
    for signal in ["-TERM", "-INT"] {
        let mut child = Command::new(BINARY)
            .args(["--config", &config])
            .stdout(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut lines = BufReader::new(child.stdout.take().expect("its log")).lines();
        let ready = lines.find_map(|line| line.ok().filter(|l| l.contains("msg=ready")));
        assert!(ready.expect("a ready line").contains("address="));
        let sent = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(sent.success());
        let rest: Vec<String> = lines.map_while(Result::ok).collect();
        let status = child.wait().expect("it ends");
        assert_eq!(status.code(), Some(0), "{signal}: {rest:?}");
    }
}
