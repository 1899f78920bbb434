//! Fake upstream, or gateway, whose bytes a script chooses by what its connection carried before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::fakes::upstream::ReceivedRequest;
use crate::fakes::upstream::read_request;

/// Bytes to send, and whether the connection is closed after them.
pub struct Reply(pub String, pub bool);

/// A request, and the number of its connection.
#[derive(Clone, Debug)]
pub struct Received {
    pub connection: usize,
    pub request: ReceivedRequest,
}

/// Gets the requests of one connection, the latest last.
type Script = dyn Fn(&[ReceivedRequest]) -> Reply + Send + Sync;

/// Handle of the running fake.
#[derive(Clone)]
pub struct ScriptedUpstream {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    script: Arc<Script>,
    /// Releases the requests at `/hold`.
    pub release: Arc<Notify>,
}

impl ScriptedUpstream {
    pub async fn start(
        script: impl Fn(&[ReceivedRequest]) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let upstream = Self {
            address: listener.local_addr().expect("bound"),
            received: Arc::default(),
            script: Arc::new(script),
            release: Arc::default(),
        };
        let server = upstream.clone();
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                tokio::spawn(server.clone().serve(stream, connection));
            }
        });
        upstream
    }

    /// The requests received so far, with their connections.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().expect("no panic").clone()
    }

    /// The connections of the requests at `path`.
    pub fn connections_of(&self, path: &str) -> Vec<usize> {
        let received = self.received();
        let matching = received.iter().filter(|r| r.request.path() == path);
        matching.map(|r| r.connection).collect()
    }

    async fn serve(self, mut stream: TcpStream, connection: usize) {
        let (mut buffer, mut before) = (Vec::new(), Vec::new());
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            before.push(request.clone());
            let received = Received {
                connection,
                request,
            };
            self.received.lock().expect("no panic").push(received);
            if latest(&before).path() == "/hold" {
                self.release.notified().await;
            }
            let Reply(bytes, closes) = (self.script)(&before);
            if stream.write_all(bytes.as_bytes()).await.is_err() || closes {
                return;
            }
        }
    }
}

/// The latest request of a connection.
pub fn latest(requests: &[ReceivedRequest]) -> &ReceivedRequest {
    requests.last().expect("a request")
}

/// A response that names `id`, or no request; `headers` end with a line break each.
pub fn response(status: u16, id: Option<&str>, headers: &str, body: &str) -> String {
    let named = id.map_or_else(String::new, |id| format!("rwr-request-id: {id}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 {status} Text\r\n{named}{headers}content-length: {length}\r\n\r\n{body}")
}

/// The complete response of `request` itself.
pub fn own_answer(request: &ReceivedRequest) -> String {
    response(200, Some(request.id()), "", "ok")
}

/// A refusal that names `id`, or no request.
pub fn refusal(id: Option<&str>) -> String {
    response(503, id, "rwr-shed: 1\r\n", "")
}
