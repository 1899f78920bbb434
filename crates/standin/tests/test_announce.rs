//! Announcements of a stand-in, as a directory receives them.

use std::time::Duration;

use base::prelude::*;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use serde_json::Value;
use standin::Settings;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

struct Directory(mpsc::UnboundedSender<Value>);

#[async_trait]
impl Handler for Directory {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let body = req.payload().await.unwrap();
        self.0.send(serde_json::from_slice(body).unwrap()).unwrap();
        res.body("{\"lease_ms\":300,\"refresh_ms\":50}");
    }
}

#[tokio::test]
async fn test_announce_phases() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut settings = Settings::new(
        ServiceName::new("drawings").unwrap(),
        InstanceId::new("drawings-2").unwrap(),
        DomainName::new("pos-a").unwrap(),
    );
    settings.directories = vec![listener.local_addr().unwrap()];
    settings.drain = Duration::from_millis(100);
    let (sender, mut announcements) = mpsc::unbounded_channel();
    let router = Router::with_path("v1/announce").post(Directory(sender));
    let server = Server::new(TcpAcceptor::try_from(listener).unwrap());
    let server = tokio::spawn(server.serve(router));

    let log = telemetry::log::silent();
    let upstream = standin::start(settings, log).await.unwrap();
    let address = upstream.address().to_string();
    let first = announcements.recv().await.unwrap();
    assert_eq!(first["service"], "drawings");
    assert_eq!(first["id"], "drawings-2");
    assert_eq!(first["address"], Value::String(address));
    assert_eq!(first["domain"], "pos-a");
    assert_eq!(first["slots"], 6);
    assert_eq!(first["phase"], "ready");
    let second = announcements.recv().await.unwrap();
    assert_eq!(second["incarnation"], first["incarnation"]);
    assert!(second["sequence"].as_u64() > first["sequence"].as_u64());

    let stop = tokio::spawn(upstream.stop());
    let mut phases = vec![];
    while phases.last() != Some(&"gone".to_owned()) {
        let phase = announcements.recv().await.unwrap()["phase"]
            .as_str()
            .unwrap()
            .to_owned();
        if phases.last() != Some(&phase) && phase != "ready" {
            phases.push(phase);
        }
    }
    assert_eq!(phases, ["draining", "gone"]);
    stop.await.unwrap();
    server.abort();
}
