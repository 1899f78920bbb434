//! The way of one request, from its head to the final answer.

mod answer;
mod choice;
mod guard;
mod head;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use route::Pick;
use route::ScoredChoice;
use slog::info;
use table::Kind;
use table::Route;
use table::Target;
use tokio::time::Instant;

use crate::body;
use crate::body::Content;
use crate::body::Outgoing;
use crate::body::Returned;
use crate::body::Spool;
use crate::core::Core;
use crate::desk::Desk;
use crate::exchange;
use crate::exchange::Answered;
use crate::exchange::Call;
use crate::exchange::End;
use crate::exchange::Held;
use crate::exchange::Patience;
use crate::habit::Habit;
use crate::headers;
use crate::refusal::Reason;
use crate::view::Upstream;

/// Time for a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// When a caller may come back after a refusal for lack of knowledge: the hubs
/// tell of tables and instances within it.
const BACK_UNKNOWN: Duration = Duration::from_millis(300);
/// Part of a caller's time for which a request waits for the first table and instances:
/// after a restart of everything these come within 700 ms.
const START_PART: f64 = 0.25;
/// Attempts whose connection failed, beyond what the route allows: nothing
/// reached an instance.
const UNSENT_TRIES: u32 = 4;

/// Expected times of an answer after which an attempt that is given up tells against
/// its instance: work at the pace that was told takes three times as long as usual once
/// in thousands. Without it instances that swallowed half of their requests were never
/// taken for ill, as each of these ended by the route's timeout.
const SILENT_WORKS: f64 = 3.0;

/// One request on its way.
struct Flow {
    core: Arc<Core>,
    began: Instant,
    call: Call,
    route: Arc<Route>,
    service: ServiceName,
    version: u64,
    deadline: Duration,
    /// Time within which the answer has its full worth, less what the caller had
    /// spent on earlier tries.
    aim: Duration,
    end: Instant,
    attempts: u32,
    unsent: u32,
    exclude: Vec<Pick>,
    /// The request may have run.
    exposed: bool,
    last: Option<Attempt>,
    /// When to come back, as a dispatcher says.
    back: Option<Duration>,
    /// Bytes of the request's body, where they are known.
    sent: u64,
    /// Where the request's body is kept, while more of it may come.
    spool: Option<Spool>,
    /// The body, as far as it tells the request from others.
    content: Content,
    /// An instance's own failure, for the caller if no other attempt does better.
    failed: Option<(Box<http::response::Parts>, Answered)>,
}

/// The newest attempt.
struct Attempt {
    upstream: Arc<Upstream>,
    choice: ScoredChoice,
    sent: Instant,
}

/// What a request led to.
enum Outcome {
    Answer(Box<http::response::Parts>, Answered),
    Own(Reason, Option<Duration>),
}

/// Answers one request of `caller`.
pub async fn handle(
    core: Arc<Core>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Response<Returned> {
    let began = Instant::now();
    let named = headers::number(request.headers(), &core.dialect.deadline);
    let deadline = named.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let until = began + deadline.mul_f64(START_PART);
    let routes = head::routes(&core, until).await;
    let id = request.headers().get(&core.dialect.request).cloned();
    let id = id.unwrap_or_else(head::new_id);
    if routes.table.version == 0 {
        return head::refuse(&core, &id, &routes, Reason::NoTable, Some(BACK_UNKNOWN));
    }
    let host = head::host(&request).unwrap_or_default();
    let Some(route) = routes.index.select(&host, request.uri().path()) else {
        return head::refuse(&core, &id, &routes, Reason::NoRoute, None);
    };
    head::stocked(&core, until).await;
    let service = match &route.target {
        Target::Service(name) => Some(name.clone()),
        Target::Split(parts) => core.turn(route, parts),
    };
    let Some(service) = service else {
        return head::refuse(&core, &id, &routes, Reason::NoInstance, Some(BACK_UNKNOWN));
    };
    let limit = routes.table.limits.body_bytes;
    if request.body().size_hint().lower() > limit {
        return head::refuse(&core, &id, &routes, Reason::TooLarge, None);
    }
    let spent = named.map_or(Duration::ZERO, |_| {
        core.habit(route, |habit| habit.spent(core.clock.now(), deadline))
    });
    let aim = route.aim.unwrap_or(deadline / 2).saturating_sub(spent);
    let (call, incoming) = head::call(&core, caller, &host, id, request);
    let mut flow = Flow {
        end: began + deadline.min(route.timeout.unwrap_or(deadline)),
        core,
        began,
        call,
        route: Arc::clone(route),
        service,
        version: routes.table.version,
        deadline,
        aim,
        attempts: 0,
        unsent: 0,
        exclude: Vec::new(),
        exposed: false,
        last: None,
        back: None,
        sent: 0,
        spool: None,
        content: Content::Whole(None),
        failed: None,
    };
    flow.run(incoming).await
}

impl Flow {
    async fn run(&mut self, incoming: Incoming) -> Response<Returned> {
        let end = self.end;
        let outcome = match tokio::time::timeout_at(end, self.serve(incoming)).await {
            Ok(outcome) => outcome,
            Err(_) if self.exposed && self.failed.is_none() => Outcome::Own(Reason::Timeout, None),
            Err(_) => self.own(Reason::Late),
        };
        self.drain().await;
        self.respond(outcome)
    }

    /// Takes the rest of a body that the answer doesn't wait for. An answer before it closes
    /// the connection while the caller still writes, which may reset it unread.
    async fn drain(&self) {
        if let Some(spool) = &self.spool {
            // A caller that is slower than its own deadline is told all the same.
            let _ = tokio::time::timeout_at(self.end, spool.fill()).await;
        }
    }

    async fn serve(&mut self, incoming: Incoming) -> Outcome {
        // A caller that breaks off its body has left; there is nobody to answer.
        let Ok(mut body) = body::outgoing(incoming).await else {
            return Outcome::Own(Reason::Late, None);
        };
        self.sent = body.known_length().unwrap_or_default();
        self.spool = body.spool();
        self.content = body.content();
        self.desk(Desk::request);
        loop {
            let again = body.again();
            let end = self.attempt(body).await;
            match self.judge(end, again) {
                Ok(outcome) => return outcome,
                Err(next) => body = next,
            }
        }
    }

    fn desk<T>(&self, ask: impl FnOnce(&mut Desk, Moment) -> T) -> Option<T> {
        self.core.desk(&self.service, ask)
    }

    /// One attempt.
    async fn attempt(&mut self, body: Outgoing) -> Result<End, Reason> {
        self.check().await?;
        let chosen = self.choose_while(&body).await?;
        // It may have waited for room.
        self.check().await?;
        let pick = chosen.choice.pick;
        self.attempts += 1;
        self.exclude.push(pick);
        let left = self.deadline.saturating_sub(self.began.elapsed());
        info!(self.core.log, "choice"; "request" => self.call.id.to_str().unwrap_or("-"),
            "attempt" => self.attempts, "instance" => %chosen.upstream.id,
            "reason" => %chosen.choice.reason, "in_flight" => chosen.choice.in_flight,
            "expected_ms" => millis(chosen.choice.expected),
            "age_ms" => chosen.choice.age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(-1)),
            "report" => chosen.choice.report.map_or_else(|| "-".to_owned(), |r| {
                format!("{}+{}/{}@{}", r.running, r.waiting, r.slots, r.pace)
            }),
            "cost" => format!("{:.3}", chosen.choice.cost),
            "left_ms" => millis(left));
        let ticket = self.desk(|desk, now| desk.started(now, pick));
        let held = Held {
            ticket: ticket.ok_or(Reason::NoInstance)?,
            grant: chosen.grant,
        };
        let core = Arc::clone(&self.core);
        // Until the end says otherwise, the request may be running.
        let before = std::mem::replace(&mut self.exposed, true);
        let sent = Instant::now();
        self.last = Some(Attempt {
            upstream: Arc::clone(&chosen.upstream),
            choice: chosen.choice,
            sent,
        });
        let patience = Patience {
            left,
            silence: chosen.choice.expected.mul_f64(SILENT_WORKS),
        };
        let upstream = &chosen.upstream;
        let end = exchange::attempt(&core, upstream, held, &self.call, body, patience).await;
        self.exposed = before || matches!(end, End::Answer(..) | End::Unknown);
        self.note(&end, sent.elapsed());
        self.learn(&end, upstream, sent).await;
        if matches!(end, End::Elsewhere) {
            self.desk(|desk, _| desk.displaced(pick));
        }
        if let End::Answer(parts, Answered::Whole(bytes)) = &end
            && parts.status.is_success()
        {
            let moved = bytes.len() as u64 + self.sent;
            let latency = sent.elapsed();
            let learn = |habit: &mut Habit| habit.learn(latency, &chosen.choice, moved);
            self.core.habit(&self.route, learn);
        }
        Ok(end)
    }

    /// One line for each attempt that gave no good answer; a good one is told by the
    /// request's own line.
    fn note(&self, end: &End, span: Duration) {
        let status = match end {
            End::Answer(parts, _) if parts.status.is_server_error() => parts.status.as_u16(),
            End::Answer(..) => return,
            _ => 0,
        };
        let word: &'static str = end.into();
        info!(self.core.log, "attempt"; "request" => self.call.id.to_str().unwrap_or("-"),
            "attempt" => self.attempts, "end" => word, "status" => status,
            "instance" => self.instance(),
            "service" => %self.service, "ms" => millis(span));
    }

    /// The final outcome, or the body for another attempt.
    fn judge(
        &mut self,
        end: Result<End, Reason>,
        again: Option<Outgoing>,
    ) -> Result<Outcome, Outgoing> {
        let once = self.route.kind == Kind::Once;
        let reason = match &end {
            Err(reason) => *reason,
            Ok(_) => Reason::Full,
        };
        let retried = match end {
            Err(_) => false,
            Ok(End::Answer(parts, answered)) => {
                let failed = parts.status.is_server_error();
                if !failed || once || !self.may_retry(again.is_some()) {
                    return Ok(Outcome::Answer(parts, answered));
                }
                self.failed = Some((parts, answered));
                true
            }
            Ok(End::Unknown) => !once && self.may_retry(again.is_some()),
            Ok(End::Unsent) => {
                self.attempts -= 1;
                self.unsent += 1;
                self.unsent < UNSENT_TRIES
            }
            Ok(End::Refused | End::Elsewhere) => self.may_retry(again.is_some()),
        };
        match again {
            Some(body) if retried => Err(body),
            _ => Ok(self.own(reason)),
        }
    }

    /// The system's own answer; `reason` counts where the request has not run.
    fn own(&mut self, reason: Reason) -> Outcome {
        if let Some((parts, answered)) = self.failed.take() {
            return Outcome::Answer(parts, answered);
        }
        if self.exposed {
            return Outcome::Own(Reason::Broken, None);
        }
        let back = match reason {
            Reason::Quarantined => self.back,
            Reason::Full => self.back.or_else(|| self.desk(Desk::back)),
            _ => Some(BACK_UNKNOWN),
        };
        Outcome::Own(reason, back)
    }

    /// Whether another attempt is allowed and paid for.
    fn may_retry(&self, whole: bool) -> bool {
        let allowed = whole && self.attempts < self.route.attempts;
        if !allowed {
            return false;
        }
        let paid = self.desk(Desk::pay).unwrap_or(false);
        if !paid {
            self.core.counters.unpaid(&self.service);
        }
        paid
    }

    /// The instance of the newest attempt.
    fn instance(&self) -> &str {
        let last = self.last.as_ref();
        last.map_or("-", |attempt| attempt.upstream.id.as_str())
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// An empty body, for pages of the process itself.
#[must_use]
pub fn empty() -> Returned {
    Returned::whole(Bytes::new())
}
