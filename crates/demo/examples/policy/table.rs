//! Runs every case, a few at once, and prints the tables.

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
use crate::figures::FIGURES;
use crate::figures::Figures;
use crate::figures::Spread;
use crate::noise::Neighbours;
use crate::run::Case;
use crate::run::Row;
use crate::run::run;
use crate::shape::Shape;

/// Width of a column.
const WIDTH: usize = 24;

/// What the command line asked for.
pub struct Options {
    /// First seed.
    pub seed: u64,
    /// Number of seeds, at least 1.
    pub seeds: u64,
    /// Services.
    pub shapes: Vec<Shape>,
    /// Rows.
    pub rows: Vec<Row>,
    /// Columns.
    pub faults: Vec<Fault>,
    /// Noise.
    pub neighbours: Neighbours,
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
            neighbours: Neighbours::Mild,
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

/// All seeds of one row and column.
struct Cell {
    row: Row,
    fault: Fault,
    runs: Vec<Figures>,
}

/// Runs and prints what `options` ask for.
pub fn print(options: &Options) {
    for &shape in &options.shapes {
        let cells = run_all(options, shape);
        if options.plain {
            for cell in &cells {
                print_plain(shape, cell);
            }
        } else {
            print_tables(options, shape, &cells);
        }
    }
}

fn case(options: &Options, shape: Shape, row: Row, fault: Fault, seed: u64) -> Case {
    Case {
        shape,
        row,
        fault,
        neighbours: options.neighbours,
        settings: options.settings,
        choosers: options.choosers,
        probes: options.probes.unwrap_or(shape.probes()),
        span: options.span,
        seed,
    }
}

fn run_all(options: &Options, shape: Shape) -> Vec<Cell> {
    let seeds = options.seed..options.seed + options.seeds.max(1);
    let columns = |&row| options.faults.iter().map(move |&fault| (row, fault));
    let cells: Vec<(Row, Fault)> = options.rows.iter().flat_map(columns).collect();
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    let work = || {
        while let Some(&(row, fault)) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
            let figures = |seed| run(case(options, shape, row, fault, seed));
            let runs = seeds.clone().map(figures).collect();
            let mut done = done.lock().unwrap_or_else(PoisonError::into_inner);
            done.push(Cell { row, fault, runs });
        }
    };
    thread::scope(|scope| {
        for _ in 0..options.threads {
            scope.spawn(work);
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    let order = |cell: &Cell| cells.iter().position(|c| *c == (cell.row, cell.fault));
    done.sort_by_key(order);
    done
}

fn print_plain(shape: Shape, cell: &Cell) {
    let Cell { row, fault, runs } = cell;
    let name = row.name();
    print!(
        "shape={shape} policy={name} fault={fault} seeds={}",
        runs.len()
    );
    for (name, figure, digits) in FIGURES {
        let Spread {
            median,
            least,
            most,
        } = Spread::of(runs, figure);
        print!(" {name}={median:.digits$} {name}_min={least:.digits$} {name}_max={most:.digits$}");
    }
    println!();
}

/// A table for each figure: rows are policies, columns faults.
fn print_tables(options: &Options, shape: Shape, cells: &[Cell]) {
    println!(
        "{shape}: {} instances, {} gateways, {:.0} calls/s can be served, {} neighbours,",
        shape.instances(),
        options.choosers,
        shape.capacity(options.neighbours),
        options.neighbours,
    );
    let last = options.seed + options.seeds.max(1) - 1;
    println!("seeds {}-{last}, median (least-most)", options.seed);
    for (name, figure, digits) in FIGURES {
        print!("\n{name:<14}");
        for fault in &options.faults {
            print!("{:>WIDTH$}", fault.to_string());
        }
        for row in cells.chunks(options.faults.len()) {
            print!("\n{:<14}", row[0].row.name());
            for cell in row {
                let Spread {
                    median,
                    least,
                    most,
                } = Spread::of(&cell.runs, figure);
                let text = format!("{median:.digits$} ({least:.digits$}-{most:.digits$})");
                print!("{text:>WIDTH$}");
            }
        }
        println!();
    }
    println!();
}
