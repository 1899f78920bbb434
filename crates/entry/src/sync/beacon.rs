//! Hubs that make themselves known: a process that starts knows the seeds only, and these
//! may be the last to come back after a loss of everything.

use std::net::SocketAddr;
use std::sync::Arc;

use prost::Message;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use wire::hub::Beacon;

use super::hubs::Hubs;
use crate::core::Core;

/// Longest datagram: the addresses of thirty hubs, within one packet.
const MOST_BYTES: usize = 1_400;

/// Takes what hubs tell unasked. Never ends.
pub async fn listen(core: Arc<Core>, hubs: Arc<Hubs>, socket: UdpSocket) {
    let mut bytes = [0; MOST_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(err) => {
                warn!(core.log, "beacon not received"; "error" => %err);
                continue;
            }
        };
        match Beacon::decode(&bytes[..length]) {
            Ok(beacon) => {
                let named = beacon.hubs.iter().filter_map(|hub| hub.parse().ok());
                let named: Vec<SocketAddr> = named.collect();
                if hubs.hint(&named) {
                    info!(core.log, "hubs by a beacon"; "from" => %from, "named" => named.len());
                }
            }
            Err(err) => warn!(core.log, "bad beacon"; "from" => %from, "error" => %err),
        }
    }
}
