//! What a call does with answers: takes, refuses, relays, gives up.

use std::time::Duration;

use admit::Finish;
use attempt::Ending;
use attempt::Event;
use attempt::Failure;
use attempt::event::Number;
use base::header;
use base::prelude::*;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::ACCEPT_RANGES;
use http::header::ETAG;
use http::header::RANGE;
use route::Kind;
use slog::info;

use crate::call::classify::ending_of;
use crate::call::classify::kind_of;
use crate::call::classify::kind_of_answer;
use crate::call::classify::range_begin;
use crate::call::classify::reason_of;
use crate::call::driver::Driver;
use crate::call::state::Arrived;
use crate::call::state::Outlet;
use crate::call::state::Pumped;
use crate::instance_clients::LaneError;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::Answer;
use crate::relay::Relayed;

impl Driver {
    pub(super) fn head(&mut self, number: Number, result: std::result::Result<Answer, LaneError>) {
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
    pub(super) fn refused(&self, answer: &Answer) -> Option<Ending> {
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

    pub(super) fn machine_head(&self, answer: &Answer) -> attempt::Head {
        attempt::Head {
            status: answer.status.as_u16(),
            shed: answer.is_shed(),
            retried: answer.headers.contains_key(header::RETRIED),
            resumable: self.is_resumable(answer),
        }
    }

    /// The rest of a broken body can be asked for, and joins on to what went out.
    pub(super) fn is_resumable(&self, answer: &Answer) -> bool {
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

    pub(super) fn cancel(&mut self, number: Number, cause: Option<Event>) {
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

    pub(super) fn relay(&mut self, number: Number, marked: bool) {
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

    pub(super) fn piece(&mut self, bytes: Bytes) {
        self.taken += bytes.len() as u64;
        if matches!(self.outlet, Outlet::Open(_)) && !bytes.is_empty() {
            self.piece = Some(bytes);
        }
    }

    pub(super) fn short(&mut self) {
        let Some(mut pumped) = self.pumped.take() else {
            return;
        };
        pumped.track.note(Kind::Error);
        let number = pumped.number;
        drop(pumped);
        info!(self.log, "answer short"; "attempt" => number, "bytes" => self.taken);
        self.step(Event::Ended(number, Ending::ShortBody(self.taken)));
    }

    pub(super) fn whole(&mut self) {
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

    pub(super) fn note(&mut self, finish: Finish) {
        if let Some(slot) = &mut self.request.slot {
            slot.note(finish);
        }
    }

    pub(super) fn fail(&mut self, failure: Failure) {
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

    pub(super) fn retry_after(&self) -> Duration {
        self.core.queue.retry_after(&self.request.ask.service.name)
    }

    pub(super) fn cut(&mut self, failure: Failure) {
        self.note(Finish::Failed);
        info!(self.log, "call broken"; "reason" => <&str>::from(failure.reason));
        // Closing the channel without its end mark is the visible failure.
        self.outlet = Outlet::Shut;
    }
}
