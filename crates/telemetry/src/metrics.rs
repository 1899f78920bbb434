//! Counters, gauges and timers in the statsd format.

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
use crate::registry::Next;
use crate::registry::Tee;

/// First part of every metric's name.
pub const PREFIX: &str = "rwr";
/// Metrics that may wait for the sender; more are dropped.
pub const QUEUE: usize = 16_384;

quick_error! {
    /// Why no metrics can be sent.
    #[derive(Debug)]
    pub enum MetricsError {
        /// The local UDP socket.
        Socket(err: io::Error) {
            from()
            source(err)
            display("metrics socket: {err}")
        }
        /// The sink's address.
        Sink(err: cadence::MetricError) {
            from()
            source(err)
            display("metrics sink: {err}")
        }
    }
}

/// The metrics of this process.
pub fn registry() -> &'static MetricsRegistry {
    static BOARD: OnceLock<MetricsRegistry> = OnceLock::new();
    BOARD.get_or_init(MetricsRegistry::default)
}

/// A client that counts on the process's board, and sends to `sink` where there is one.
///
/// # Errors
///
/// Fails when the local socket can't be had.
pub fn start(sink: Option<SocketAddr>, host: &str) -> Result<StatsdClient, MetricsError> {
    let next = sink.map(sender).transpose()?;
    let tee = Tee {
        registry: registry().clone(),
        next,
    };
    Ok(StatsdClient::builder(PREFIX, tee)
        .with_tag("host", host)
        .build())
}

fn sender(sink: SocketAddr) -> Result<Next, MetricsError> {
    let local = if sink.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(sink, socket)?;
    Ok(Box::new(QueuingMetricSink::with_capacity(sink, QUEUE)))
}

/// A client that sends nothing.
#[must_use]
pub fn silent() -> StatsdClient {
    StatsdClient::from_sink(PREFIX, NopMetricSink)
}
