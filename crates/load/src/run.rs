//! Runs the load: sends each call at its intended time.

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
use crate::call::LoadClient;
use crate::options::Options;
use crate::options::OptionsError;
use crate::report::CallOutcome;
use crate::report::Report;
use crate::target::Target;

/// Maximum number of calls in flight; further calls are counted as unsent.
const MAX_IN_FLIGHT: u32 = 20_000;

quick_error! {
    /// Error of a run.
    #[derive(Debug)]
    pub enum LoadError {
        /// The options are invalid.
        Options(err: OptionsError) {
            from()
            source(err)
            display("{err}")
        }
        /// The HTTP client could not be created.
        Client(err: reqwest::Error) {
            from()
            source(err)
            display("can't create HTTP client: {err}")
        }
        /// The thread that schedules the calls could not be started.
        Thread(err: io::Error) {
            from()
            source(err)
            display("can't start scheduling thread: {err}")
        }
        /// The thread that schedules the calls panicked.
        Panic(err: task::JoinError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// Client and measurements of one target.
struct TargetRun {
    client: LoadClient,
    report: Mutex<Report>,
}

/// Executes one run. With `compare` set, calls alternate between the target and
/// the direct address; the result holds their reports in this order.
///
/// # Errors
///
/// Fails if [`Options::check`] fails or the HTTP client can't be created.
pub async fn run(options: Options) -> Result<Vec<Report>, LoadError> {
    options.check()?;
    let targets = targets(&options)?;
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT as usize));
    let handle = Handle::current();
    let schedule = {
        let (targets, in_flight) = (targets.clone(), in_flight.clone());
        move || send_calls(&options, &targets, &in_flight, &handle)
    };
    task::spawn_blocking(schedule).await?;
    // Waits for the last call to end; each call has a timeout.
    let permits = in_flight.acquire_many(MAX_IN_FLIGHT).await;
    drop(permits);
    Ok(targets.iter().map(|t| lock(&t.report).clone()).collect())
}

fn targets(options: &Options) -> Result<Arc<[TargetRun]>, LoadError> {
    let target = match options.address {
        Some(address) => Target::Fixed(address),
        None => Target::directory(options.directories.clone(), options.service.clone()),
    };
    let mut targets = vec![target_run("gateway", target, options)?];
    if let Some(direct) = options.compare {
        targets.push(target_run("direct", Target::Fixed(direct), options)?);
    }
    Ok(targets.into())
}

fn target_run(
    name: &'static str,
    target: Target,
    options: &Options,
) -> Result<TargetRun, LoadError> {
    Ok(TargetRun {
        client: LoadClient::new(target, options.clone())?,
        report: Mutex::new(Report::new(name, options.duration)),
    })
}

/// Spawns each call at its intended time.
///
/// Runs on a thread of its own: the runtime's timer has a resolution of only 1 ms,
/// which is coarser than the latencies to measure.
fn send_calls(
    options: &Options,
    targets: &Arc<[TargetRun]>,
    in_flight: &Arc<Semaphore>,
    handle: &Handle,
) {
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
        let index = usize::try_from(number).unwrap_or(0) % targets.len();
        let Ok(permit) = in_flight.clone().try_acquire_owned() else {
            add(
                &targets[index],
                CallOutcome::Unsent,
                intended,
                Duration::ZERO,
            );
            continue;
        };
        let targets = targets.clone();
        handle.spawn(async move {
            let lag = intended.elapsed();
            let outcome = targets[index].client.call(number).await;
            add(&targets[index], outcome, intended, lag);
            drop(permit);
        });
    }
}

fn add(target_run: &TargetRun, outcome: CallOutcome, intended: Instant, lag: Duration) {
    lock(&target_run.report).add(outcome, intended.elapsed(), lag);
}

fn lock(report: &Mutex<Report>) -> std::sync::MutexGuard<'_, Report> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}
