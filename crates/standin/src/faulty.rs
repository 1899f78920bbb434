//! An instance on plain sockets whose responses arrive twice, late, cut short or wrongly framed.
//!
//! A seeded generator draws a fault for each response, and whether a request is refused without
//! being run. The instance announces itself and records its runs as a stand-in does.

pub mod response;

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::header;
use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use slog::Logger;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::accept::serve_connections;
use crate::announced::Announced;
use crate::faulty::response::Refusal;
use crate::faulty::response::Response;
use crate::faulty::response::ResponseFault;
use crate::faulty::response::Written;
use crate::handler::LOAD_PATH;
use crate::message::Direction;
use crate::message::Head;
use crate::message::MessageReader;
use crate::runs::Origin;
use crate::runs::RunState;
use crate::runs::Runs;
use crate::server::StartError;
use crate::service_time::ServiceTimes;
use crate::settings::Settings;
use crate::slots::Slots;

/// Time that a request may take if it names none.
const NO_DEADLINE: Duration = Duration::from_hours(1);

/// How often faults occur.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultShares {
    /// Faults of responses, with their shares of all responses to requests, refusals included.
    pub responses: Vec<(ResponseFault, f64)>,
    /// Refusals, with their shares of all requests. Full instances refuse requests besides.
    pub refusals: Vec<(Refusal, f64)>,
}

struct Shared {
    incarnation_id: String,
    slots: Slots,
    runs: Runs,
    clock: Clock,
    service_times: Mutex<ServiceTimes>,
    shares: Mutex<FaultShares>,
    rng: Mutex<SmallRng>,
}

/// A running instance, which ends when dropped.
pub struct FaultyInstance {
    shared: Arc<Shared>,
    _server: AbortOnDropHandle<()>,
    _announced: Announced,
}

impl FaultyInstance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Fails if the listening socket can't be opened.
    pub async fn start(
        settings: Settings,
        faults: FaultShares,
        log: Logger,
    ) -> Result<Self, StartError> {
        let (listener, announced) = Announced::start(&settings, log).await?;
        let shared = Arc::new(Shared {
            incarnation_id: announced.incarnation_id().to_owned(),
            slots: Slots::new(settings.slots, settings.queue),
            runs: Runs::default(),
            clock: Clock::start(),
            service_times: Mutex::new(ServiceTimes::new(&settings)),
            shares: Mutex::new(faults),
            rng: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
        });
        let server = tokio::spawn(serve_connections(listener, Arc::clone(&shared), serve));
        Ok(Self {
            shared,
            _server: AbortOnDropHandle::new(server),
            _announced: announced,
        })
    }

    /// The name of the instance and of its incarnation.
    #[must_use]
    pub fn incarnation_id(&self) -> &str {
        &self.shared.incarnation_id
    }

    /// Record of the runs.
    #[must_use]
    pub fn runs(&self) -> &Runs {
        &self.shared.runs
    }

    /// Number of requests that hold a slot or wait for one.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.shared.slots.in_flight()
    }

    /// Replaces the shares of faults.
    pub fn set_shares(&self, faults: FaultShares) {
        *lock(&self.shared.shares) = faults;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.split();
    let mut messages = MessageReader::new(reader);
    let mut previous = Written::default();
    while let Some(head) = messages.head().await? {
        if !(previous.after_probes && is_probe(&head)) {
            let late = std::mem::take(&mut previous.later);
            writer.write_all(&late).await?;
        }
        let body = messages.body(&head, Direction::Request).await?;
        let (response, fault) = shared.respond(&head, &body).await;
        let written = response.write(fault, &mut lock(&shared.rng));
        writer.write_all(&written.now).await?;
        if written.closes {
            return Ok(());
        }
        // Probes don't discard a pending copy.
        if previous.later.is_empty() {
            previous = written;
        }
    }
    Ok(())
}

fn is_probe(head: &Head) -> bool {
    head.method() == "GET" && head.target() == LOAD_PATH
}

impl Shared {
    async fn respond(&self, head: &Head, body: &[u8]) -> (Response, Option<ResponseFault>) {
        if is_probe(head) {
            return (self.response("200 OK", None, String::new()), None);
        }
        let response = match self.draw_refusal() {
            Some(refusal) => self.refuse(head, refusal),
            None => self.serve(head, body).await,
        };
        (response, self.draw_fault())
    }

    async fn serve(&self, head: &Head, body: &[u8]) -> Response {
        let expected = head.text(header::EXPECTED_INSTANCE);
        if !expected.is_empty() && expected != self.incarnation_id {
            return self.refuse(head, Refusal::Misdirected);
        }
        let deadline = head.text(header::DEADLINE).parse();
        let deadline = deadline.map_or(NO_DEADLINE, Duration::from_millis);
        let Some(admission) = self.slots.admit() else {
            return self.refuse(head, Refusal::Full);
        };
        let slot = tokio::time::timeout(deadline, admission.acquire_slot()).await;
        let Ok(Some(_slot)) = slot else {
            return self.refuse(head, Refusal::Full);
        };
        let run = self.runs.start(origin(head));
        let number = run.number();
        let time = lock(&self.service_times).sample(self.clock.now());
        tokio::time::sleep(time).await;
        run.end(RunState::Done);
        let receipt = json!({
            "instance": self.incarnation_id,
            "run": number,
            "key": head.text(header::IDEMPOTENCY_KEY),
            "caller": head.text(header::CALLER),
            "path": head.target(),
            "echo": String::from_utf8_lossy(body),
        });
        self.response("200 OK", Some(head), receipt.to_string())
    }

    fn refuse(&self, head: &Head, refusal: Refusal) -> Response {
        let mut response = self.response(refusal.status(), Some(head), String::new());
        response.headers.push((header::SHED, "1".into()));
        response
    }

    /// A response to the request with this head, or to a probe.
    fn response(&self, status: &'static str, request: Option<&Head>, body: String) -> Response {
        let load = format!("{}/{}", self.slots.in_flight(), self.slots.count());
        let id = request.map(|head| head.text(header::REQUEST_ID).to_owned());
        Response {
            status,
            headers: vec![
                (header::INSTANCE, self.incarnation_id.clone()),
                (header::LOAD, load),
                ("keep-alive", "timeout=10".into()),
            ],
            named: id.map(|id| (header::REQUEST_ID, id)),
            body,
        }
    }

    fn draw_fault(&self) -> Option<ResponseFault> {
        draw(&lock(&self.shares).responses, &mut lock(&self.rng))
    }

    fn draw_refusal(&self) -> Option<Refusal> {
        draw(&lock(&self.shares).refusals, &mut lock(&self.rng))
    }
}

fn origin(head: &Head) -> Origin {
    let text = |name| head.text(name).to_owned();
    Origin {
        key: text(header::IDEMPOTENCY_KEY),
        caller: text(header::CALLER),
        workspace: text(header::WORKSPACE),
        authorization: text("authorization"),
        path: head.target().to_owned(),
        request: text(header::REQUEST_ID),
        attempt: text(header::ATTEMPT),
        drained_ms: None,
    }
}

/// Draws at most one of the choices, each with its share.
fn draw<T: Copy>(choices: &[(T, f64)], rng: &mut SmallRng) -> Option<T> {
    let mut left: f64 = rng.random();
    choices.iter().find_map(|(choice, share)| {
        left -= share;
        (left < 0.0).then_some(*choice)
    })
}
