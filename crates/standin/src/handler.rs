//! Serves requests, probes and the test controls over HTTP.

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
use crate::archive::Part;
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
use crate::service_time::Pace;
use crate::settings::Settings;
use crate::slots::Place;
use crate::slots::Slots;

/// Largest request body in bytes.
const MAX_BODY: usize = 1024 * 1024;
/// Path prefix of archive answers.
const ARCHIVE: &str = "/archive/";

/// What the handler, the announcer and the owner of a stand-in share.
pub struct Shared {
    pub settings: Settings,
    /// Names this life of the instance.
    life: String,
    pub slots: Slots,
    pub runs: Runs,
    pub fault: watch::Sender<Fault>,
    pub probes: AtomicU64,
    pub log: Logger,
    /// Whether a request has crashed it.
    pub crashed: watch::Sender<bool>,
    clock: Clock,
    pace: Mutex<Pace>,
    drain: Mutex<Option<Moment>>,
    last: Mutex<String>,
}

impl Shared {
    pub fn new(settings: Settings, incarnation: u64, log: Logger) -> Self {
        Self {
            life: format!("{}:{incarnation}", settings.instance),
            slots: Slots::new(settings.slots, settings.queue),
            runs: Runs::default(),
            fault: watch::Sender::new(Fault::default()),
            probes: AtomicU64::new(0),
            log,
            crashed: watch::Sender::new(false),
            clock: Clock::start(),
            pace: Mutex::new(Pace::new(&settings)),
            drain: Mutex::new(None),
            last: Mutex::new(String::from("none")),
            settings,
        }
    }

    fn crashes(&self, path: &str) -> bool {
        let crash = self.settings.crash.as_ref();
        crash.is_some_and(|crash| Path::new(path).starts_with(crash))
    }

    /// Marks the begin of a drain, once.
    pub fn begin_drain(&self) {
        lock(&self.drain).get_or_insert(self.clock.now());
    }

    fn drained_ms(&self) -> Option<u64> {
        let begin = (*lock(&self.drain))?;
        let span = self.clock.now().since(begin);
        u64::try_from(span.as_millis()).ok()
    }

    fn service_time(&self) -> Duration {
        lock(&self.pace).time(self.clock.now())
    }

    fn load(&self) -> String {
        let busy = match self.fault.borrow().kind {
            FaultKind::Lie => 0,
            _ => self.slots.in_flight(),
        };
        format!("{busy}/{}", self.slots.count())
    }
}

/// The answer to `GET /standin/runs`.
#[derive(Serialize)]
struct Record {
    probes: u64,
    in_flight: u32,
    runs: Vec<Run>,
}

/// The body of an ordinary answer, from which a caller sees whose it is.
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

/// A request as the work needs it.
struct Job {
    origin: Origin,
    fault: Fault,
    end: Instant,
    place: Place,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Done(u64),
    Failed,
    Expired,
    /// No work was done.
    Shed,
}

/// The stand-in's one handler.
pub struct Upstream(pub Arc<Shared>);

#[async_trait]
impl Handler for Upstream {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/rwr/load") => self.probe(res).await,
            (&Method::GET, "/standin/runs") => self.record(res),
            (&Method::GET, "/standin/fault") => {
                let fault = *self.0.fault.borrow();
                render(res, StatusCode::OK, &fault);
            }
            (&Method::POST, "/standin/fault") => self.switch(req, res).await,
            _ if !self.is_meant(req) => misdirected(res),
            _ => self.serve(req, res, path).await,
        }
        set(res, header::INSTANCE, &self.0.life);
        set(res, header::LOAD, &self.0.load());
    }
}

impl Upstream {
    /// Whether the request is for this life of the instance, or for any.
    fn is_meant(&self, req: &Request) -> bool {
        let only = text(req, header::EXPECTED_INSTANCE);
        only.is_empty() || only == self.0.life
    }

    async fn probe(&self, res: &mut Response) {
        self.0.probes.fetch_add(1, Ordering::Relaxed);
        let cost = self.0.settings.probe;
        if !cost.is_zero()
            && let Some(place) = self.0.slots.enter()
        {
            let _slot = place.slot().await;
            sleep(cost).await;
        }
        res.status_code(match self.0.fault.borrow().kind {
            FaultKind::Ill => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::OK,
        });
    }

    fn record(&self, res: &mut Response) {
        let record = Record {
            probes: self.0.probes.load(Ordering::Relaxed),
            in_flight: self.0.slots.in_flight(),
            runs: self.0.runs.all(),
        };
        render(res, StatusCode::OK, &record);
    }

    async fn switch(&self, req: &mut Request, res: &mut Response) {
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
        let id = self.echo(&origin, fault);
        let Some(deadline) = deadline(req) else {
            refuse(res, StatusCode::BAD_REQUEST, "bad-deadline");
            return;
        };
        let range = text(req, "range");
        let Ok(body) = req.payload_with_max_size(MAX_BODY).await.cloned() else {
            refuse(res, StatusCode::PAYLOAD_TOO_LARGE, "body-too-large");
            return;
        };
        let place = self.0.slots.enter();
        let Some(place) = place.filter(|_| fault.kind != FaultKind::Shed) else {
            shed(res);
            return;
        };
        let job = Job {
            origin: origin.clone(),
            fault,
            end: arrival + deadline,
            place,
        };
        let verdict = self.run(job).await;
        if !id.is_empty() {
            set(res, header::REQUEST_ID, &id);
        }
        match verdict {
            Verdict::Done(run) => self.answer(res, &origin, &body, &range, run, fault),
            Verdict::Failed => refuse(res, StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            Verdict::Expired => refuse(res, StatusCode::GATEWAY_TIMEOUT, "deadline"),
            Verdict::Shed => shed(res),
        }
    }

    /// Runs the job, apart from its connection where cancellation isn't accepted.
    async fn run(&self, job: Job) -> Verdict {
        let work = work(self.0.clone(), job);
        if self.0.settings.cancel {
            return work.await;
        }
        tokio::spawn(work).await.unwrap_or(Verdict::Failed)
    }

    fn echo(&self, origin: &Origin, fault: Fault) -> String {
        let before = std::mem::replace(&mut *lock(&self.0.last), origin.request.clone());
        match fault.kind {
            FaultKind::Crossed => before,
            _ => origin.request.clone(),
        }
    }

    fn answer(
        &self,
        res: &mut Response,
        origin: &Origin,
        body: &Bytes,
        range: &str,
        run: u64,
        fault: Fault,
    ) {
        let short = fault.kind == FaultKind::Short;
        if origin.path.starts_with(ARCHIVE) {
            self.answer_archive(res, &origin.path, range, short);
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
        if short && let ResBody::Once(whole) = res.take_body() {
            send(
                res,
                vec![whole.slice(..whole.len() / 2)],
                whole.len() as u64,
            );
        }
    }

    fn answer_archive(&self, res: &mut Response, path: &str, range: &str, short: bool) {
        let size = self.0.settings.archive.0;
        let asked = Some(range).filter(|r| !r.is_empty());
        let range = match archive::part(asked, size) {
            Part::Whole => {
                res.status_code(StatusCode::OK);
                0..size
            }
            Part::Range(range) => {
                res.status_code(StatusCode::PARTIAL_CONTENT);
                let span = format!("bytes {}-{}/{size}", range.start, range.end - 1);
                set(res, "content-range", &span);
                range
            }
            Part::Outside => {
                refuse(res, StatusCode::RANGE_NOT_SATISFIABLE, "bad-range");
                set(res, "content-range", &format!("bytes */{size}"));
                return;
            }
        };
        set(res, "accept-ranges", "bytes");
        set(res, "content-type", "text/plain");
        set(res, "etag", &format!("\"{size}-{}\"", path.len()));
        let length = range.end - range.start;
        let sent = if short { length / 2 } else { length };
        let pieces = archive::pieces(range.start..range.start + sent)
            .map(|r| archive::bytes(path, r))
            .collect();
        send(res, pieces, length);
    }
}

async fn work(shared: Arc<Shared>, job: Job) -> Verdict {
    if job.fault.kind == FaultKind::Fail {
        shared.runs.begin(job.origin).end(RunState::Failed);
        return Verdict::Failed;
    }
    let Ok(Some(_slot)) = timeout_at(job.end, job.place.slot()).await else {
        return Verdict::Shed;
    };
    let crashes = shared.crashes(&job.origin.path);
    let run = shared.runs.begin(job.origin);
    let number = run.number();
    if crashes {
        shared.crashed.send_replace(true);
        return std::future::pending().await;
    }
    let spent = timeout_at(job.end, spend(&shared, job.fault)).await;
    if spent.is_err() {
        run.end(RunState::Expired);
        return Verdict::Expired;
    }
    run.end(RunState::Done);
    sleep(job.fault.delay()).await;
    Verdict::Done(number)
}

fn spend(shared: &Shared, fault: Fault) -> impl Future<Output = ()> + use<> {
    let time = shared.service_time() * fault.slowdown();
    let mut faults = shared.fault.subscribe();
    async move {
        match fault.kind {
            FaultKind::Stall => std::future::pending().await,
            FaultKind::Hold => {
                // An error means that the stand-in is gone, and then so is this work.
                let _ = faults.wait_for(|f| f.kind != FaultKind::Hold).await;
            }
            _ => sleep(time).await,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
