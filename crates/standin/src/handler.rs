//! HTTP handler for requests, probes and the test controls.

use std::future::Future;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::header;
use base::prelude::*;
use bytes::Bytes;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::Method;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use serde::Serialize;
use slog::Logger;
use slog::info;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::archive;
use crate::archive::RequestedRange;
use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::request::deadline;
use crate::request::origin;
use crate::request::text;
use crate::response::misdirected;
use crate::response::refuse;
use crate::response::render;
use crate::response::send;
use crate::response::set;
use crate::response::shed;
use crate::runs::Origin;
use crate::runs::Run;
use crate::runs::RunState;
use crate::runs::Runs;
use crate::service_time::ServiceTimes;
use crate::settings::Settings;
use crate::slots::Admission;
use crate::slots::Slots;

/// Maximum size of a request body in bytes.
const MAX_BODY: usize = 1024 * 1024;
/// Path of the load probe.
pub(crate) const LOAD_PATH: &str = "/rwr/load";
/// Path prefix of archive responses.
const ARCHIVE: &str = "/archive/";

/// State shared by the handler and the owner of a stand-in.
pub struct Shared {
    pub settings: Settings,
    /// Identifies this incarnation of the instance, as `INSTANCE:INCARNATION`.
    incarnation_id: String,
    pub slots: Slots,
    pub runs: Runs,
    pub fault: watch::Sender<Fault>,
    pub probes: AtomicU64,
    /// Requests rejected before any work.
    pub refused: AtomicU64,
    pub log: Logger,
    /// Set when a request has crashed the instance.
    pub crashed: watch::Sender<bool>,
    clock: Clock,
    service_times: Mutex<ServiceTimes>,
    drain_started_at: Mutex<Option<Moment>>,
    /// Id of the latest request, which a response echoes under [`FaultKind::Crossed`].
    last_request_id: Mutex<String>,
}

impl Shared {
    pub fn new(settings: Settings, incarnation: u64, log: Logger) -> Self {
        Self {
            incarnation_id: format!("{}:{incarnation}", settings.instance),
            slots: Slots::new(settings.slots, settings.queue),
            runs: Runs::default(),
            fault: watch::Sender::new(Fault::default()),
            probes: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            log,
            crashed: watch::Sender::new(false),
            clock: Clock::start(),
            service_times: Mutex::new(ServiceTimes::new(&settings)),
            drain_started_at: Mutex::new(None),
            last_request_id: Mutex::new(String::from("none")),
            settings,
        }
    }

    fn crashes(&self, path: &str) -> bool {
        let crash = self.settings.crash.as_ref();
        crash.is_some_and(|crash| Path::new(path).starts_with(crash))
    }

    /// Records the start of a drain; later calls have no effect.
    pub fn start_drain(&self) {
        lock(&self.drain_started_at).get_or_insert(self.clock.now());
    }

    /// Whether responses say that the instance is shutting down.
    fn is_leaving(&self) -> bool {
        lock(&self.drain_started_at).is_some() || self.fault.borrow().kind == FaultKind::Leaving
    }

    /// Milliseconds since the drain started.
    fn drained_ms(&self) -> Option<u64> {
        let started_at = (*lock(&self.drain_started_at))?;
        let elapsed = self.clock.now().since(started_at);
        u64::try_from(elapsed.as_millis()).ok()
    }

    fn service_time(&self) -> Duration {
        lock(&self.service_times).sample(self.clock.now())
    }

    /// Value of the load header: requests in flight, then slots.
    fn load_header(&self) -> String {
        let in_flight = match self.fault.borrow().kind {
            FaultKind::Lie => 0,
            _ => self.slots.in_flight(),
        };
        format!("{in_flight}/{}", self.slots.count())
    }
}

/// Response body of `GET /standin/runs`.
#[derive(Serialize)]
struct RunsResponse {
    probes: u64,
    refused: u64,
    in_flight: u32,
    runs: Vec<Run>,
}

/// Body of an ordinary response, which lets a caller check that the response is its own.
#[derive(Serialize)]
struct Receipt<'a> {
    service: &'a str,
    instance: &'a str,
    run: u64,
    key: &'a str,
    caller: &'a str,
    path: &'a str,
    echo: &'a str,
}

/// An admitted request.
struct Job {
    origin: Origin,
    fault: Fault,
    deadline: Instant,
    admission: Admission,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobOutcome {
    Done(u64),
    Failed,
    Expired,
    /// Rejected before any work was done.
    Shed,
}

/// Handles all paths of the stand-in.
pub struct Upstream(pub Arc<Shared>);

#[async_trait]
impl Handler for Upstream {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, LOAD_PATH) => self.probe(res).await,
            (&Method::GET, "/standin/runs") => self.list_runs(res),
            (&Method::GET, "/standin/fault") => {
                let fault = *self.0.fault.borrow();
                render(res, StatusCode::OK, &fault);
            }
            (&Method::POST, "/standin/fault") => self.set_fault(req, res).await,
            _ if !self.is_for_this_incarnation(req) => {
                misdirected(res);
                set_request_id(res, &text(req, header::REQUEST_ID));
            }
            _ => self.serve(req, res, path.clone()).await,
        }
        self.name_limit(&path, res);
        if self.0.is_leaving() {
            set(res, header::LEAVING, "1");
        }
        set(res, header::INSTANCE, &self.0.incarnation_id);
        set(res, header::LOAD, &self.0.load_header());
    }
}

impl Upstream {
    fn name_limit(&self, path: &str, res: &mut Response) {
        let fault = *self.0.fault.borrow();
        let names_limit = match fault.kind {
            FaultKind::Limited => true,
            FaultKind::LimitedRequests => path != LOAD_PATH,
            _ => false,
        };
        if names_limit {
            set(res, header::LIMIT, &fault.factor.to_string());
        }
    }

    /// Whether the request names this incarnation of the instance, or none.
    fn is_for_this_incarnation(&self, req: &Request) -> bool {
        let expected = text(req, header::EXPECTED_INSTANCE);
        expected.is_empty() || expected == self.0.incarnation_id
    }

    async fn probe(&self, res: &mut Response) {
        self.0.probes.fetch_add(1, Ordering::Relaxed);
        let cost = self.0.settings.probe;
        if !cost.is_zero()
            && let Some(admission) = self.0.slots.admit()
        {
            let _slot = admission.acquire_slot().await;
            sleep(cost).await;
        }
        res.status_code(match self.0.fault.borrow().kind {
            FaultKind::Ill => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::OK,
        });
    }

    fn list_runs(&self, res: &mut Response) {
        let response = RunsResponse {
            probes: self.0.probes.load(Ordering::Relaxed),
            refused: self.0.refused.load(Ordering::Relaxed),
            in_flight: self.0.slots.in_flight(),
            runs: self.0.runs.all(),
        };
        render(res, StatusCode::OK, &response);
    }

    async fn set_fault(&self, req: &mut Request, res: &mut Response) {
        let body = req.payload_with_max_size(MAX_BODY).await.ok();
        let fault = body.and_then(|b| serde_json::from_slice::<Fault>(b).ok());
        let Some(fault) = fault else {
            refuse(res, StatusCode::BAD_REQUEST, "bad-fault");
            return;
        };
        info!(self.0.log, "fault"; "kind" => %fault.kind, "factor" => fault.factor, "delay_ms" => fault.delay_ms);
        self.0.fault.send_replace(fault);
        render(res, StatusCode::OK, &fault);
    }

    async fn serve(&self, req: &mut Request, res: &mut Response, path: String) {
        let arrival = Instant::now();
        let fault = *self.0.fault.borrow();
        let origin = origin(req, path, self.0.drained_ms());
        set_request_id(res, &self.echoed_request_id(&origin, fault));
        let Some(deadline) = deadline(req) else {
            refuse(res, StatusCode::BAD_REQUEST, "bad-deadline");
            return;
        };
        let range = text(req, "range");
        let Ok(body) = req.payload_with_max_size(MAX_BODY).await.cloned() else {
            refuse(res, StatusCode::PAYLOAD_TOO_LARGE, "body-too-large");
            return;
        };
        let admission = self.0.slots.admit();
        let sheds = matches!(fault.kind, FaultKind::Shed | FaultKind::Rest);
        let Some(admission) = admission.filter(|_| !sheds) else {
            self.0.refused.fetch_add(1, Ordering::Relaxed);
            shed(res);
            if fault.kind == FaultKind::Rest {
                set(res, header::RETRY_AFTER, &fault.factor.to_string());
            }
            return;
        };
        let job = Job {
            origin: origin.clone(),
            fault,
            deadline: arrival + deadline,
            admission,
        };
        match self.run(job).await {
            JobOutcome::Done(run) => self.respond(res, &origin, &body, &range, run, fault),
            JobOutcome::Failed => refuse(res, StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            JobOutcome::Expired => refuse(res, StatusCode::GATEWAY_TIMEOUT, "deadline"),
            JobOutcome::Shed => shed(res),
        }
    }

    /// Runs the job. Unless `cancel` is set, the job runs in its own task and goes on after its
    /// connection has closed.
    async fn run(&self, job: Job) -> JobOutcome {
        let work = run_job(self.0.clone(), job);
        if self.0.settings.cancel {
            return work.await;
        }
        tokio::spawn(work).await.unwrap_or(JobOutcome::Failed)
    }

    /// Request id to put into the response.
    fn echoed_request_id(&self, origin: &Origin, fault: Fault) -> String {
        let previous =
            std::mem::replace(&mut *lock(&self.0.last_request_id), origin.request.clone());
        match fault.kind {
            FaultKind::Crossed => previous,
            _ => origin.request.clone(),
        }
    }

    fn respond(
        &self,
        res: &mut Response,
        origin: &Origin,
        body: &Bytes,
        range: &str,
        run: u64,
        fault: Fault,
    ) {
        let truncated = fault.kind == FaultKind::Short;
        if origin.path.starts_with(ARCHIVE) {
            self.respond_archive(res, &origin.path, range, truncated);
            return;
        }
        let receipt = Receipt {
            service: self.0.settings.service.as_str(),
            instance: self.0.settings.instance.as_str(),
            run,
            key: &origin.key,
            caller: &origin.caller,
            path: &origin.path,
            echo: &String::from_utf8_lossy(body),
        };
        render(res, StatusCode::OK, &receipt);
        if truncated && let ResBody::Once(full) = res.take_body() {
            send(res, vec![full.slice(..full.len() / 2)], full.len() as u64);
        }
    }

    fn respond_archive(&self, res: &mut Response, path: &str, range: &str, truncated: bool) {
        let size = self.0.settings.archive.0;
        let range = Some(range).filter(|r| !r.is_empty());
        let range = match archive::parse_range(range, size) {
            RequestedRange::Full => {
                res.status_code(StatusCode::OK);
                0..size
            }
            RequestedRange::Partial(range) => {
                res.status_code(StatusCode::PARTIAL_CONTENT);
                let content_range = format!("bytes {}-{}/{size}", range.start, range.end - 1);
                set(res, "content-range", &content_range);
                range
            }
            RequestedRange::Unsatisfiable => {
                refuse(res, StatusCode::RANGE_NOT_SATISFIABLE, "bad-range");
                set(res, "content-range", &format!("bytes */{size}"));
                return;
            }
        };
        set(res, "accept-ranges", "bytes");
        set(res, "content-type", "text/plain");
        set(res, "etag", &format!("\"{size}-{}\"", path.len()));
        let length = range.end - range.start;
        let sent_length = if truncated { length / 2 } else { length };
        let chunks = archive::chunks(range.start..range.start + sent_length)
            .map(|r| archive::bytes(path, r))
            .collect();
        send(res, chunks, length);
    }
}

/// Names the request, unless it has no id.
fn set_request_id(res: &mut Response, id: &str) {
    if !id.is_empty() {
        set(res, header::REQUEST_ID, id);
    }
}

async fn run_job(shared: Arc<Shared>, job: Job) -> JobOutcome {
    if job.fault.kind == FaultKind::Fail {
        shared.runs.start(job.origin).end(RunState::Failed);
        return JobOutcome::Failed;
    }
    let Ok(Some(_slot)) = timeout_at(job.deadline, job.admission.acquire_slot()).await else {
        return JobOutcome::Shed;
    };
    let crashes = shared.crashes(&job.origin.path);
    let run = shared.runs.start(job.origin);
    let number = run.number();
    if crashes {
        shared.crashed.send_replace(true);
        return std::future::pending().await;
    }
    let completed = timeout_at(job.deadline, do_work(&shared, job.fault)).await;
    if completed.is_err() {
        run.end(RunState::Expired);
        return JobOutcome::Expired;
    }
    run.end(RunState::Done);
    sleep(job.fault.delay()).await;
    JobOutcome::Done(number)
}

/// Waits for as long as the work of one request takes under `fault`.
fn do_work(shared: &Shared, fault: Fault) -> impl Future<Output = ()> + use<> {
    let time = shared.service_time() * fault.slowdown();
    let mut faults = shared.fault.subscribe();
    async move {
        match fault.kind {
            FaultKind::Stall => std::future::pending().await,
            FaultKind::Hold => {
                // Fails only when the stand-in was dropped, which ends this task as well.
                let _ = faults.wait_for(|f| f.kind != FaultKind::Hold).await;
            }
            _ => sleep(time).await,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
