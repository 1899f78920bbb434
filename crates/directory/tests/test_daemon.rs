//! The daemon as a process: exit codes, the ready line, and the stop on SIGTERM.

use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const BINARY: &str = env!("CARGO_BIN_EXE_rwr-directory");

fn file(name: &str, http: &str) -> PathBuf {
    let text = format!(
        "[directory]\nhost = a\ndomain = milano\nhttp = {http}\nrpc = 127.0.0.1:0\n[control]\nreplicas = 127.0.0.1:1\n"
    );
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

fn run(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().expect("it runs")
}

#[test]
fn test_daemon_exit_codes() {
    let good = file("daemon-good.ini", "127.0.0.1:0");
    let bad = file("daemon-bad.ini", "localhost");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = taken.local_addr().map(|a| (a, taken)).expect("an address");
    let taken_file = file("daemon-taken.ini", &taken.0.to_string());
    let [good, bad, taken_file] = [good, bad, taken_file].map(|p| p.display().to_string());
    let cases = [
        (vec!["--help"], 0, "Usage: rwr-directory"),
        (vec!["--version"], 0, " sources="),
        (vec!["--check", "--config", &good], 0, "http = 127.0.0.1:0"),
        (vec!["--check", "--config", &bad], 2, "[directory] http"),
        (vec!["--config", "nowhere.ini"], 2, "nowhere.ini"),
        (vec![], 2, "--config FILE is required"),
        (vec!["--config", &taken_file], 1, "listen at"),
    ];
    for (args, code, text) in cases {
        let output = run(&args);
        let output_text = [output.stdout, output.stderr].concat();
        let output_text = String::from_utf8_lossy(&output_text);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {output_text}");
        assert!(output_text.contains(text), "{args:?}: {output_text}");
    }
}

#[test]
fn test_daemon_stops_on_sigterm() {
    let config = file("daemon-stop.ini", "127.0.0.1:0");
    let mut child = Command::new(BINARY)
        .arg("--config")
        .arg(config)
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(child.stdout.take().expect("its log")).lines();
    let starting = lines.next().expect("a line").expect("text");
    assert!(starting.contains("msg=starting"), "{starting}");
    assert!(starting.contains("sources="), "{starting}");
    let ready = lines.find_map(|line| line.ok().filter(|l| l.contains("msg=ready")));
    let ready = ready.expect("a ready line");
    assert!(ready.contains("http=\"127.0.0.1:"), "{ready}");
    let id = child.id().to_string();
    let sent = Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .expect("kill runs");
    assert!(sent.success());
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    let status = child.wait().expect("it ends");
    assert_eq!(status.code(), Some(0), "{rest:?}");
    assert!(
        rest.iter()
            .any(|l| l.contains("msg=stopped") && l.contains("graceful=true")),
        "{rest:?}"
    );
}

/// Guards against a process that doesn't tell what it was built from: an old program and a fault of the
/// current one would look alike.
#[test]
fn test_daemon_names_its_build_on_the_metrics_page() {
    let listen = "127.0.0.1:0".parse().expect("an address");
    let text = tokio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(async {
            let listener = daemon::metrics::bind(listen).await.expect("binds");
            let address = listener.local_addr().expect("an address");
            tokio::spawn(daemon::metrics::serve(listener, telemetry::log::silent()));
            let client = telemetry::metrics::start(None, "a").expect("a client");
            daemon::metrics::record_build(&client, "1.2.3");
            let page = reqwest::get(format!("http://{address}/metrics")).await;
            page.expect("an answer").text().await.expect("a body")
        });
    let line = text.lines().find(|line| line.starts_with("rwr_build{"));
    let line = line.expect("a metric of the build");
    for tag in [
        "version=\"1.2.3\"",
        &format!("sources=\"{}\"", base::build::sources()),
    ] {
        assert!(line.contains(tag), "{line}");
    }
    assert!(line.ends_with(" 1"), "{line}");
}
