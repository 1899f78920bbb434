//! Lines are joined, whole, bounded, and never in the way of who logs.

use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use slog::Level;
use slog::info;
use telemetry::log;

#[derive(Default)]
struct State {
    writes: Vec<Vec<u8>>,
    begun: usize,
    open: bool,
    fails: bool,
}

/// A writer that the test holds up, and that may fail.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<State>, Condvar)>);

impl Gate {
    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.0.0.lock().expect("no panic"));
        self.0.1.notify_all();
    }

    fn wait(&self, until: impl Fn(&State) -> bool) {
        let state = self.0.0.lock().expect("no panic");
        drop(self.0.1.wait_while(state, |s| !until(s)).expect("no panic"));
    }

    fn lines(&self) -> Vec<String> {
        let state = self.0.0.lock().expect("no panic");
        let text = String::from_utf8(state.writes.concat()).expect("text");
        assert!(text.is_empty() || text.ends_with('\n'));
        text.lines().map(str::to_owned).collect()
    }
}

impl io::Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.change(|s| s.begun += 1);
        self.wait(|s| s.open);
        let mut state = self.0.0.lock().expect("no panic");
        if state.fails {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        state.writes.push(bytes.to_vec());
        self.0.1.notify_all();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn test_log_lines_join_while_the_writer_is_busy() {
    let gate = Gate::default();
    let (log, guard) = log::start(gate.clone(), Level::Info, "test", "host-1");
    info!(log, "ready"; "address" => "127.0.0.1:1");
    gate.wait(|s| s.begun == 1);
    for number in 0..100 {
        info!(log, "line"; "number" => number);
    }
    gate.change(|s| s.open = true);
    drop(guard);
    let lines = gate.lines();
    assert_eq!(lines.len(), 101);
    assert!(lines[0].contains("binary=test"), "{}", lines[0]);
    assert!(lines[0].contains("host=host-1"), "{}", lines[0]);
    assert!(lines[0].contains("address=\"127.0.0.1:1\""), "{}", lines[0]);
    for (number, line) in lines[1..].iter().enumerate() {
        assert!(line.starts_with("ts="), "{line}");
        assert!(line.contains(&format!("number={number}")), "{line}");
    }
    let writes = gate.0.0.lock().expect("no panic").writes.len();
    assert_eq!(writes, 2, "the line that was alone, and the rest");
}

#[test]
fn test_log_line_comes_without_another() {
    let gate = Gate::default();
    gate.change(|s| s.open = true);
    let (log, _guard) = log::start(gate.clone(), Level::Info, "test", "host-1");
    info!(log, "ready");
    gate.wait(|s| !s.writes.is_empty());
    assert!(gate.lines()[0].contains("ready"));
}

#[test]
fn test_log_survives_a_closed_output() {
    let gate = Gate::default();
    gate.change(|s| (s.open, s.fails) = (true, true));
    let (log, guard) = log::start(gate.clone(), Level::Info, "test", "host-1");
    info!(log, "lost");
    gate.wait(|s| s.begun >= 1);
    gate.change(|s| s.fails = false);
    info!(log, "kept");
    gate.wait(|s| !s.writes.is_empty());
    drop(guard);
    assert!(gate.lines()[0].contains("kept"));
}

#[test]
fn test_log_says_how_many_lines_were_dropped() {
    let gate = Gate::default();
    let (log, guard) = log::start(gate.clone(), Level::Info, "test", "host-1");
    let text = "x".repeat(1024);
    let total = 64 * 1024;
    for _ in 0..total {
        info!(log, "line"; "text" => &text);
    }
    gate.change(|s| s.open = true);
    drop(guard);
    let lines = gate.lines();
    let report = lines
        .iter()
        .find(|l| l.contains("lines="))
        .expect("a report");
    let (_, lost) = report.rsplit_once("lines=").expect("a count");
    let lost: usize = lost.trim().parse().expect("a count");
    assert_eq!(lines.len() - 1 + lost, total);
    assert!(lost > total / 2, "the buffer is bounded: {lost}");
}
