//! Announces the hubs to the entry hosts that were known before a restart.
//!
//! An entry process that starts knows only the seeds. After a full outage the seeds may
//! be the last hosts to return, while other hubs are ready to serve. A hub therefore stores
//! the addresses of the entry hosts next to its log and, after a restart, sends each of them
//! beacons until it watches this hub or a timeout has passed.
//!
//! The stored list is only a hint: without it, entry processes wait for the seeds.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use quick_error::quick_error;
use registry::PackError;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use wire::hub::Beacon;
use wire::hub::EntryHost;

use crate::state::State;

const FILE_NAME: &str = "entry-hosts";
/// How often the list is compared with the stored one.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between beacons to an entry host that does not watch this hub yet.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a start for which beacons are sent.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

quick_error! {
    /// Errors of storing or loading the list of entry hosts.
    #[derive(Debug)]
    pub enum BeaconError {
        /// The file can't be read or written.
        Io(err: io::Error) {
            from()
            source(err)
            display("list of entry hosts: {err}")
        }
        /// The content can't be packed or unpacked.
        Pack(err: PackError) {
            from()
            source(err)
            display("list of entry hosts: {err}")
        }
    }
}

/// Sends beacons to the entry hosts known before the restart, then keeps the stored list up
/// to date. Never returns.
pub async fn run(state: Arc<State>) {
    let data = state.settings.data.clone();
    let known = match read(&data) {
        Ok(known) => known,
        Err(err) => {
            warn!(state.log, "could not load entry hosts"; "error" => %err);
            BTreeSet::new()
        }
    };
    if !known.is_empty() {
        let now = state.clock.now();
        state.lock().entries.remember(now, known.len());
    }
    if !known.is_empty()
        && let Err(err) = send_beacons(&state, &known).await
    {
        warn!(state.log, "could not send beacons to entry hosts"; "error" => %err);
    }
    save_changes(&state, known, data).await;
}

/// Sends beacons to each of `known` until it watches this hub or [`SEND_TIMEOUT`] has passed.
async fn send_beacons(state: &State, known: &BTreeSet<SocketAddr>) -> io::Result<()> {
    let socket = UdpSocket::bind(SocketAddr::new(state.settings.address, 0)).await?;
    let deadline = Instant::now() + SEND_TIMEOUT;
    let mut count = 0;
    while Instant::now() < deadline {
        let (hubs, watching) = {
            let inner = state.lock();
            (inner.hubs.clone(), inner.entries.placement_addresses())
        };
        if known.is_subset(&watching) {
            break;
        }
        // The hubs are unknown until the log has been read.
        if !hubs.is_empty() {
            let beacon = Beacon {
                hubs: hubs.iter().map(ToString::to_string).collect(),
            };
            let bytes = beacon.encode_to_vec();
            for address in known.difference(&watching) {
                socket.send_to(&bytes, address).await?;
                count += 1;
            }
        }
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    info!(state.log, "sent beacons to entry hosts"; "known" => known.len(), "calls" => count);
    Ok(())
}

/// Stores the list in the data folder whenever it has changed. Never returns.
async fn save_changes(state: &State, mut saved: BTreeSet<SocketAddr>, data: PathBuf) {
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        let addresses = state.lock().entries.placement_addresses();
        if addresses.is_empty() || addresses == saved {
            continue;
        }
        let (folder, list) = (data.clone(), addresses.clone());
        let written = tokio::task::spawn_blocking(move || write(&folder, &list)).await;
        match written {
            Ok(Ok(())) => saved = addresses,
            Ok(Err(err)) => warn!(state.log, "could not store entry hosts"; "error" => %err),
            Err(err) => warn!(state.log, "could not store entry hosts"; "error" => %err),
        }
    }
}

/// Loads the list from `folder`; empty if there is none.
///
/// # Errors
///
/// Fails if the file can't be read or is damaged.
pub fn read(folder: &Path) -> Result<BTreeSet<SocketAddr>, BeaconError> {
    let bytes = match fs::read(folder.join(FILE_NAME)) {
        Err(err) if err.kind() == io::ErrorKind::NotFound => return Ok(BTreeSet::new()),
        result => result?,
    };
    let hosts = registry::unpack_hosts(&bytes)?;
    Ok(hosts.iter().filter_map(|h| h.place.parse().ok()).collect())
}

/// Atomically replaces the list in `folder`.
///
/// # Errors
///
/// Fails if the file can't be written or synced.
pub fn write(folder: &Path, addresses: &BTreeSet<SocketAddr>) -> Result<(), BeaconError> {
    let host = |address: &SocketAddr| EntryHost {
        place: address.to_string(),
        ..EntryHost::default()
    };
    let bytes = registry::pack_hosts(addresses.iter().map(host).collect())?;
    Ok(store::folder::replace_file(
        &folder.join(FILE_NAME),
        &bytes,
    )?)
}
