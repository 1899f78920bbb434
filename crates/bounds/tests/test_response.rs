//! What responses under way may use of the account, and the pace at which they are read.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Waker;

use bounds::Client;
use bounds::Clients;
use bounds::InstanceStream;
use bounds::Limits;
use bounds::OverMemory;
use bounds::READ_BUFFER_BYTES;
use tokio::io::AsyncRead;
use tokio::io::ReadBuf;

const MEMORY: u64 = 4 * 1024 * 1024;

fn clients() -> Clients {
    let limits = Limits {
        memory: MEMORY,
        connections: 100,
    };
    let metrics = Arc::new(telemetry::metrics::silent());
    Clients::new(limits, telemetry::log::silent(), metrics)
}

/// Guards against endless responses that leave no memory for requests: they may use half of the account.
#[tokio::test]
async fn test_response_charges_leave_room_for_requests() {
    let clients = clients();
    let client = clients.unconnected();
    let mut responses = Vec::new();
    while let Ok(charge) = client.begin_response(None).await {
        responses.push(charge);
    }
    assert!(responses.len() >= 8, "{}", responses.len());
    assert!(clients.used() <= MEMORY / 2, "{}", clients.used());
    let request = client.begin().await;
    assert!(request.is_ok(), "an ordinary request");
    assert_eq!(
        client.begin_response_now(Some(u64::MAX)).err(),
        Some(OverMemory::Full)
    );
    drop(responses.pop());
    assert!(client.begin_response_now(Some(u64::MAX)).is_ok());
}

/// Guards against refusing ordinary responses: those that fit into one buffer are covered by their
/// requests' charge, and nothing stays charged.
#[tokio::test]
async fn test_response_of_usual_size_costs_nothing_more() {
    let clients = clients();
    let client: Client = clients.unconnected();
    let usual = READ_BUFFER_BYTES as u64;
    let short = client.begin_response(Some(usual)).await;
    assert!(short.is_ok());
    assert_eq!(clients.used(), 0);
    let long = client.begin_response(Some(usual + 1)).await;
    assert!(long.is_ok());
    assert_eq!(clients.used(), usual + 1);
    drop((short, long));
    assert_eq!(clients.used(), 0);
}

/// Guards against an account that is too small, or too full, for a single long response in calm.
#[tokio::test]
async fn test_response_that_is_the_only_one_is_passed_on() {
    let clients = clients();
    let client = clients.unconnected();
    let mut requests = client.charge();
    requests.grow_always(MEMORY);
    let only = client.begin_response(None).await;
    assert!(only.is_ok());
    assert!(client.begin_response_now(None).is_err());
    drop(only);
    assert_eq!(clients.used(), MEMORY);
    assert!(client.begin_response_now(None).is_ok());
}

/// Guards against an instance that holds up its thread: reading pauses although bytes keep coming.
#[test]
fn test_instance_stream_pauses_between_bursts() {
    let mut stream = InstanceStream::new(tokio::io::repeat(b'x'));
    let mut cx = Context::from_waker(Waker::noop());
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    for _ in 0..3 {
        let mut burst = 0;
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let polled = Pin::new(&mut stream).poll_read(&mut cx, &mut buffer);
            if polled.is_pending() {
                break;
            }
            burst += buffer.filled().len();
            assert!(burst <= 4 * READ_BUFFER_BYTES, "{burst}");
        }
        assert!(burst >= READ_BUFFER_BYTES, "{burst}");
    }
}
