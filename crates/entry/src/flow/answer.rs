//! What goes back to the caller, with the line that tells of it.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;
use slog::info;

use super::Flow;
use super::Outcome;
use super::millis;
use crate::body::ResponseBody;
use crate::exchange::Answered;
use crate::headers;
use crate::refusal;
use crate::tail::Asked;
use crate::tail::Origin;
use crate::tail::Tail;

impl Flow {
    /// An answer whose body is passed on as it comes.
    fn stream(&self, first: Bytes, rest: Incoming, origin: Origin) -> ResponseBody {
        let Some(attempt) = &self.last else {
            unreachable!("an answer comes of an attempt");
        };
        let asked = Asked {
            core: Arc::clone(&self.core),
            subject: self.subject(),
            route: Arc::clone(&self.route),
            upstream: Arc::clone(&attempt.upstream),
            choice: attempt.choice,
            sent: attempt.sent,
            bytes: self.sent,
            end: self.end,
        };
        ResponseBody::stream(first, rest, Tail::new(asked, origin))
    }

    pub(super) fn respond(&self, outcome: Outcome) -> Response<ResponseBody> {
        let spent = self.began.elapsed();
        let (response, reason, back) = match outcome {
            Outcome::Answer(mut parts, answered) => {
                headers::strip_hop_by_hop(&mut parts.headers);
                let body = match answered {
                    Answered::Whole(bytes) => ResponseBody::whole(bytes),
                    Answered::Stream(first, rest, origin) => self.stream(first, rest, origin),
                };
                let response = Response::from_parts(*parts, body);
                (response, "answered", None)
            }
            Outcome::Own(reason, back) => (refusal::answer(reason, back), reason.into(), back),
        };
        info!(self.core.log, "request"; "request" => self.call.id.to_str().unwrap_or("-"),
            "outcome" => reason, "status" => response.status().as_u16(),
            "route" => &*self.route.name, "service" => %self.service,
            "table" => self.version, "attempts" => self.attempts, "unsent" => self.unsent,
            "instance" => self.instance(),
            "aim_ms" => millis(self.aim), "back_ms" => back.map_or(0, millis),
            "ms" => millis(spent));
        self.core
            .counters
            .request(self.service.as_str(), reason, spent);
        response
    }
}
