//! Measures the cost of choosing an upstream.

use std::hint::black_box;
use std::time::Duration;

use base::prelude::*;
use route::Chooser;
use route::Instance;
use route::Phase;
use route::Policy;
use route::Settings;

use crate::row::Row;
use crate::usage;

const SIZES: [usize; 4] = [10, 30, 100, 400];
const CHOICES: u32 = 20_000;

/// Measures choices among each number of instances.
pub fn run() -> Vec<Row> {
    SIZES.into_iter().map(measure).collect()
}

fn measure(count: usize) -> Row {
    let mut chooser = Chooser::new(Policy::default(), Settings::default(), 1);
    let table: Vec<Instance> = (0..count).filter_map(instance).collect();
    chooser.update(Moment::ZERO, &table);
    let mut now = Moment::ZERO;
    let started_at = usage::cpu();
    for _ in 0..CHOICES {
        now = now + Duration::from_micros(500);
        black_box(chooser.choose(now, &[]).is_some());
    }
    let spent = usage::cpu().saturating_sub(started_at);
    Row::new("gateway", "choice")
        .at("instances", usage::float(count as u64))
        .with("cpu_us", usage::micros(spent, CHOICES.into()))
}

fn instance(index: usize) -> Option<Instance> {
    Some(Instance {
        id: InstanceId::new(&index.to_string()).ok()?,
        incarnation: 0,
        domain: DomainName::new("genova").ok()?,
        slots: 6,
        phase: Phase::Ready,
    })
}
