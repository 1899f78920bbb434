//! Drives one call: feeds the attempts' machine with what happens and does
//! what it says.
//!
//! A call is a task of its own, so that its caller may leave without cutting a
//! request that must not be cut; whether it is cut, the machine decides.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use admit::Finish;
use attempt::Action;
use attempt::Actions;
use attempt::Ending;
use attempt::Event;
use attempt::Failure;
use attempt::Start;
use attempt::Terms;
use attempt::event::Number;
use base::header;
use base::prelude::*;
use bytes::Bytes;
use futures::StreamExt;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::ACCEPT_RANGES;
use http::header::CONTENT_RANGE;
use http::header::ETAG;
use http::header::IF_RANGE;
use http::header::RANGE;
use route::Kind;
use route::Pick;
use slog::Logger;
use slog::info;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::ask::Ask;
use crate::body::Payload;
use crate::core::Core;
use crate::counters::add;
use crate::desk::Desk;
use crate::headers;
use crate::headers::Told;
use crate::lanes::Lane;
use crate::lanes::LaneError;
use crate::lanes::Outgoing;
use crate::queue::Slot;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::Answer;
use crate::relay::Broken;
use crate::relay::Pieces;
use crate::relay::Relayed;
use crate::track::Track;

/// What the caller of a call gets.
pub type Result = std::result::Result<Relayed, Refusal>;

/// A request that was admitted.
pub struct Request {
    /// What it asks for.
    pub ask: Ask,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Arc<str>,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub payload: Payload,
    /// After this moment no attempt may begin: a claim's hold.
    pub hold: Option<Moment>,
    /// Its place among the calls that run.
    pub slot: Option<Slot>,
}

/// Starts the call; its answer comes by the receiver.
///
/// Dropping the receiver, or the body of the answer, is the caller's leaving.
#[must_use]
pub fn start(core: Arc<Core>, desk: Arc<Desk>, request: Request) -> oneshot::Receiver<Result> {
    let (send, receive) = oneshot::channel();
    let flight = core.flying.begin();
    tokio::spawn(async move {
        let _flight = flight;
        Driver::new(core, desk, request, send).run().await;
    });
    receive
}

type Head = (Number, std::result::Result<Answer, LaneError>);

/// An attempt that waits for the head of its answer.
struct Waiting {
    number: Number,
    track: Track,
    head: Pin<Box<dyn Future<Output = std::result::Result<Answer, LaneError>> + Send>>,
}

/// An attempt whose head came, until the machine says what to do with it.
struct Arrived {
    number: Number,
    track: Track,
    answer: Answer,
}

/// The attempt whose body goes to the caller.
struct Pumped {
    number: Number,
    track: Track,
    pieces: Pieces,
}

/// The way to the caller.
enum Outlet {
    /// No head went out.
    Fresh(oneshot::Sender<Result>),
    /// The body goes out.
    Open(PieceSender),
    /// Nobody listens, or all was said.
    Shut,
}

type PieceSender = mpsc::Sender<std::result::Result<Bytes, Broken>>;

/// Waits until the caller has left.
async fn left(fresh: Option<&mut oneshot::Sender<Result>>, open: Option<&PieceSender>) {
    match (fresh, open) {
        (Some(send), _) => send.closed().await,
        (None, Some(send)) => send.closed().await,
        (None, None) => std::future::pending().await,
    }
}

/// What woke the driver.
enum Woken {
    Head(Head),
    Piece(Option<std::result::Result<Bytes, reqwest::Error>>),
    Sent,
    Tick,
    Left,
}

struct Driver {
    core: Arc<Core>,
    desk: Arc<Desk>,
    log: Logger,
    request: Request,
    call: attempt::Call,
    outlet: Outlet,
    waiting: Vec<Waiting>,
    arrived: Vec<Arrived>,
    pumped: Option<Pumped>,
    tried: Vec<Pick>,
    // A piece that waits for room on the way to the caller.
    piece: Option<Bytes>,
    // Bytes of the body taken from upstreams.
    taken: u64,
    etag: Option<HeaderValue>,
    // Why an attempt did not begin, where the machine's own reason is less exact.
    hindrance: Option<Reason>,
}

impl Driver {
    fn new(
        core: Arc<Core>,
        desk: Arc<Desk>,
        request: Request,
        send: oneshot::Sender<Result>,
    ) -> Self {
        let log = core.log.new(slog::o!(
            "request" => request.ask.id.clone(),
            "service" => request.ask.service.name.to_string(),
        ));
        let call = attempt::Call::new(terms(&request));
        Self {
            core,
            desk,
            log,
            request,
            call,
            outlet: Outlet::Fresh(send),
            waiting: Vec::with_capacity(1),
            arrived: Vec::new(),
            pumped: None,
            tried: Vec::new(),
            piece: None,
            taken: 0,
            etag: None,
            hindrance: None,
        }
    }

    async fn run(mut self) {
        let began = self.core.clock.now();
        let pressed = self.core.queue.is_pressed(&self.request.ask.service.name);
        let actions = {
            let mut state = self.desk.state();
            state.attempts.pressed = pressed;
            self.call.start(&mut state.attempts, began)
        };
        self.perform(actions, None);
        while !self.call.is_finished() {
            let woken = self.wake().await;
            self.take(woken);
        }
        let span = self.core.clock.now().since(began);
        let counters = &self.core.counters;
        add(&counters.calls, 1);
        add(&counters.call_micros, micros(span));
        add(&counters.attempts, self.call.attempts().into());
        info!(self.log, "call";
            "attempts" => self.call.attempts(),
            "bytes" => self.taken,
            "us" => micros(span),
        );
    }

    async fn wake(&mut self) -> Woken {
        let wake = self.call.wake().unwrap_or(self.request.ask.deadline);
        let wake = self.core.clock.instant(wake);
        let (fresh, open) = match &mut self.outlet {
            Outlet::Fresh(send) => (Some(send), None),
            Outlet::Open(send) => (None, Some(&*send)),
            Outlet::Shut => (None, None),
        };
        tokio::select! {
            biased;
            head = next_head(&mut self.waiting) => Woken::Head(head),
            woken = pump(&mut self.pumped, &mut self.piece, open) => woken,
            () = sleep_until(wake) => Woken::Tick,
            () = left(fresh, open) => Woken::Left,
        }
    }

    fn take(&mut self, woken: Woken) {
        match woken {
            Woken::Head((number, result)) => self.head(number, result),
            Woken::Piece(Some(Ok(bytes))) => self.piece(bytes),
            Woken::Piece(Some(Err(_))) => self.short(),
            Woken::Piece(None) => self.whole(),
            Woken::Sent => {}
            Woken::Tick => self.step(Event::Tick),
            Woken::Left => {
                self.outlet = Outlet::Shut;
                self.piece = None;
                self.step(Event::Left);
                info!(self.log, "caller left"; "ended" => self.call.is_finished());
            }
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.core.clock.now();
        let actions = {
            let mut state = self.desk.state();
            let state = &mut *state;
            self.call
                .step(event, &mut state.attempts, &mut state.rng, now)
        };
        self.perform(actions, Some(event));
    }

    fn perform(&mut self, actions: Actions, cause: Option<Event>) {
        for action in actions {
            match action {
                Action::Start(start) => self.begin(start),
                Action::Cancel(number) => self.cancel(number, cause),
                Action::Relay { number, marked } => self.relay(number, marked),
                Action::Fail(failure) => self.fail(failure),
                Action::Break(failure) => self.cut(failure),
            }
        }
    }

    fn begin(&mut self, start: Start) {
        match self.prepare(start) {
            Ok((lane, track, out)) => {
                let method = out.method.clone();
                let head = Box::pin(async move {
                    let response = lane.send(out).await?;
                    Ok(Answer::new(response, &method))
                });
                self.waiting.push(Waiting {
                    number: start.number,
                    track,
                    head,
                });
            }
            Err(reason) => {
                self.hindrance.get_or_insert(reason);
                self.step(Event::Ended(start.number, Ending::NoUpstream));
            }
        }
    }

    fn prepare(
        &mut self,
        start: Start,
    ) -> std::result::Result<(Arc<Lane>, Track, Outgoing), Reason> {
        let now = self.core.clock.now();
        if self.request.hold.is_some_and(|hold| now >= hold) {
            return Err(Reason::Hold);
        }
        let (lane, track) = self.choose(start, now)?;
        let headers = self.outgoing_headers(start);
        // The last attempt took the only copy of the body with it.
        let body = self.request.payload.take().ok_or(Reason::Connect)?;
        let out = Outgoing {
            method: self.request.method.clone(),
            target: self.request.target.clone(),
            headers,
            body,
        };
        Ok((lane, track, out))
    }

    /// Chooses an instance with a free connection and logs the decision.
    fn choose(
        &mut self,
        start: Start,
        now: Moment,
    ) -> std::result::Result<(Arc<Lane>, Track), Reason> {
        let mut state = self.desk.state();
        let mut reason = Reason::NoUpstream;
        while let Some(choice) = state.chooser.choose(now, &self.tried) {
            let again = self.tried.contains(&choice.pick);
            let ticket = state.chooser.started(now, choice.pick);
            let id = state.chooser.id(choice.pick).cloned();
            let Some((lane, connection)) = self.connection(id.as_ref()) else {
                state.chooser.finished(now, ticket, NOT_SENT);
                if again {
                    break;
                }
                reason = Reason::Connections;
                self.tried.push(choice.pick);
                continue;
            };
            drop(state);
            self.tried.push(choice.pick);
            log_choice(&self.log, start, id.as_ref(), &choice);
            let track = Track::new(self.desk.clone(), self.core.clock, ticket, connection);
            return Ok((lane, track));
        }
        Err(reason)
    }

    fn connection(&self, id: Option<&InstanceId>) -> Option<(Arc<Lane>, OwnedSemaphorePermit)> {
        let lane = self.core.lanes.get(&self.request.ask.service.name, id?)?;
        let connection = lane.reserve()?;
        Some((lane, connection))
    }

    fn outgoing_headers(&self, start: Start) -> HeaderMap {
        let mut headers = self.request.headers.clone();
        headers::tell(
            &mut headers,
            Told {
                id: &self.request.ask.id,
                attempt: start.number.into(),
                left: start.told,
                depth: start.depth,
            },
        );
        if start.offset > 0 {
            let range = format!("bytes={}-", start.offset);
            if let (Ok(range), Some(etag)) = (HeaderValue::from_str(&range), &self.etag) {
                headers.insert(RANGE, range);
                headers.insert(IF_RANGE, etag.clone());
            }
        }
        headers
    }

    fn head(&mut self, number: Number, result: std::result::Result<Answer, LaneError>) {
        let Some(index) = self.waiting.iter().position(|w| w.number == number) else {
            return;
        };
        let mut track = self.waiting.swap_remove(index).track;
        let answer = match result {
            Ok(answer) => answer,
            Err(err) => {
                track.note(kind_of(&err));
                drop(track);
                info!(self.log, "attempt failed"; "attempt" => number, "error" => %err);
                self.step(Event::Ended(number, ending_of(&err)));
                return;
            }
        };
        track.head(&answer.headers);
        if let Some(ending) = self.refused(&answer) {
            track.note(Kind::Error);
            drop(track);
            info!(self.log, "answer refused"; "attempt" => number, "ending" => <&str>::from(ending));
            self.step(Event::Ended(number, ending));
            return;
        }
        track.note(kind_of_answer(&answer));
        let head = self.machine_head(&answer);
        if head.shed {
            self.core.queue.shed(&self.request.ask.service.name);
        }
        self.arrived.push(Arrived {
            number,
            track,
            answer,
        });
        self.step(Event::Head(number, head));
    }

    /// An answer that can't be the whole answer to this request.
    fn refused(&self, answer: &Answer) -> Option<Ending> {
        if answer.is_foreign(&self.request.ask.id) {
            return Some(Ending::Mismatch);
        }
        if !answer.framed {
            return Some(Ending::NoAnswer);
        }
        let resumed = self.taken > 0 && answer.status == StatusCode::PARTIAL_CONTENT;
        if resumed && range_begin(&answer.headers) != Some(self.taken) {
            return Some(Ending::Mismatch);
        }
        None
    }

    fn machine_head(&self, answer: &Answer) -> attempt::Head {
        attempt::Head {
            status: answer.status.as_u16(),
            shed: answer.is_shed(),
            retried: answer.headers.contains_key(header::RETRIED),
            resumable: self.is_resumable(answer),
        }
    }

    /// The rest of a broken body can be asked for, and joins on to what went out.
    fn is_resumable(&self, answer: &Answer) -> bool {
        let partial = self.request.headers.contains_key(RANGE);
        let offered = answer
            .headers
            .get(ACCEPT_RANGES)
            .is_some_and(|v| v == "bytes");
        let strong = answer
            .headers
            .get(ETAG)
            .is_some_and(|v| v.as_bytes().starts_with(b"\""));
        let fits = answer.status == StatusCode::OK
            || (answer.status == StatusCode::PARTIAL_CONTENT && self.taken > 0);
        self.request.method == Method::GET && !partial && offered && strong && fits
    }

    fn cancel(&mut self, number: Number, cause: Option<Event>) {
        // Time alone ends an attempt that gave no answer in time.
        let late = matches!(cause, Some(Event::Tick));
        if let Some(index) = self.waiting.iter().position(|w| w.number == number) {
            let mut waiting = self.waiting.swap_remove(index);
            if late {
                waiting.track.note(Kind::Timeout);
            }
        }
        self.arrived.retain(|a| a.number != number);
        if self.pumped.as_ref().is_some_and(|p| p.number == number) {
            let pumped = self.pumped.take();
            if let Some(mut pumped) = pumped.filter(|_| late && self.piece.is_none()) {
                pumped.track.note(Kind::Timeout);
            }
        }
    }

    fn relay(&mut self, number: Number, marked: bool) {
        let Some(index) = self.arrived.iter().position(|a| a.number == number) else {
            return;
        };
        let Arrived { track, answer, .. } = self.arrived.swap_remove(index);
        self.etag = answer.headers.get(ETAG).cloned();
        let outlet = std::mem::replace(&mut self.outlet, Outlet::Shut);
        self.outlet = match outlet {
            Outlet::Fresh(send) => {
                let (pieces, mut relayed) = Relayed::begin(&answer);
                if marked {
                    let mark = HeaderValue::from_static("1");
                    relayed.headers.insert(header::RETRIED, mark);
                }
                // A caller that has left meanwhile is noticed by the pieces' channel.
                let _ = send.send(Ok(relayed));
                Outlet::Open(pieces)
            }
            resumed => resumed,
        };
        self.pumped = Some(Pumped {
            number,
            track,
            pieces: answer.body,
        });
    }

    fn piece(&mut self, bytes: Bytes) {
        self.taken += bytes.len() as u64;
        if matches!(self.outlet, Outlet::Open(_)) && !bytes.is_empty() {
            self.piece = Some(bytes);
        }
    }

    fn short(&mut self) {
        let Some(mut pumped) = self.pumped.take() else {
            return;
        };
        pumped.track.note(Kind::Error);
        let number = pumped.number;
        drop(pumped);
        info!(self.log, "answer short"; "attempt" => number, "bytes" => self.taken);
        self.step(Event::Ended(number, Ending::ShortBody(self.taken)));
    }

    fn whole(&mut self) {
        let Some(pumped) = self.pumped.take() else {
            return;
        };
        let number = pumped.number;
        drop(pumped);
        if let Outlet::Open(send) = &self.outlet {
            // The empty piece is the mark of a whole body; room was made before.
            let _ = send.try_send(Ok(Bytes::new()));
        }
        self.note(Finish::Answered);
        self.step(Event::Whole(number));
    }

    fn note(&mut self, finish: Finish) {
        if let Some(slot) = &mut self.request.slot {
            slot.note(finish);
        }
    }

    fn fail(&mut self, failure: Failure) {
        let mut reason = reason_of(failure.reason);
        if let (Reason::NoUpstream, Some(hindrance)) = (reason, self.hindrance) {
            reason = hindrance;
        }
        let mut status = StatusCode::from_u16(failure.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        if self.request.payload.is_over() {
            status = StatusCode::PAYLOAD_TOO_LARGE;
            reason = Reason::BodyTooLarge;
        }
        let refusal = Refusal {
            status,
            outcome: failure.outcome,
            reason,
            retry: (failure.outcome == Outcome::NotRun).then(|| self.retry_after()),
            marked: true,
        };
        self.note(if reason == Reason::Shed {
            Finish::Shed
        } else {
            Finish::Failed
        });
        info!(self.log, "call failed";
            "outcome" => <&str>::from(refusal.outcome),
            "reason" => <&str>::from(refusal.reason),
        );
        if let Outlet::Fresh(send) = std::mem::replace(&mut self.outlet, Outlet::Shut) {
            let _ = send.send(Err(refusal));
        }
    }

    fn retry_after(&self) -> Duration {
        self.core.queue.retry_after(&self.request.ask.service.name)
    }

    fn cut(&mut self, failure: Failure) {
        self.note(Finish::Failed);
        info!(self.log, "call broken"; "reason" => <&str>::from(failure.reason));
        // Closing the channel without its end mark is the visible failure.
        self.outlet = Outlet::Shut;
    }
}

fn terms(request: &Request) -> Terms {
    let class = request.ask.service.class;
    Terms {
        // A body that can be sent once only is as one of class once to the machine.
        class: if request.payload.is_kept() {
            class
        } else {
            Class::Once
        },
        deadline: request.ask.deadline,
        depth: request.ask.depth,
    }
}

/// The end of an attempt that found no free connection.
const NOT_SENT: route::Outcome = route::Outcome {
    kind: Kind::Cancelled,
    latency: Duration::ZERO,
    report: None,
};

/// The line of a routing decision: what was known, and how old that was.
fn log_choice(log: &Logger, start: Start, id: Option<&InstanceId>, choice: &route::Choice) {
    info!(log, "route";
        "attempt" => start.number,
        "hedge" => start.hedge,
        "instance" => id.map(InstanceId::as_str),
        "reason" => <&str>::from(choice.reason),
        "age_us" => choice.age.map(micros),
        "in_flight" => choice.in_flight,
        "expected_us" => micros(choice.expected),
    );
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

async fn next_head(waiting: &mut [Waiting]) -> Head {
    poll_fn(|cx| {
        for one in waiting.iter_mut() {
            if let Poll::Ready(result) = one.head.as_mut().poll(cx) {
                return Poll::Ready((one.number, result));
            }
        }
        Poll::Pending
    })
    .await
}

/// Moves the body on by one step: sends the piece that waits, or takes the next.
async fn pump(
    pumped: &mut Option<Pumped>,
    piece: &mut Option<Bytes>,
    open: Option<&PieceSender>,
) -> Woken {
    let Some(pumped) = pumped else {
        return std::future::pending().await;
    };
    let Some(send) = open else {
        return Woken::Piece(pumped.pieces.next().await);
    };
    // Room comes first, so that a slow caller holds the upstream back.
    let Ok(room) = send.reserve().await else {
        return std::future::pending().await;
    };
    if let Some(bytes) = piece.take() {
        room.send(Ok(bytes));
        return Woken::Sent;
    }
    Woken::Piece(pumped.pieces.next().await)
}

fn kind_of(err: &LaneError) -> Kind {
    match err {
        LaneError::Connect(_) => Kind::ConnectFailed,
        LaneError::NoAnswer(_) => Kind::Error,
        LaneError::Busy | LaneError::Target => Kind::Cancelled,
    }
}

fn ending_of(err: &LaneError) -> Ending {
    match err {
        LaneError::Connect(_) => Ending::ConnectFailed,
        LaneError::NoAnswer(_) => Ending::NoAnswer,
        LaneError::Busy | LaneError::Target => Ending::NotSent,
    }
}

fn kind_of_answer(answer: &Answer) -> Kind {
    if answer.is_shed() {
        Kind::Shed
    } else if answer.status.is_server_error() {
        Kind::Error
    } else {
        Kind::Ok
    }
}

fn reason_of(reason: attempt::Reason) -> Reason {
    match reason {
        attempt::Reason::NoUpstream => Reason::NoUpstream,
        attempt::Reason::Connect => Reason::Connect,
        attempt::Reason::Shed => Reason::Shed,
        attempt::Reason::NoAnswer => Reason::NoAnswer,
        attempt::Reason::Mismatch => Reason::Mismatch,
        attempt::Reason::Deadline => Reason::Deadline,
        attempt::Reason::ShortBody => Reason::ShortBody,
        attempt::Reason::Cancelled => Reason::Cancelled,
    }
}

/// First byte of `Content-Range: bytes A-B/C`.
fn range_begin(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(CONTENT_RANGE)?.to_str().ok()?;
    let (begin, _) = text.strip_prefix("bytes ")?.split_once('-')?;
    begin.parse().ok()
}
