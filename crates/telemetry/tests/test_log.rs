//! Log lines are written whole and in order, and a blocked or failing output does not stop the
//! logger.

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
    write_attempts: usize,
    open: bool,
    fails: bool,
}

/// A writer that blocks until the test opens it, and that may fail.
#[derive(Clone, Default)]
struct GatedWriter(Arc<(Mutex<State>, Condvar)>);

impl GatedWriter {
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

impl io::Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.change(|s| s.write_attempts += 1);
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
fn test_log_lines_are_whole_and_in_order() {
    let writer = GatedWriter::default();
    let (log, guard) = log::start(writer.clone(), Level::Info, "test", "host-1");
    info!(log, "ready"; "address" => "127.0.0.1:1");
    writer.wait(|s| s.write_attempts == 1);
    for number in 0..100 {
        info!(log, "line"; "number" => number);
    }
    writer.change(|s| s.open = true);
    drop(guard);
    let lines = writer.lines();
    assert_eq!(lines.len(), 101);
    assert!(lines[0].contains("binary=test"), "{}", lines[0]);
    assert!(lines[0].contains("host=host-1"), "{}", lines[0]);
    assert!(lines[0].contains("address=\"127.0.0.1:1\""), "{}", lines[0]);
    for (number, line) in lines[1..].iter().enumerate() {
        assert!(line.starts_with("ts="), "{line}");
        assert!(line.contains(&format!("number={number}")), "{line}");
    }
}

#[test]
fn test_log_writes_a_line_without_waiting_for_the_next() {
    let writer = GatedWriter::default();
    writer.change(|s| s.open = true);
    let (log, _guard) = log::start(writer.clone(), Level::Info, "test", "host-1");
    info!(log, "ready");
    writer.wait(|s| !s.writes.is_empty());
    assert!(writer.lines()[0].contains("ready"));
}

#[test]
fn test_log_survives_a_closed_output() {
    let writer = GatedWriter::default();
    writer.change(|s| (s.open, s.fails) = (true, true));
    let (log, guard) = log::start(writer.clone(), Level::Info, "test", "host-1");
    info!(log, "lost");
    writer.wait(|s| s.write_attempts >= 1);
    writer.change(|s| s.fails = false);
    info!(log, "kept");
    writer.wait(|s| !s.writes.is_empty());
    drop(guard);
    assert!(writer.lines().iter().any(|line| line.contains("kept")));
}

#[test]
fn test_log_reports_how_many_lines_were_dropped() {
    let writer = GatedWriter::default();
    let (log, guard) = log::start(writer.clone(), Level::Info, "test", "host-1");
    let text = "x".repeat(1024);
    let total = 64 * 1024;
    for _ in 0..total {
        info!(log, "line"; "text" => &text);
    }
    writer.change(|s| s.open = true);
    writer.wait(|s| s.writes.len() > 100);
    // The next line that fits into the queue is preceded by a report of the dropped lines.
    info!(log, "line"; "text" => "after");
    drop(guard);
    let lines = writer.lines();
    let report = lines
        .iter()
        .find(|l| l.contains(" count="))
        .expect("a report");
    let (_, lost) = report.split_once(" count=").expect("a count");
    let lost = lost.split(' ').next().expect("a count");
    let count: usize = lost.parse().expect("a count");
    let lost = total + 1 - (lines.len() - 1);
    // The library counts dropped lines and also dropped reports of earlier ones.
    assert!((lost..=2 * lost).contains(&count), "{count} for {lost}");
    assert!(lost > total / 2, "the queue is bounded: {lost}");
}
