//! Measures size and time of the catalogue's state machine for several numbers of services and
//! changes: `cargo run --release -p catalogue --example catalogue_slopes`.

use std::time::Instant;

use catalogue::State;
use catalogue::history::RetentionLimits;
use prost::Message;
use wire::catalogue::Change;
use wire::catalogue::Class;
use wire::catalogue::Edit;
use wire::catalogue::Entry;
use wire::catalogue::Limits;
use wire::catalogue::edit::Kind;

const SERVICES: [u64; 3] = [8, 33, 130];
/// The last one is the default of [`RetentionLimits::max_accepted`].
const CHANGES: [u64; 3] = [140, 1_400, 8_192];
const GATEWAYS: u64 = 15;

fn put(service: u64, queue: u64) -> Edit {
    let limits = Limits {
        concurrency: 42,
        queue: u32::try_from(queue % 1_000).unwrap_or_default(),
        deadline_ms: 2_000,
        body_bytes: 65_536,
        retry_percent: 10,
        probe_millis: 2_500,
    };
    let entry = Entry {
        service: format!("service-{service:03}"),
        owner: "Ferrovie Alpine Pianificazione".into(),
        class: Class::Once.into(),
        limits: Some(limits),
    };
    Edit {
        kind: Some(Kind::Put(entry)),
    }
}

fn change(base: u64, edits: Vec<Edit>) -> Change {
    Change {
        id: format!("8d0a1686-beeb-4539-81e7-{base:012x}"),
        base,
        author: "anna".into(),
        edits,
    }
}

fn measure(services: u64, changes: u64) {
    let mut state = State::default();
    let gateways = (0..GATEWAYS).map(|n| Edit {
        kind: Some(Kind::AddGateway(format!("milano-{n}"))),
    });
    let first = (0..services).map(|n| put(n, 1)).chain(gateways).collect();
    state.apply(&change(0, first));
    let edits: Vec<Change> = (1..=changes)
        .map(|base| change(base, vec![put(base % services, base)]))
        .collect();
    let start = Instant::now();
    for change in &edits {
        state.apply(change);
    }
    let apply = start.elapsed().as_nanos() / u128::from(changes);
    let snapshot = state.snapshot().encode_to_vec();
    let start = Instant::now();
    let restored = State::restore(RetentionLimits::default(), &state.snapshot());
    let restore = start.elapsed().as_micros();
    println!(
        "services={services} changes={changes} accepted={} catalogue_bytes={} ns_a_change={apply} snapshot_bytes={} restore_us={restore} restored={}",
        state.catalogue().version,
        state.catalogue().to_wire().encoded_len(),
        snapshot.len(),
        restored.is_ok(),
    );
}

fn main() {
    for services in SERVICES {
        for changes in CHANGES {
            measure(services, changes);
        }
    }
}
