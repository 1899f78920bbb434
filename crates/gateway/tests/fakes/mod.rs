//! Small fakes at the gateway's interfaces: a directory, a control replica and
//! an upstream whose behaviour is the first part of the request's path.
#![allow(dead_code)]

pub mod control;
pub mod directory;
pub mod upstream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base::prelude::*;
use gateway::Gateway;
use gateway::settings::Settings;
use reqwest::RequestBuilder;
use telemetry::log::LogGuard;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fakes::directory::FakeDirectory;
use crate::fakes::upstream::FakeUpstream;

/// A gateway with a directory and one upstream for each service.
pub struct Rig {
    pub gateway: Gateway,
    pub directory: FakeDirectory,
    pub upstream: FakeUpstream,
    pub lines: Lines,
    _log: LogGuard,
}

impl Rig {
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.gateway.http())
    }

    /// A request to `service` at `path`.
    pub fn post(&self, service: &str, path: &str) -> RequestBuilder {
        client().post(self.url(path)).header("rwr-service", service)
    }
}

/// Settings that know `directories` and `control`.
pub fn settings(directories: &[SocketAddr], control: &[SocketAddr]) -> Settings {
    let host = HostName::new("host-1").expect("a name");
    let domain = DomainName::new("milano").expect("a name");
    let mut settings = Settings::local(host, domain);
    settings.directories = directories.to_vec();
    settings.control = control.to_vec();
    settings.lease.poll = Duration::from_millis(50);
    settings.stop.linger = Duration::from_millis(50);
    settings
}

/// Starts a gateway with `settings` and waits until it isn't fenced.
pub async fn ready(settings: Settings) -> Gateway {
    let gateway = start(settings).await;
    until(|| !gateway.core().is_fenced()).await;
    gateway
}

pub async fn start(settings: Settings) -> Gateway {
    gateway::start(
        settings,
        telemetry::log::silent(),
        telemetry::metrics::silent(),
    )
    .await
    .expect("free ports")
}

/// A whole rig, the settings changed by `change`.
pub async fn rig(control: &[SocketAddr], change: impl FnOnce(&mut Settings)) -> Rig {
    let upstream = FakeUpstream::start().await;
    let directory = FakeDirectory::start(upstream.address).await;
    let mut settings = settings(&[directory.address], control);
    change(&mut settings);
    let lines = Lines::default();
    let (log, guard) = telemetry::log::start(lines.clone(), slog::Level::Info, "test", "host-1");
    let metrics = telemetry::metrics::start(settings.telemetry.sink, "host-1").expect("a socket");
    let gateway = gateway::start(settings, log, metrics);
    let gateway = gateway.await.expect("free ports");
    until(|| !gateway.core().is_fenced()).await;
    Rig {
        gateway,
        directory,
        upstream,
        lines,
        _log: guard,
    }
}

/// Waits until `check` holds; a test that waits for nothing ends by a panic.
pub async fn until(check: impl Fn() -> bool) {
    let waits = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), waits).await;
    waited.expect("the event comes");
}

/// A log that the test can read.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    /// Whether a line has all `parts`.
    pub fn has(&self, parts: &[&str]) -> bool {
        let bytes = self.0.lock().expect("no panic").clone();
        let text = String::from_utf8_lossy(&bytes);
        text.lines()
            .any(|line| parts.iter().all(|p| line.contains(p)))
    }
}

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends `text` as it stands and reads until the gateway closes.
pub async fn raw(address: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    // The gateway may close before all is written; what it said counts.
    let _ = stream.write_all(text).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// A client that keeps connections.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client")
}

/// A client that speaks HTTP/2 from the first byte.
pub fn client_of_2() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .http2_prior_knowledge()
        .build()
        .expect("a client")
}

/// One header of an answer as text.
pub fn header(response: &reqwest::Response, name: &str) -> String {
    let value = response.headers().get(name);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
