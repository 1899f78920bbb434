//! HTTP/1.1 messages on a plain socket, where no library hides a violation of the protocol.

use std::io;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// End of a line.
const LINE_END: &[u8] = b"\r\n";
/// Maximum size of one read, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// The head of a request or response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The request line or status line.
    pub first: String,
    /// Names and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        });
        Self {
            first,
            headers: headers.collect(),
        }
    }

    /// Value of a header, empty if absent.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Method of a request.
    #[must_use]
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    #[must_use]
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; zero if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Whether the connection ends with this message.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.text("connection").eq_ignore_ascii_case("close")
    }

    fn is_chunked(&self) -> bool {
        let coding = self.text("transfer-encoding").to_ascii_lowercase();
        coding.contains("chunked")
    }

    fn length(&self) -> Option<usize> {
        self.text("content-length").parse().ok()
    }
}

/// Whether a message is a request or a response, on which the end of its body depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Without a length, there is no body.
    Request,
    /// Without a length, the body ends with the connection.
    Response,
}

/// Reads messages from a byte stream.
#[derive(Debug)]
pub struct MessageReader<R> {
    reader: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Reads from `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader,
            buffer: Vec::new(),
        }
    }

    /// Whether bytes have been read that belong to no message yet.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads a head; `None` if the stream ended before one began.
    ///
    /// # Errors
    ///
    /// Fails if the stream fails, or ends within the head.
    pub async fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, HEAD_END) {
                let head = Head::parse(&self.buffer[..end]);
                self.buffer.drain(..end + HEAD_END.len());
                return Ok(Some(head));
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads the body that follows `head`.
    ///
    /// # Errors
    ///
    /// Fails if the stream fails, ends within the body, or has an invalid chunk.
    pub async fn body(&mut self, head: &Head, direction: Direction) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            return self.chunks().await;
        }
        if let Some(length) = head.length() {
            return self.take(length).await;
        }
        if direction == Direction::Response {
            while self.fill().await? > 0 {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }

    async fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line().await?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))?;
            if size == 0 {
                while !self.line().await?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size).await?);
            self.line().await?;
        }
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, LINE_END) {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + LINE_END.len());
                return Ok(line);
            }
            self.fill_more().await?;
        }
    }

    async fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill_more().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn fill_more(&mut self) -> io::Result<()> {
        match self.fill().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads more bytes and returns their number, which is zero at the end of the stream.
    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_SIZE);
        self.reader.read_buf(&mut self.buffer).await
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
