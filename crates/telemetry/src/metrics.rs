//! Creates the clients through which the daemons record counters, gauges and timers.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::OnceLock;

use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use quick_error::quick_error;

use crate::registry::MetricsRegistry;
use crate::registry::NextSink;
use crate::registry::Tee;

/// Prefix of every metric's name.
pub const PREFIX: &str = "rwr";
/// Maximum number of metrics waiting to be sent; further ones are dropped.
pub const QUEUE_CAPACITY: usize = 16_384;

quick_error! {
    /// Why the metrics client can't be created.
    #[derive(Debug)]
    pub enum MetricsError {
        /// The local UDP socket can't be opened.
        Socket(err: io::Error) {
            from()
            source(err)
            display("metrics socket: {err}")
        }
        /// The sink's address can't be used.
        Sink(err: cadence::MetricError) {
            from()
            source(err)
            display("metrics sink: {err}")
        }
    }
}

/// The metrics of this process.
pub fn registry() -> &'static MetricsRegistry {
    static REGISTRY: OnceLock<MetricsRegistry> = OnceLock::new();
    REGISTRY.get_or_init(MetricsRegistry::default)
}

/// Creates a client that records metrics in the process's registry and sends them to `sink`, if
/// given.
///
/// # Errors
///
/// Fails when the UDP socket for `sink` can't be set up.
pub fn start(sink: Option<SocketAddr>, host: &str) -> Result<StatsdClient, MetricsError> {
    let next = sink.map(udp_sink).transpose()?;
    let tee = Tee {
        registry: registry().clone(),
        next,
    };
    Ok(StatsdClient::builder(PREFIX, tee)
        .with_tag("host", host)
        .build())
}

fn udp_sink(sink: SocketAddr) -> Result<NextSink, MetricsError> {
    let local = if sink.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(sink, socket)?;
    Ok(Box::new(QueuingMetricSink::with_capacity(
        sink,
        QUEUE_CAPACITY,
    )))
}

/// A client that discards everything.
#[must_use]
pub fn silent() -> StatsdClient {
    StatsdClient::from_sink(PREFIX, NopMetricSink)
}
