//! A group of replicas in one process, on free loopback ports, for tests and benchmarks.

use std::net::SocketAddr;
use std::path::Path;

use base::prelude::*;
use slog::Logger;
use store::Folder;

use crate::error::ControlError;
use crate::handle::Control;
use crate::server::Bound;
use crate::server::bind;
use crate::settings::Settings;

/// Failure domains, assigned to the replicas in turn.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Settings for `count` replicas with data folders below `data`, in three failure domains.
///
/// # Errors
///
/// Never fails, as the names are constant and valid.
pub fn local(data: &Path, count: usize) -> Result<Vec<Settings>, base::name::NameError> {
    (0..count)
        .map(|i| {
            Ok(Settings::local(
                HostName::new(&format!("control-{i}"))?,
                DomainName::new(DOMAINS[i % DOMAINS.len()])?,
                RegionName::new("local")?,
                data.join(i.to_string()),
            ))
        })
        .collect()
}

/// Starts the replicas as a founding group.
///
/// Writes the bound addresses to the settings, so that a replica can be restarted with
/// them.
///
/// # Errors
///
/// Fails when one of the replicas cannot start.
pub async fn start(settings: &mut [Settings], log: &Logger) -> Result<Vec<Control>, ControlError> {
    let mut bound: Vec<Bound> = Vec::new();
    for replica_settings in settings.iter() {
        bound.push(bind(replica_settings).await?);
    }
    let initial: Vec<SocketAddr> = bound.iter().map(Bound::replica).collect();
    let mut replicas = Vec::new();
    for (replica_settings, bound) in settings.iter_mut().zip(bound) {
        replica_settings.rpc = bound.rpc();
        replica_settings.replica.listen = bound.replica();
        replica_settings.replica.address = bound.replica();
        replica_settings.replica.initial.clone_from(&initial);
        let disk = Folder::open(&replica_settings.data)?;
        replicas.push(
            bound
                .start(replica_settings.clone(), Box::new(disk), log.clone())
                .await?,
        );
    }
    Ok(replicas)
}
