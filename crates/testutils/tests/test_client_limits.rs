//! Guards against clients that end a process, or shut ordinary callers out, by what they send and
//! leave open: entry processes and hubs, directories and gateways.
//!
//! Each test lowers the limits of one process, lets a crowd send and stay connected, and then checks
//! that the process lives, that its memory and descriptors stayed within bounds, and that one
//! ordinary request is answered.

use std::net::SocketAddr;
use std::time::Duration;

use conf::value::Bytes;
use testutils::Caller;
use testutils::Crowd;
use testutils::Fleet;
use testutils::Layout;
use testutils::Message;
use testutils::Process;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::services;
use testutils::system::wait;
use testutils::tables;
use testutils::tables::HOST;
use testutils::tables::STATUS;
use tokio::sync::Mutex;

const MEBI: u64 = 1024 * 1024;
/// Memory of the machine that a process runs on in these tests.
const MACHINE_BYTES: u64 = 64 * MEBI;
/// Maximum number of connections from outside that a process may hold in the tests of connections.
const MAX_CONNECTIONS: usize = 200;
/// Descriptors that a process may hold beside connections from outside: its listeners, log, data
/// files, and connections to other processes and instances.
const OTHER_DESCRIPTORS: usize = 100;
/// Number of clients in the tests of connections.
const MANY_CONNECTIONS: usize = 400;
/// Number of clients that send large bodies.
const MANY_BODIES: usize = 500;
/// Number of clients that send bodies in pieces of a byte.
const MANY_PIECES: usize = 20;
/// How long the crowd's requests may take at entry processes, as a route's timeout. Bodies in pieces
/// have to arrive within it.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(10);

/// One test at a time, as the crowds share the machine.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Head lines of a request to an entry process, without those on the length of its body.
fn read_head() -> String {
    format!("POST /read/1 HTTP/1.1\r\nhost: {HOST}\r\n")
}

/// Checks what holds of `process` whatever its clients do.
#[track_caller]
fn assert_within_bounds(process: Option<&mut Process>, connections: usize) {
    let process = process.expect("a running process");
    process.assert_within(MACHINE_BYTES, connections + OTHER_DESCRIPTORS);
}

/// A fleet with one entry process, and an instance of the status service.
async fn fleet(configure: impl FnOnce(&mut entry::Settings)) -> (Fleet, Upstream) {
    let mut layout = Layout::new(3, 1).unwrap();
    configure(&mut layout.entries[0]);
    let mut fleet = Fleet::start_layout(layout).await.unwrap();
    let mut table = tables::plain(1);
    for route in &mut table.hosts[0].routes {
        route.timeout = Some(ROUTE_TIMEOUT);
    }
    fleet.layout.put(&table).await.unwrap();
    fleet.wait_table(0, 1).await.unwrap();
    let upstream = fleet.upstream(STATUS, 0).await.unwrap();
    serve_one(&fleet).await;
    (fleet, upstream)
}

/// Waits until an ordinary request is answered by an instance.
async fn serve_one(fleet: &Fleet) {
    let request = Request::post(STATUS, "/read/2", "block 7").at(HOST);
    wait("answer to an ordinary request", async || {
        fleet.call(0, &request).await.is_ok()
    })
    .await
    .unwrap();
}

/// Sends a crowd to an entry process whose memory is limited.
async fn check_entry_memory(count: usize, message: Message) {
    let _alone = ALONE.lock().await;
    let (mut fleet, _upstream) = fleet(limit_entry_memory).await;
    let front = fleet.layout.entries[0].front;
    let _crowd = Crowd::send(front, count, &message).await;
    serve_one(&fleet).await;
    assert_within_bounds(fleet.entries[0].as_mut(), count * 2);
}

fn limit_entry_memory(settings: &mut entry::Settings) {
    settings.bounds.machine = Some(Bytes(MACHINE_BYTES));
}

fn limit_entry_connections(settings: &mut entry::Settings) {
    settings.bounds.connections = u32::try_from(MAX_CONNECTIONS).ok();
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_large_bodies_that_stop_short() {
    let message = Message::announced(&read_head(), 250_000, 249_999);
    check_entry_memory(MANY_BODIES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_bodies_in_pieces_that_stop_short() {
    let message = Message::announced(&read_head(), 1_600, 1_599).in_pieces(1);
    check_entry_memory(MANY_PIECES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_large_chunks_without_the_last() {
    let message = Message::chunked(&read_head(), 50_000, 250_000);
    check_entry_memory(MANY_BODIES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_tiny_chunks_without_the_last() {
    let message = Message::chunked(&read_head(), 1, 100_000);
    check_entry_memory(MANY_BODIES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_long_bodies_that_stop_short() {
    let message = Message::announced(&read_head(), 60_000_000, 1_000_000);
    check_entry_memory(MANY_BODIES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_bodies_announced_over_the_limit() {
    let message = Message::announced(&read_head(), 10_000_000_000, 1_000_000);
    check_entry_memory(MANY_BODIES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_bodies_sent_over_the_limit() {
    let message = Message::chunked(&read_head(), 50_000, 70_000_000);
    check_entry_memory(6, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_unfinished_heads() {
    check_entry_connections(|settings| settings.front, &read_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_unfinished_heads_at_the_relay_port() {
    check_entry_connections(relay_address, &read_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_unfinished_heads_at_the_readiness_port() {
    let head = "GET /ready HTTP/1.1\r\n";
    check_entry_connections(|settings| settings.ready, head).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_entry_large_bodies_at_the_relay_port() {
    let _alone = ALONE.lock().await;
    let (mut fleet, _upstream) = fleet(|settings| {
        limit_entry_memory(settings);
        settings.relay = Some(RELAY_PORT);
    })
    .await;
    let relay = relay_address(&fleet.layout.entries[0]);
    let head = format!(
        "{}rwr-hop-caller: c\r\nrwr-hop-service: {STATUS}\r\nrwr-hop-table: 1\r\n\
         rwr-hop-left-ms: 10000\r\nrwr-hop-aim-ms: 5000\r\nrwr-hop-attempts: 2\r\n\
         rwr-hop-counted: 1\r\n",
        read_head()
    );
    let message = Message::announced(&head, 250_000, 249_999);
    let _crowd = Crowd::send(relay, MANY_BODIES, &message).await;
    serve_one(&fleet).await;
    assert_within_bounds(fleet.entries[0].as_mut(), MANY_BODIES * 2);
}

/// Port at which an entry process takes requests of others.
const RELAY_PORT: u16 = 7090;

fn relay_address(settings: &entry::Settings) -> SocketAddr {
    SocketAddr::new(settings.front.ip(), RELAY_PORT)
}

/// Sends a crowd of unfinished heads to a port of an entry process whose connections are limited.
async fn check_entry_connections(port: fn(&entry::Settings) -> SocketAddr, head: &str) {
    let _alone = ALONE.lock().await;
    let (mut fleet, _upstream) = fleet(|settings| {
        limit_entry_connections(settings);
        settings.relay = Some(RELAY_PORT);
    })
    .await;
    let address = port(&fleet.layout.entries[0]);
    let _crowd = Crowd::send(address, MANY_CONNECTIONS, &Message::raw(head)).await;
    serve_one(&fleet).await;
    assert_within_bounds(fleet.entries[0].as_mut(), MAX_CONNECTIONS);
}

/// Sends a crowd to the port of a hub for instances and callers, and lets an instance be announced.
async fn check_hub(message: Message) {
    let _alone = ALONE.lock().await;
    let mut layout = Layout::new(1, 0).unwrap();
    limit_hub_connections(&mut layout.hubs[0]);
    let mut fleet = Fleet::start_layout(layout).await.unwrap();
    let address = fleet.layout.hub_http_addresses()[0];
    let _crowd = Crowd::send(address, MANY_CONNECTIONS, &message).await;
    let settings = fleet.layout.upstream(STATUS, 0);
    let upstream = Upstream::start(&settings).await.unwrap();
    upstream
        .process
        .wait_line(|line| line.contains("msg=announced"))
        .await
        .unwrap();
    assert_within_bounds(fleet.hubs[0].as_mut(), MAX_CONNECTIONS);
}

fn limit_hub_connections(settings: &mut hub::Settings) {
    settings.bounds.connections = u32::try_from(MAX_CONNECTIONS).ok();
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_hub_unfinished_heads() {
    check_hub(Message::raw("POST /v1/announce HTTP/1.1\r\nhost: h\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_hub_announcements_that_stop_short() {
    let head = "POST /v1/announce HTTP/1.1\r\nhost: h\r\n";
    check_hub(Message::announced(head, 4_000, 3_999)).await;
}

/// One of each process of a system with control replicas, and an instance of the status service.
async fn system(
    configure: impl FnOnce(&mut directory::Settings, &mut gateway::settings::Settings),
) -> (System, Upstream) {
    let mut plan = testutils::Plan::new(1, 1).unwrap();
    configure(&mut plan.directories[0], &mut plan.gateways[0]);
    let mut system = System::start_plan(plan, &services::all()).await.unwrap();
    let upstream = system.upstream(services::STATUS, 0).await.unwrap();
    call_gateway(&system).await;
    (system, upstream)
}

/// Waits until an ordinary request is answered through the gateway.
async fn call_gateway(system: &System) {
    let request = Request::post(services::STATUS, "/status", "block 7");
    let caller = Caller::new();
    wait("answer to an ordinary request", async || {
        caller.call(system.gateway(0), &request).await.is_ok()
    })
    .await
    .unwrap();
}

/// Head lines of a request to a gateway, with the longest time that a caller may name.
fn gateway_head() -> String {
    format!(
        "POST /status HTTP/1.1\r\nhost: h\r\nrwr-service: {}\r\nrwr-caller: tests\r\n\
         rwr-deadline-ms: 600000\r\n",
        services::STATUS
    )
}

/// Sends a crowd to a gateway whose memory is limited.
async fn check_gateway_memory(count: usize, message: Message) {
    let _alone = ALONE.lock().await;
    let (mut system, _upstream) = system(|_, gateway| limit_gateway_memory(gateway)).await;
    let _crowd = Crowd::send(system.gateway(0), count, &message).await;
    call_gateway(&system).await;
    assert_within_bounds(system.gateways[0].as_mut(), count * 2);
}

fn limit_gateway_memory(settings: &mut gateway::settings::Settings) {
    settings.bounds.memory = Bytes(8 * MEBI);
}

fn limit_gateway_connections(settings: &mut gateway::settings::Settings) {
    settings.bounds.connections = u32::try_from(MAX_CONNECTIONS).unwrap();
}

fn limit_directory_connections(settings: &mut directory::Settings) {
    settings.bounds.connections = u32::try_from(MAX_CONNECTIONS).ok();
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_gateway_bodies_that_stop_short() {
    let message = Message::announced(&gateway_head(), 60_000, 59_999);
    check_gateway_memory(MANY_BODIES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_gateway_bodies_in_pieces_that_stop_short() {
    let message = Message::announced(&gateway_head(), 1_600, 1_599).in_pieces(1);
    check_gateway_memory(MANY_PIECES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_gateway_large_chunks_without_the_last() {
    let message = Message::chunked(&gateway_head(), 20_000, 60_000);
    check_gateway_memory(MANY_BODIES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_gateway_tiny_chunks_without_the_last() {
    let message = Message::chunked(&gateway_head(), 1, 60_000);
    check_gateway_memory(MANY_BODIES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_gateway_bodies_announced_over_the_limit() {
    let message = Message::announced(&gateway_head(), 10_000_000_000, 1_000_000);
    check_gateway_memory(MANY_BODIES, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_gateway_bodies_sent_over_the_limit() {
    let message = Message::chunked(&gateway_head(), 50_000, 20_000_000);
    check_gateway_memory(6, message).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_gateway_unfinished_heads() {
    let _alone = ALONE.lock().await;
    let (mut system, _upstream) = system(|_, gateway| limit_gateway_connections(gateway)).await;
    let message = Message::raw(&gateway_head());
    let _crowd = Crowd::send(system.gateway(0), MANY_CONNECTIONS, &message).await;
    call_gateway(&system).await;
    assert_within_bounds(system.gateways[0].as_mut(), MAX_CONNECTIONS);
}

/// Sends a crowd to a directory, which has to go on telling callers where to connect.
async fn check_directory(message: Message) {
    let _alone = ALONE.lock().await;
    let (mut system, _upstream) =
        system(|directory, _| limit_directory_connections(directory)).await;
    let _crowd = Crowd::send(system.directory(0), MANY_CONNECTIONS, &message).await;
    system.wait_route(0, services::STATUS, 1).await.unwrap();
    assert_within_bounds(system.directories[0].as_mut(), MAX_CONNECTIONS);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_directory_unfinished_heads() {
    check_directory(Message::raw("GET /v1/route?service=status HTTP/1.1\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_client_limits_directory_announcements_that_stop_short() {
    let head = "POST /v1/announce HTTP/1.1\r\nhost: h\r\n";
    check_directory(Message::announced(head, 4_000, 3_999)).await;
}
