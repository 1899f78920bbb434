//! An instance on plain sockets that sends bytes without end, until its peer closes.

use std::io;
use std::sync::Arc;

use base::header;
use slog::Logger;
use strum::Display;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::accept::serve_connections;
use crate::announced::Announced;
use crate::handler::LOAD_PATH;
use crate::message::Direction;
use crate::message::Head;
use crate::message::MessageReader;
use crate::server::StartError;
use crate::settings::Settings;

/// Bytes that are passed to the system at once.
const WRITE_BYTES: usize = 64 * 1024;
/// Length of a body that never comes to its end.
const ENDLESS_LENGTH: &str = "1000000000000000";

/// What comes without end, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Flood {
    /// A body in large chunks.
    LargeChunks,
    /// A body in chunks of one byte.
    TinyChunks,
    /// A body of a length that it doesn't reach.
    LongBody,
    /// A body without a length.
    BodyUntilClose,
    /// Trailers after a short body.
    Trailers,
    /// An extension of the first chunk.
    ChunkExtension,
    /// Bytes after a complete response.
    AfterResponse,
    /// The body of a refusal.
    RefusalBody,
    /// The body of a server error.
    ErrorBody,
    /// One header.
    HeaderLine,
    /// Headers.
    Headers,
    /// The status line.
    StatusLine,
    /// Bytes that are no HTTP.
    Garbage,
    /// Empty lines in place of a status line.
    EmptyLines,
    /// Interim responses with large heads.
    Interim,
    /// Bytes on a connection before a request.
    BeforeRequest,
    /// The body of the response to a probe.
    ProbeBody,
    /// The head of the response to a probe.
    ProbeHead,
}

impl Flood {
    /// Whether probes are answered by the flood, and requests as usual.
    fn is_of_probes(self) -> bool {
        matches!(self, Self::ProbeBody | Self::ProbeHead)
    }

    /// What is sent once, before the endless part. `named` are the headers of a response to the
    /// request.
    fn start(self, named: &str) -> String {
        let ok = format!("HTTP/1.1 200 OK\r\n{named}");
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        match self {
            Self::LargeChunks | Self::TinyChunks | Self::ProbeBody => format!("{ok}{chunked}"),
            Self::LongBody => format!("{ok}content-length: {ENDLESS_LENGTH}\r\n\r\n"),
            Self::BodyUntilClose => format!("{ok}connection: close\r\n\r\n"),
            Self::Trailers => format!("{ok}{chunked}2\r\nok\r\n0\r\n"),
            Self::ChunkExtension => format!("{ok}{chunked}2;"),
            Self::AfterResponse => format!("{ok}content-length: 2\r\n\r\nok"),
            Self::RefusalBody => format!(
                "HTTP/1.1 503 Service Unavailable\r\n{named}{}: 1\r\n{chunked}",
                header::SHED
            ),
            Self::ErrorBody => {
                format!("HTTP/1.1 500 Internal Server Error\r\n{named}{chunked}")
            }
            Self::HeaderLine => format!("{ok}x-endless: "),
            Self::Headers | Self::ProbeHead => ok,
            Self::StatusLine => "HTTP/1.1 200 ".into(),
            Self::Garbage | Self::EmptyLines | Self::Interim | Self::BeforeRequest => String::new(),
        }
    }

    /// What is repeated.
    fn pattern(self) -> String {
        match self {
            Self::LargeChunks | Self::RefusalBody | Self::ErrorBody | Self::ProbeBody => {
                format!("{WRITE_BYTES:x}\r\n{}\r\n", "x".repeat(WRITE_BYTES))
            }
            Self::TinyChunks => "1\r\nx\r\n".into(),
            Self::Trailers | Self::Headers | Self::ProbeHead => "x-endless: y\r\n".into(),
            Self::EmptyLines => "\r\n".into(),
            Self::Interim => format!(
                "HTTP/1.1 103 Early Hints\r\nx-hint: {}\r\n\r\n",
                "x".repeat(15_000)
            ),
            Self::LongBody
            | Self::BodyUntilClose
            | Self::ChunkExtension
            | Self::AfterResponse
            | Self::HeaderLine
            | Self::StatusLine
            | Self::Garbage
            | Self::BeforeRequest => "x".into(),
        }
    }

    /// The pattern repeated to the size of a write.
    fn block(self) -> Vec<u8> {
        let pattern = self.pattern();
        pattern.repeat(WRITE_BYTES.div_ceil(pattern.len())).into()
    }
}

struct Shared {
    flood: Flood,
    /// Bytes that are written again and again.
    block: Vec<u8>,
    instance: String,
    slots: u32,
}

/// A running instance, which ends when dropped.
pub struct FloodingInstance {
    announced: Announced,
    _server: AbortOnDropHandle<()>,
}

impl FloodingInstance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Fails if the listening socket can't be opened.
    pub async fn start(settings: &Settings, flood: Flood, log: Logger) -> Result<Self, StartError> {
        let (listener, announced) = Announced::start(settings, log).await?;
        let shared = Arc::new(Shared {
            flood,
            block: flood.block(),
            instance: announced.incarnation_id().to_owned(),
            slots: settings.slots,
        });
        let server = tokio::spawn(serve_connections(listener, shared, serve));
        Ok(Self {
            announced,
            _server: AbortOnDropHandle::new(server),
        })
    }

    /// The name of the instance and of its incarnation.
    #[must_use]
    pub fn incarnation_id(&self) -> &str {
        self.announced.incarnation_id()
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.split();
    if shared.flood == Flood::BeforeRequest {
        return shared.write_endlessly(&mut writer).await;
    }
    let mut messages = MessageReader::new(reader);
    while let Some(head) = messages.head().await? {
        messages.body(&head, Direction::Request).await?;
        let named = shared.headers(&head);
        let is_probe = head.target() == LOAD_PATH;
        if is_probe == shared.flood.is_of_probes() {
            writer
                .write_all(shared.flood.start(&named).as_bytes())
                .await?;
            return shared.write_endlessly(&mut writer).await;
        }
        let usual = format!("HTTP/1.1 200 OK\r\n{named}content-length: 2\r\n\r\nok");
        writer.write_all(usual.as_bytes()).await?;
    }
    Ok(())
}

impl Shared {
    /// Header lines of a response to the request with this head, or to a probe.
    fn headers(&self, head: &Head) -> String {
        let id = match head.text(header::REQUEST_ID) {
            "" => String::new(),
            id => format!("{}: {id}\r\n", header::REQUEST_ID),
        };
        let (instance, load) = (header::INSTANCE, header::LOAD);
        let (name, slots) = (&self.instance, self.slots);
        format!("{instance}: {name}\r\n{load}: 0/{slots}\r\n{id}")
    }

    /// Writes until the peer closes.
    async fn write_endlessly(&self, writer: &mut (impl AsyncWriteExt + Unpin)) -> io::Result<()> {
        loop {
            writer.write_all(&self.block).await?;
        }
    }
}
