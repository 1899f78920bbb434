//! Runs every case, a few at once, and prints the table.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use route::Policy;
use route::Settings;
use strum::IntoEnumIterator;

use crate::fault::Fault;
use crate::figures::Figures;
use crate::figures::Spread;
use crate::run::Case;
use crate::run::Row;
use crate::run::run;
use crate::shape::Shape;

/// What the command line asked for.
pub struct Options {
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Services.
    pub shapes: Vec<Shape>,
    /// Rows.
    pub rows: Vec<Row>,
    /// Columns.
    pub faults: Vec<Fault>,
    /// Gateways.
    pub choosers: u32,
    /// Measuring budget, in thousandths a second; of the shape when `None`.
    pub probes: Option<u32>,
    /// Of the choosers.
    pub settings: Settings,
    /// How long calls are counted.
    pub span: Duration,
    /// Runs at once.
    pub threads: usize,
    /// Lines of key=value.
    pub plain: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 100,
            seeds: 5,
            shapes: Shape::iter().collect(),
            rows: rows(),
            faults: Fault::iter().collect(),
            choosers: 15,
            probes: None,
            settings: Settings::default(),
            span: Duration::from_secs(8),
            threads: 4,
            plain: false,
        }
    }
}

/// Each policy alone, then two with all that the product has around them.
fn rows() -> Vec<Row> {
    let alone = Policy::iter().map(|policy| (policy, false));
    let whole = [(Policy::TwoChoices, true), (Policy::LeastWait, true)];
    let rows = alone.chain(whole);
    rows.map(|(policy, whole)| Row { policy, whole }).collect()
}

type Figure = (&'static str, fn(&Figures) -> f64, usize);

const FIGURES: [Figure; 9] = [
    ("p50_ms", |f| f.p50, 1),
    ("p99_ms", |f| f.p99, 1),
    ("p99.9_ms", |f| f.p999, 1),
    ("within_%", |f| f.within * 100.0, 2),
    ("admitted_%", |f| f.admitted * 100.0, 2),
    ("refused_%", |f| f.refused * 100.0, 2),
    ("errors_%", |f| f.errors * 100.0, 3),
    ("attempts", |f| f.attempts, 3),
    ("probes_s", |f| f.probes, 1),
];

/// Runs and prints what `options` ask for.
pub fn print(options: &Options) {
    for shape in &options.shapes {
        let cases = cases(options, *shape);
        let results = run_all(&cases, options.threads);
        let per_cell = usize::try_from(options.seeds).unwrap_or(1).max(1);
        let cells: Vec<&[Figures]> = results.chunks(per_cell).collect();
        if options.plain {
            print_plain(options, *shape, &cells);
        } else {
            print_table(options, *shape, &cells);
        }
    }
}

fn cases(options: &Options, shape: Shape) -> Vec<Case> {
    let mut cases = Vec::new();
    for &row in &options.rows {
        for &fault in &options.faults {
            for seed in options.seed..options.seed + options.seeds.max(1) {
                cases.push(Case {
                    shape,
                    row,
                    fault,
                    settings: options.settings,
                    choosers: options.choosers,
                    probes: options.probes.unwrap_or(shape.probes()),
                    span: options.span,
                    seed,
                });
            }
        }
    }
    cases
}

fn run_all(cases: &[Case], threads: usize) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![None; cases.len()]);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let figures = run(*case);
                    let index = cases.iter().position(|c| std::ptr::eq(c, case));
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results[index.expect("the case is of the list")] = Some(figures);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.into_iter().flatten().collect()
}

fn print_plain(options: &Options, shape: Shape, cells: &[&[Figures]]) {
    let mut cells = cells.iter();
    for row in &options.rows {
        for fault in &options.faults {
            let runs = cells.next().expect("each cell was run");
            print!(
                "shape={shape} policy={} fault={fault} seeds={}",
                row.name(),
                runs.len()
            );
            for (name, figure, digits) in FIGURES {
                let spread = Spread::of(runs, figure);
                print!(" {name}={:.digits$}", spread.median);
                print!(" {name}_min={:.digits$}", spread.least);
                print!(" {name}_max={:.digits$}", spread.most);
            }
            println!();
        }
    }
}

fn print_table(options: &Options, shape: Shape, cells: &[&[Figures]]) {
    let last = options.seed + options.seeds.max(1) - 1;
    println!(
        "{shape}: {} instances, {} choosers, {:.0} calls/s can be served, seeds {}-{last}, median (least-most)",
        shape.instances(),
        options.choosers,
        shape.capacity(),
        options.seed,
    );
    for (column, fault) in options.faults.iter().enumerate() {
        println!("\n  {fault}, load {:.0} %", fault.load() * 100.0);
        print!("  {:<14}", "policy");
        for (name, _, _) in FIGURES {
            print!("{name:>22}");
        }
        println!();
        for (index, row) in options.rows.iter().enumerate() {
            let runs = cells[index * options.faults.len() + column];
            print!("  {:<14}", row.name());
            for (_, figure, digits) in FIGURES {
                let spread = Spread::of(runs, figure);
                let text = format!(
                    "{:.digits$} ({:.digits$}-{:.digits$})",
                    spread.median, spread.least, spread.most
                );
                print!("{text:>22}");
            }
            println!();
        }
    }
    println!();
}
