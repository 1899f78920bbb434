//! Guards against instances that end a process, or shut ordinary callers out, by bytes that they
//! send without end: entry processes and gateways.
//!
//! All instances of one service flood their connections, and a crowd of callers comes again and
//! again, most of whom read what comes. Meanwhile the process must live, its memory must stay within
//! its machine's, and an ordinary request to another service must be answered.

use std::net::SocketAddr;
use std::time::Duration;

use conf::value::Bytes;
use standin::Flood;
use standin::FloodingInstance;
use telemetry::log::silent;
use testutils::Caller;
use testutils::CallingCrowd;
use testutils::Fleet;
use testutils::Layout;
use testutils::Message;
use testutils::Process;
use testutils::Reading;
use testutils::Request;
use testutils::System;
use testutils::Upstream;
use testutils::process::field;
use testutils::services;
use testutils::system::wait;
use testutils::tables;
use testutils::tables::GRANTS;
use testutils::tables::HOST;
use testutils::tables::STATUS;
use tokio::sync::Mutex;

const MEBI: u64 = 1024 * 1024;
/// Memory of the machine that a process runs on in these tests.
const MACHINE_BYTES: u64 = 64 * MEBI;
/// Memory that a gateway keeps for callers in these tests.
const GATEWAY_BYTES: Bytes = Bytes(8 * MEBI);
/// Callers that read their responses.
const READING: usize = 300;
/// Callers that don't.
const BLOCKED: usize = 100;
/// Instances of the flooding service.
const INSTANCES: usize = 2;
/// Connections that each of them allows from all processes.
const CONNECTIONS: usize = 240;
/// Descriptors that a process may hold beside its callers' and instances' connections.
const OTHER_DESCRIPTORS: usize = 100;
/// How long the crowd calls before the process is checked.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// Port at which an entry process takes requests of others.
const RELAY_PORT: u16 = 7090;

/// One test at a time, as the crowds share the machine.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Lets the crowd call, and checks the process meanwhile and afterwards.
async fn check(
    address: SocketAddr,
    message: &Message,
    process: &mut Process,
    serve_one: impl AsyncFn(),
) {
    let _reading = CallingCrowd::start(address, READING, message, Reading::All);
    let _blocked = CallingCrowd::start(address, BLOCKED, message, Reading::Nothing);
    tokio::time::sleep(FLOOD_TIME).await;
    serve_one().await;
    let descriptors = READING + BLOCKED + INSTANCES * CONNECTIONS + OTHER_DESCRIPTORS;
    process.assert_within(MACHINE_BYTES, descriptors);
}

/// An entry process before flooding instances of the status service and a sound one of the grants
/// service, whose crowd calls at `port`.
async fn check_entry(flood: Flood, port: fn(&entry::Settings) -> SocketAddr, message: Message) {
    let _alone = ALONE.lock().await;
    let mut layout = Layout::new(3, 1).unwrap();
    layout.entries[0].bounds.machine = Some(Bytes(MACHINE_BYTES));
    layout.entries[0].relay = Some(RELAY_PORT);
    let mut fleet = Fleet::start_layout(layout).await.unwrap();
    fleet.layout.put(&tables::plain(1)).await.unwrap();
    fleet.wait_table(0, 1).await.unwrap();
    let _sound = fleet.upstream(GRANTS, 0).await.unwrap();
    let _flooding = flooding_instances(&mut fleet, flood).await;
    let mut process = fleet.entries[0].take().expect("a running process");
    let address = port(&fleet.layout.entries[0]);
    check(address, &message, &mut process, async || {
        serve_entry(&fleet).await;
    })
    .await;
}

async fn flooding_instances(fleet: &mut Fleet, flood: Flood) -> Vec<FloodingInstance> {
    let mut instances = Vec::new();
    for number in 0..INSTANCES {
        let mut settings = fleet.layout.upstream(STATUS, number);
        settings.slots = u32::try_from(CONNECTIONS).unwrap();
        settings.connections = settings.slots;
        let instance = FloodingInstance::start(&settings, flood, silent()).await;
        let instance = instance.expect("listens");
        let is_announced = |line: &str| {
            field(line, "msg") == Some("instance")
                && field(line, "instance") == Some(instance.incarnation_id())
        };
        let process = fleet.entries[0].as_ref().expect("a running process");
        process.wait_line(is_announced).await.expect("announced");
        instances.push(instance);
    }
    instances
}

async fn serve_entry(fleet: &Fleet) {
    let request = Request::post(GRANTS, "/once/2", "block 7").at(HOST);
    wait("answer to an ordinary request", async || {
        fleet.call(0, &request).await.is_ok()
    })
    .await
    .unwrap();
}

/// A caller's request to a flooding instance.
fn read_request() -> Message {
    Message::raw(&format!("GET /read/1 HTTP/1.1\r\nhost: {HOST}\r\n\r\n"))
}

/// The same request as another entry process relays it.
fn relayed_request() -> Message {
    Message::raw(&format!(
        "GET /read/1 HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: r\r\nrwr-hop-caller: c\r\n\
         rwr-hop-service: {STATUS}\r\nrwr-hop-table: 1\r\nrwr-hop-left-ms: 10000\r\n\
         rwr-hop-aim-ms: 5000\r\nrwr-hop-attempts: 2\r\nrwr-hop-counted: 1\r\n\r\n"
    ))
}

async fn check_callers(flood: Flood) {
    check_entry(flood, |settings| settings.front, read_request()).await;
}

async fn check_peers(flood: Flood) {
    let relay = |settings: &entry::Settings| SocketAddr::new(settings.front.ip(), RELAY_PORT);
    check_entry(flood, relay, relayed_request()).await;
}

/// A gateway before flooding instances of the status service and a sound one of the grants service.
async fn check_gateway(flood: Flood) {
    let _alone = ALONE.lock().await;
    let mut plan = testutils::Plan::new(1, 1).unwrap();
    plan.gateways[0].bounds.memory = GATEWAY_BYTES;
    let mut system = System::start_plan(plan, &services::all()).await.unwrap();
    let _sound: Upstream = system.upstream(services::GRANTS, 0).await.unwrap();
    let mut flooding = Vec::new();
    for number in 0..INSTANCES {
        let mut settings = system.plan.standin(services::STATUS, number);
        settings.slots = u32::try_from(CONNECTIONS).unwrap();
        settings.connections = settings.slots;
        let instance = FloodingInstance::start(&settings, flood, silent()).await;
        flooding.push(instance.expect("listens"));
        let name = settings.instance.to_string();
        let waiting = system.wait_instance(0, services::STATUS, &name);
        waiting.await.unwrap();
    }
    let message = Message::raw(&format!(
        "GET /status HTTP/1.1\r\nhost: h\r\nrwr-service: {}\r\nrwr-caller: tests\r\n\
         rwr-deadline-ms: 10000\r\n\r\n",
        services::STATUS
    ));
    let address = system.gateway(0);
    let mut process = system.gateways[0].take().expect("a running process");
    check(address, &message, &mut process, async || {
        serve_gateway(address).await;
    })
    .await;
}

async fn serve_gateway(address: SocketAddr) {
    let caller = Caller::new();
    wait("answer to an ordinary request", async || {
        let key = testutils::new_key();
        let request = Request::post(services::GRANTS, "/grants", "block 7").keyed(&key);
        caller.call(address, &request).await.is_ok()
    })
    .await
    .unwrap();
}

/// Tests of floods of each kind that arrives as a part of the test's name.
macro_rules! floods {
    ($check:ident: $($name:ident => $flood:ident,)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                $check(Flood::$flood).await;
            }
        )*
    };
}

floods! { check_callers:
    test_instance_floods_entry_large_chunks => LargeChunks,
    test_instance_floods_entry_tiny_chunks => TinyChunks,
    test_instance_floods_entry_long_body => LongBody,
    test_instance_floods_entry_body_until_close => BodyUntilClose,
    test_instance_floods_entry_trailers => Trailers,
    test_instance_floods_entry_chunk_extension => ChunkExtension,
    test_instance_floods_entry_after_response => AfterResponse,
    test_instance_floods_entry_refusal_body => RefusalBody,
    test_instance_floods_entry_error_body => ErrorBody,
    test_instance_floods_entry_header_line => HeaderLine,
    test_instance_floods_entry_headers => Headers,
    test_instance_floods_entry_status_line => StatusLine,
    test_instance_floods_entry_garbage => Garbage,
    test_instance_floods_entry_empty_lines => EmptyLines,
    test_instance_floods_entry_interim => Interim,
    test_instance_floods_entry_before_request => BeforeRequest,
    test_instance_floods_entry_probe_body => ProbeBody,
    test_instance_floods_entry_probe_head => ProbeHead,
}

floods! { check_peers:
    test_instance_floods_relayed_large_chunks => LargeChunks,
    test_instance_floods_relayed_long_body => LongBody,
    test_instance_floods_relayed_headers => Headers,
}

floods! { check_gateway:
    test_instance_floods_gateway_large_chunks => LargeChunks,
    test_instance_floods_gateway_tiny_chunks => TinyChunks,
    test_instance_floods_gateway_long_body => LongBody,
    test_instance_floods_gateway_body_until_close => BodyUntilClose,
    test_instance_floods_gateway_trailers => Trailers,
    test_instance_floods_gateway_chunk_extension => ChunkExtension,
    test_instance_floods_gateway_after_response => AfterResponse,
    test_instance_floods_gateway_refusal_body => RefusalBody,
    test_instance_floods_gateway_error_body => ErrorBody,
    test_instance_floods_gateway_header_line => HeaderLine,
    test_instance_floods_gateway_headers => Headers,
    test_instance_floods_gateway_interim => Interim,
    test_instance_floods_gateway_before_request => BeforeRequest,
    test_instance_floods_gateway_probe_body => ProbeBody,
    test_instance_floods_gateway_probe_head => ProbeHead,
}
