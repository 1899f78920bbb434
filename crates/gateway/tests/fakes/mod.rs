//! Fakes of the gateway's peers: a directory, a control replica and an upstream.
#![allow(dead_code)]

pub mod control;
pub mod directory;
pub mod scripted;
pub mod upstream;

use std::collections::BTreeSet;
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
use wire::directory::Host;
use wire::directory::HostPhase;
use wire::directory::InstanceChange;

use crate::fakes::directory::FakeDirectory;
use crate::fakes::upstream::FakeUpstream;

/// A gateway with a fake directory and a fake upstream that serves all services.
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

    /// Builds a request to `service` at `path`.
    pub fn post(&self, service: &str, path: &str) -> RequestBuilder {
        client().post(self.url(path)).header("rwr-service", service)
    }
}

/// Settings with the given directories and control replicas.
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

/// Starts a gateway and waits until it isn't fenced.
pub async fn ready(settings: Settings) -> Gateway {
    let gateway = start(settings).await;
    wait_until(|| !gateway.core().is_fenced()).await;
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

/// Starts a rig after applying `change` to its settings.
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
    wait_until(|| !gateway.core().is_fenced()).await;
    Rig {
        gateway,
        directory,
        upstream,
        lines,
        _log: guard,
    }
}

/// Lets the directory list only these instances, and waits until the gateway knows them.
pub async fn list_instances(rig: &Rig, listed: Vec<InstanceChange>) {
    let instances = listed.iter().filter_map(|change| change.instance.as_ref());
    let ids: BTreeSet<String> = instances.map(|i| i.id.clone()).collect();
    rig.directory.change(|state| state.instances = listed);
    let core = rig.gateway.core();
    wait_until(|| {
        let view = core.view();
        let known = view.all_instances().map(|u| u.id.to_string());
        known.collect::<BTreeSet<String>>() == ids
    })
    .await;
}

/// Lists instances that refuse connections, and another gateway. Waits until the other gateway
/// gets the requests at `/warm`.
pub async fn cut_off(rig: &Rig, peer: SocketAddr, unreached: &[InstanceChange]) {
    let host = Host {
        host: "host-2".into(),
        domain: "milano".into(),
        gateway: peer.to_string(),
        phase: HostPhase::Serving.into(),
        incarnation: 1,
        ..Host::default()
    };
    rig.directory.change(|state| state.hosts = vec![host]);
    list_instances(rig, unreached.to_vec()).await;
    let served = async {
        while rig.post("once", "/warm").send().await.expect("ok").status() != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let served = tokio::time::timeout(Duration::from_secs(20), served).await;
    served.expect("the other gateway serves within 20 s");
}

/// Waits until `check` returns true; panics after 20 s.
pub async fn wait_until(check: impl Fn() -> bool) {
    let condition = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(20), condition).await;
    result.expect("condition is met within 20 s");
}

/// Captured log output.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    /// Whether a line contains all `parts`.
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

/// Sends `text` unchanged and reads until the gateway closes the connection.
pub async fn send_raw(address: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    // The gateway may respond and close before everything is written.
    let _ = stream.write_all(text).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// HTTP client with a connection pool.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client")
}

/// HTTP/2 client with prior knowledge.
pub fn http2_client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .http2_prior_knowledge()
        .build()
        .expect("a client")
}

/// Value of a response header, or an empty string.
pub fn header(response: &reqwest::Response, name: &str) -> String {
    let value = response.headers().get(name);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
