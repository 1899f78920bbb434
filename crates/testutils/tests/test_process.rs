//! Tests of the process handle: start, log, signals and exit.

use std::time::Duration;

use base::prelude::*;
use standin::Settings;
use testutils::Binary;
use testutils::Caller;
use testutils::Host;
use testutils::Process;
use testutils::ProcessError;
use testutils::Request;
use testutils::process::field;

fn settings(host: &Host) -> Settings {
    let mut settings = Settings::new(
        ServiceName::new("grants").unwrap(),
        InstanceId::new("grants-1").unwrap(),
        DomainName::new("milano").unwrap(),
    );
    settings.listen = host.at(7300);
    settings.drain = Duration::ZERO;
    settings
}

async fn start(host: &Host) -> Process {
    let ini = settings(host).to_string();
    Process::start(Binary::Standin, &ini).await.unwrap()
}

#[tokio::test]
async fn test_process_restart_on_same_address() {
    let host = Host::new();
    let request = Request::post("grants", "/grant", "block 7").keyed("k1");
    for _ in 0..2 {
        let process = start(&host).await;
        let address = process.address("address").unwrap();
        assert_eq!(address, host.at(7300));
        let reply = Caller::new().call(address, &request).await;
        assert_eq!(reply.receipt().unwrap().echo, "block 7");
        process.kill().await.unwrap();
        assert_eq!(Caller::new().call(address, &request).await.status, 0);
    }
}

#[tokio::test]
async fn test_process_graceful_stop() {
    let mut process = start(&Host::new()).await;
    process.terminate().unwrap();
    assert!(process.wait().await.unwrap().success());
    let stopped = process
        .lines()
        .iter()
        .any(|l| field(l, "msg") == Some("stopped"));
    assert!(stopped, "{:?}", process.lines());
}

#[tokio::test]
async fn test_process_frozen_then_resumed() {
    let process = start(&Host::new()).await;
    let address = process.address("address").unwrap();
    process.freeze().unwrap();
    let call = tokio::spawn(async move {
        let request = Request::get("grants", "/status");
        Caller::new().call(address, &request).await
    });
    process.resume().unwrap();
    assert!(call.await.unwrap().is_ok());
}

#[tokio::test]
async fn test_process_bad_settings() {
    let started = Process::start(Binary::Standin, "[standin]\nslots = none\n").await;
    let Err(ProcessError::Ended(Binary::Standin, log)) = started else {
        panic!("the process must exit");
    };
    assert!(log.contains("slots"), "{log}");
}

#[test]
fn test_host_numbers_differ() {
    let hosts: Vec<Host> = (0..20).map(|_| Host::new()).collect();
    let mut addresses: Vec<_> = hosts.iter().map(|h| h.at(7000)).collect();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), 20);
}
