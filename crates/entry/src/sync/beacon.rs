//! Receives beacons, by which hubs announce themselves. A process that starts knows only the
//! seeds, which may be the last to return after an outage of the whole system.

use std::net::SocketAddr;
use std::sync::Arc;

use prost::Message;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use wire::hub::Beacon;

use super::hubs::Hubs;
use crate::core::Core;

/// Maximum size of a beacon: one packet.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Adds the hubs from received beacons. Runs forever.
pub async fn listen(core: Arc<Core>, hubs: Arc<Hubs>, socket: UdpSocket) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(err) => {
                warn!(core.log, "failed to receive beacon"; "error" => %err);
                continue;
            }
        };
        match Beacon::decode(&bytes[..length]) {
            Ok(beacon) => {
                let addresses = beacon.hubs.iter().filter_map(|hub| hub.parse().ok());
                let addresses: Vec<SocketAddr> = addresses.collect();
                if hubs.add_hints(&addresses) {
                    info!(core.log, "hubs by a beacon"; "from" => %from, "named" => addresses.len());
                }
            }
            Err(err) => warn!(core.log, "invalid beacon"; "from" => %from, "error" => %err),
        }
    }
}
