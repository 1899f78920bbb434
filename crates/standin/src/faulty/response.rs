//! Responses of a faulty instance, as bytes.

use rand::RngExt;
use rand::rngs::SmallRng;
use strum::Display;

/// Fault of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ResponseFault {
    /// A second copy follows once the head of the next request or probe on the connection has been
    /// read.
    LateCopy,
    /// The same, but probes are answered without it.
    LateCopyAfterProbes,
    /// A second copy follows at once.
    Copy,
    /// The response names no request.
    Unnamed,
    /// The connection ends within the head.
    CutHead,
    /// The connection ends within the body.
    CutBody,
    /// The stated length is greater than the body, after which the connection ends.
    Overlong,
    /// Bytes that are no response follow.
    Garbage,
    /// The body is sent in chunks, and the head states half of its length.
    BothLengths,
    /// The request runs, and the connection ends without a response.
    Lost,
}

/// How a request is refused without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// 503 with the header that says that the request wasn't run.
    Full,
    /// 429 with the same header.
    Limited,
    /// 421, as another instance has the address.
    Misdirected,
}

impl Refusal {
    /// The status of the response, with its reason phrase.
    #[must_use]
    pub fn status(self) -> &'static str {
        match self {
            Self::Full => "503 Service Unavailable",
            Self::Limited => "429 Too Many Requests",
            Self::Misdirected => "421 Misdirected Request",
        }
    }
}

/// A response before it is written.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status with its reason phrase.
    pub status: &'static str,
    /// Names and values of all headers but the length.
    pub headers: Vec<(&'static str, String)>,
    /// The header that names the request.
    pub named: Option<(&'static str, String)>,
    /// The body.
    pub body: String,
}

/// What is written to the connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Written {
    /// Bytes to write at once.
    pub now: Vec<u8>,
    /// Bytes to write once the next head has been read.
    pub later: Vec<u8>,
    /// Whether the head of a probe doesn't count for that.
    pub after_probes: bool,
    /// Whether the connection ends then.
    pub closes: bool,
}

impl Response {
    fn head(&self, length: usize) -> String {
        let headers = self.named.iter().chain(&self.headers);
        let headers = headers.map(|(name, value)| format!("{name}: {value}\r\n"));
        let headers: String = headers.collect();
        format!(
            "HTTP/1.1 {}\r\n{headers}content-length: {length}\r\n",
            self.status
        )
    }

    fn bytes(&self, stated: usize) -> Vec<u8> {
        format!("{}\r\n{}", self.head(stated), self.body).into_bytes()
    }

    /// The whole response without a fault.
    #[must_use]
    pub fn whole(&self) -> Vec<u8> {
        self.bytes(self.body.len())
    }

    /// What is written of the response with `fault`.
    pub fn write(&self, fault: Option<ResponseFault>, rng: &mut SmallRng) -> Written {
        let mut written = Written {
            now: self.whole(),
            ..Written::default()
        };
        let head_length = written.now.len() - self.body.len();
        match fault {
            None => {}
            Some(ResponseFault::LateCopy) => written.later = self.whole(),
            Some(ResponseFault::LateCopyAfterProbes) => {
                written.later = self.whole();
                written.after_probes = true;
            }
            Some(ResponseFault::Copy) => written.now.extend(self.whole()),
            Some(ResponseFault::Unnamed) => {
                let unnamed = Self {
                    named: None,
                    ..self.clone()
                };
                written.now = unnamed.whole();
            }
            Some(ResponseFault::CutHead) => {
                written.now.truncate(rng.random_range(1..head_length));
                written.closes = true;
            }
            Some(ResponseFault::CutBody) => {
                let end = rng.random_range(head_length..written.now.len().max(head_length + 1));
                written.now.truncate(end);
                written.closes = true;
            }
            Some(ResponseFault::Overlong) => {
                written.now = self.bytes(self.body.len() + rng.random_range(1..100));
                written.closes = true;
            }
            Some(ResponseFault::Garbage) => written.now.extend(b"\x16\x03 no response\r\n"),
            Some(ResponseFault::BothLengths) => {
                let head = self.head(self.body.len() / 2);
                let (length, body) = (self.body.len(), &self.body);
                let chunked = format!(
                    "{head}transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
                );
                written.now = chunked.into_bytes();
            }
            Some(ResponseFault::Lost) => {
                written.now.clear();
                written.closes = true;
            }
        }
        written
    }
}
