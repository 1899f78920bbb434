//! Sends the calls of one run at their intended times.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use quick_error::quick_error;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::task;

use crate::arrival::Arrivals;
use crate::call::Calls;
use crate::options::Options;
use crate::options::OptionsError;
use crate::report::CallOutcome;
use crate::report::Report;
use crate::target::Target;

/// Calls under way at once; more are counted as unsent.
const MAX_FLIGHT: u32 = 20_000;

quick_error! {
    /// Why a run can't be made.
    #[derive(Debug)]
    pub enum LoadError {
        /// The options.
        Options(err: OptionsError) {
            from()
            source(err)
            display("{err}")
        }
        /// The HTTP client.
        Client(err: reqwest::Error) {
            from()
            source(err)
            display("client: {err}")
        }
        /// The thread that keeps the times.
        Thread(err: io::Error) {
            from()
            source(err)
            display("thread: {err}")
        }
        /// That thread panicked, which it has printed itself.
        Panic(err: task::JoinError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// One target's calls and figures.
struct Lane {
    calls: Calls,
    report: Mutex<Report>,
}

/// Makes one run; with `compare` set, calls alternate between the target and
/// the direct address, which come first and second in the answer.
///
/// # Errors
///
/// Fails on options that [`Options::check`] refuses, or without an HTTP client.
pub async fn run(options: Options) -> Result<Vec<Report>, LoadError> {
    options.check()?;
    let lanes = lanes(&options)?;
    let flight = Arc::new(Semaphore::new(MAX_FLIGHT as usize));
    let handle = Handle::current();
    let pace = {
        let (lanes, flight) = (lanes.clone(), flight.clone());
        move || send(&options, &lanes, &flight, &handle)
    };
    task::spawn_blocking(pace).await?;
    // All permits are back when the last call has ended; each call is bounded in time.
    let all = flight.acquire_many(MAX_FLIGHT).await;
    drop(all);
    Ok(lanes.iter().map(|l| lock(&l.report).clone()).collect())
}

fn lanes(options: &Options) -> Result<Arc<[Lane]>, LoadError> {
    let target = match options.address {
        Some(address) => Target::Fixed(address),
        None => Target::directory(options.directories.clone(), options.service.clone()),
    };
    let mut lanes = vec![lane("gateway", target, options)?];
    if let Some(direct) = options.compare {
        lanes.push(lane("direct", Target::Fixed(direct), options)?);
    }
    Ok(lanes.into())
}

fn lane(name: &'static str, target: Target, options: &Options) -> Result<Lane, LoadError> {
    Ok(Lane {
        calls: Calls::new(target, options.clone())?,
        report: Mutex::new(Report::new(name, options.duration)),
    })
}

/// Spawns each call at its time.
///
/// A thread's sleep is exact to some tens of microseconds, the runtime's timer
/// to a millisecond only, which would drown the latency that is looked for.
fn send(options: &Options, lanes: &Arc<[Lane]>, flight: &Arc<Semaphore>, handle: &Handle) {
    let start = Instant::now();
    let arrivals = Arrivals::new(
        options.spacing,
        options.rate,
        options.duration,
        options.seed,
    );
    for (number, offset) in (0_u64..).zip(arrivals) {
        let intended = start + offset;
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        let index = usize::try_from(number).unwrap_or(0) % lanes.len();
        let Ok(permit) = flight.clone().try_acquire_owned() else {
            add(&lanes[index], CallOutcome::Unsent, intended, Duration::ZERO);
            continue;
        };
        let lanes = lanes.clone();
        handle.spawn(async move {
            let lag = intended.elapsed();
            let verdict = lanes[index].calls.call(number).await;
            add(&lanes[index], verdict, intended, lag);
            drop(permit);
        });
    }
}

fn add(lane: &Lane, verdict: CallOutcome, intended: Instant, lag: Duration) {
    lock(&lane.report).add(verdict, intended.elapsed(), lag);
}

fn lock(report: &Mutex<Report>) -> std::sync::MutexGuard<'_, Report> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}
