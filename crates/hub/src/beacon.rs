//! After a restart, a hub tells the entry hosts that it knew where the hubs are.
//!
//! An entry process that starts knows the seeds only. After a loss of everything these may
//! be the last to come back, while other hubs have all that it needs: entry hosts that
//! waited for the seeds served 0.25 s later than seven of ten hubs did, with callers at
//! the door. So a hub keeps a list of them beside its log, and calls on each until that
//! has come or enough time has passed.
//!
//! The list is a hint. It is written now and then, and a lost or damaged one costs what
//! there would be without it.

use std::collections::BTreeSet;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
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

/// The file in the data folder.
const FILE: &str = "entry-hosts";
/// The same while it is written.
const NEXT: &str = "entry-hosts.next";
/// Between two looks whether the list has changed; one that is so much older names nearly
/// the same hosts.
const REMEMBER: Duration = Duration::from_secs(5);
/// Between two calls on those that have not come: entry processes start within some 0.3 s
/// of the hubs, and a datagram may be lost.
const REPEAT: Duration = Duration::from_millis(50);
/// After so long the others have found a hub by the seeds, or are gone.
const ENOUGH: Duration = Duration::from_secs(3);

quick_error! {
    /// Why the list can't be kept or read.
    #[derive(Debug)]
    pub enum BeaconError {
        /// The file.
        Io(err: io::Error) {
            from()
            source(err)
            display("list of entry hosts: {err}")
        }
        /// It has another form.
        Form(err: PackError) {
            from()
            source(err)
            display("list of entry hosts: {err}")
        }
    }
}

/// Calls on the entry hosts of before the restart, then keeps the list. Never ends.
pub async fn run(state: Arc<State>) {
    let data = state.settings.data.clone();
    let known = match read(&data) {
        Ok(known) => known,
        Err(err) => {
            warn!(state.log, "entry hosts of before not read"; "error" => %err);
            BTreeSet::new()
        }
    };
    if !known.is_empty()
        && let Err(err) = call(&state, &known).await
    {
        warn!(state.log, "entry hosts of before not called"; "error" => %err);
    }
    remember(&state, known, data).await;
}

/// Calls on each of `known` until it watches this hub.
async fn call(state: &State, known: &BTreeSet<SocketAddr>) -> io::Result<()> {
    let socket = UdpSocket::bind(SocketAddr::new(state.settings.address, 0)).await?;
    let end = Instant::now() + ENOUGH;
    let mut count = 0;
    while Instant::now() < end {
        let (hubs, come) = {
            let held = state.known();
            (held.hubs.clone(), held.entries.places())
        };
        if known.is_subset(&come) {
            break;
        }
        // Before the log was read there is nothing to tell.
        if !hubs.is_empty() {
            let beacon = Beacon {
                hubs: hubs.iter().map(ToString::to_string).collect(),
            };
            let bytes = beacon.encode_to_vec();
            for place in known.difference(&come) {
                socket.send_to(&bytes, place).await?;
                count += 1;
            }
        }
        tokio::time::sleep(REPEAT).await;
    }
    info!(state.log, "entry hosts of before called"; "known" => known.len(), "calls" => count);
    Ok(())
}

/// Keeps the list in the data folder.
async fn remember(state: &State, mut kept: BTreeSet<SocketAddr>, data: PathBuf) {
    loop {
        tokio::time::sleep(REMEMBER).await;
        let places = state.known().entries.places();
        if places.is_empty() || places == kept {
            continue;
        }
        let (folder, list) = (data.clone(), places.clone());
        let written = tokio::task::spawn_blocking(move || write(&folder, &list)).await;
        match written {
            Ok(Ok(())) => kept = places,
            Ok(Err(err)) => warn!(state.log, "entry hosts not kept"; "error" => %err),
            Err(err) => warn!(state.log, "entry hosts not kept"; "error" => %err),
        }
    }
}

/// The list in the folder; empty where there is none.
///
/// # Errors
///
/// Fails where it can't be read or is damaged.
pub fn read(folder: &Path) -> Result<BTreeSet<SocketAddr>, BeaconError> {
    let bytes = match fs::read(folder.join(FILE)) {
        Err(err) if err.kind() == io::ErrorKind::NotFound => return Ok(BTreeSet::new()),
        result => result?,
    };
    let hosts = registry::unpack_hosts(&bytes)?;
    Ok(hosts.iter().filter_map(|h| h.place.parse().ok()).collect())
}

/// Replaces the list in the folder; a crash leaves the one or the other.
///
/// # Errors
///
/// Fails where it can't be written or synced.
pub fn write(folder: &Path, places: &BTreeSet<SocketAddr>) -> Result<(), BeaconError> {
    let host = |place: &SocketAddr| EntryHost {
        place: place.to_string(),
        ..EntryHost::default()
    };
    let bytes = registry::pack_hosts(places.iter().map(host).collect())?;
    let next = folder.join(NEXT);
    let mut file = File::create(&next)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&next, folder.join(FILE))?;
    File::open(folder)?.sync_all()?;
    Ok(())
}
