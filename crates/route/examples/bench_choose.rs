//! Measures the time of one choice: `cargo run --release -p route --example bench_choose`.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use base::prelude::DomainName;
use base::prelude::InstanceId;
use base::prelude::Moment;
use route::Chooser;
use route::Instance;
use route::Outcome;
use route::OutcomeKind;
use route::Phase;
use route::Policy;
use route::Report;
use route::Settings;
use strum::IntoEnumIterator;

/// Choices per time measurement.
const BATCH: u32 = 100;
/// Batches per row of the output.
const BATCHES: u32 = 2000;
/// Attempts in flight per instance.
const IN_FLIGHT: usize = 2;

fn main() {
    println!("policy instances choose_ns choose_p99_ns whole_ns");
    // `whole_ns` covers a choice with the start and the end of an attempt.
    for policy in Policy::iter() {
        for count in [10, 30, 100] {
            measure(policy, count);
        }
    }
}

/// Measures choices while attempts start and end with reports.
fn measure(policy: Policy, count: usize) {
    let mut chooser = Chooser::new(policy, Settings::default(), 1);
    let table: Vec<Instance> = (0..count).map(instance).collect();
    chooser.update(Moment::ZERO, &table);
    let mut running = VecDeque::new();
    let mut now = Moment::ZERO;
    let mut samples = Vec::new();
    let started = Instant::now();
    for _ in 0..BATCHES {
        for _ in 0..BATCH {
            now = now + Duration::from_micros(500);
            let choice = chooser.choose(now, &[]).expect("all are ready");
            running.push_back(chooser.started(now, choice.pick));
            if running.len() > count * IN_FLIGHT {
                let ticket = running.pop_front().expect("some run");
                let latency = now.since(ticket.started_at());
                chooser.finished(now, ticket, outcome(latency));
            }
        }
        let start = Instant::now();
        for _ in 0..BATCH {
            black_box(chooser.choose(now, &[]));
        }
        samples.push(start.elapsed() / BATCH);
    }
    let average = mean(&samples);
    let whole = started.elapsed() / (BATCH * BATCHES);
    let whole = whole.saturating_sub(average);
    samples.sort();
    let p99 = samples[samples.len() * 99 / 100];
    println!(
        "{policy} {count} {} {} {}",
        average.as_nanos(),
        p99.as_nanos(),
        whole.as_nanos()
    );
}

fn mean(samples: &[Duration]) -> Duration {
    let sum: Duration = samples.iter().sum();
    sum / u32::try_from(samples.len()).expect("a few samples")
}

fn outcome(latency: Duration) -> Outcome {
    Outcome {
        kind: OutcomeKind::Ok,
        latency,
        report: Some(Report {
            in_flight: 5,
            slots: 6,
        }),
    }
}

fn instance(index: usize) -> Instance {
    Instance {
        id: InstanceId::new(&index.to_string()).expect("digits are a name"),
        incarnation: 0,
        domain: DomainName::new("genova").expect("letters are a name"),
        slots: 6,
        phase: Phase::Ready,
    }
}
