//! The rest of an answer whose head was passed on, until it has ended.
//!
//! What its instance does then counts as what it does before its head: an answer that is
//! whole teaches how long the route's work takes and leaves a connection for the next
//! request, one that breaks off tells against the instance.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use route::ScoredChoice;
use slog::warn;
use table::Route;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::body::BodyError;
use crate::core::Core;
use crate::crash;
use crate::crash::Broken;
use crate::crash::Subject;
use crate::habit::Habit;
use crate::pool::Connection;
use crate::view::Upstream;

/// An answer that has come no further for so long after its request's time was up has ended
/// for its caller: over the time in which a lost packet is sent again, and half of what
/// callers are kept waiting beyond that time at most.
const STALL: Duration = Duration::from_millis(250);

/// Where the answer comes from.
#[derive(Debug)]
pub struct Origin {
    /// The connection on which it comes.
    pub connection: Connection,
    /// Whether that may take another request after it.
    pub reusable: bool,
    /// How long the instance keeps it, where it says so.
    pub kept: Option<Duration>,
}

/// What it answers.
pub struct Asked {
    /// The process.
    pub core: Arc<Core>,
    /// The request.
    pub subject: Subject,
    /// The request's route.
    pub route: Arc<Route>,
    /// The instance.
    pub upstream: Arc<Upstream>,
    /// What the choice of it rested on.
    pub choice: ScoredChoice,
    /// When the request was sent there.
    pub sent: Instant,
    /// Bytes of the request's body.
    pub bytes: u64,
    /// When the request's time is up.
    pub end: Instant,
}

/// An answer under way. One that is dropped before its end was left by its caller.
pub struct Tail {
    asked: Asked,
    origin: Origin,
    /// Bytes of the answer's body that have come.
    came: u64,
    at: Instant,
    timer: Pin<Box<Sleep>>,
}

impl Tail {
    /// An answer whose head has come.
    #[must_use]
    pub fn new(asked: Asked, origin: Origin) -> Self {
        Self {
            timer: Box::pin(tokio::time::sleep_until(asked.end + STALL)),
            asked,
            origin,
            came: 0,
            at: Instant::now(),
        }
    }

    /// Takes that so many bytes have come.
    pub fn came(&mut self, bytes: usize) {
        self.came += bytes as u64;
        self.at = Instant::now();
    }

    /// Ready once the answer has stalled after its request's time.
    pub fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let next = self.at + STALL;
            if next <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(next);
        }
        Poll::Pending
    }

    /// The answer has ended whole.
    pub fn whole(self) {
        let asked = self.asked;
        asked.subject.succeeded(&asked.core);
        let latency = asked.sent.elapsed();
        let bytes = asked.bytes + self.came;
        let learn = |habit: &mut Habit| habit.learn(latency, &asked.choice, bytes);
        asked.core.habit(&asked.route, learn);
        if self.origin.reusable {
            let Origin {
                connection, kept, ..
            } = self.origin;
            asked.upstream.pool.keep(connection, kept);
        }
    }

    /// The answer ended before it was whole.
    pub fn response_aborted(self, err: &BodyError) {
        let asked = &self.asked;
        let service = &asked.upstream.service;
        warn!(asked.core.log, "answer broke off";
            "request" => asked.subject.id.to_str().unwrap_or("-"), "instance" => %asked.upstream.id,
            "service" => %service, "bytes" => self.came,
            "ms" => u64::try_from(asked.sent.elapsed().as_millis()).unwrap_or(u64::MAX),
            "error" => %err);
        asked.core.counters.response_aborted(service);
        let pick = asked.choice.pick;
        asked
            .core
            .desk(service, |desk, now| desk.response_aborted(now, pick));
        let broken = Broken {
            subject: asked.subject.clone(),
            upstream: Arc::clone(&asked.upstream),
            sent: asked.sent,
            at: Instant::now(),
        };
        crash::look(&asked.core, broken);
    }
}
