//! A whole group in one process, on free loopback ports, for tests and trials.

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

/// Failure domains of a local group, in turn.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Settings for `count` replicas with folders below `data`, in three failure domains.
///
/// # Errors
///
/// Never with the names that are built in.
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

/// Starts the replicas as one founding group.
///
/// The settings get the bound addresses, so that a replica can be started
/// again with them.
///
/// # Errors
///
/// Fails when one of them can't start.
pub async fn start(settings: &mut [Settings], log: &Logger) -> Result<Vec<Control>, ControlError> {
    let mut bound: Vec<Bound> = Vec::new();
    for one in settings.iter() {
        bound.push(bind(one).await?);
    }
    let initial: Vec<SocketAddr> = bound.iter().map(Bound::replica).collect();
    let mut replicas = Vec::new();
    for (one, bound) in settings.iter_mut().zip(bound) {
        one.rpc = bound.rpc();
        one.replica.listen = bound.replica();
        one.replica.address = bound.replica();
        one.replica.initial.clone_from(&initial);
        let disk = Folder::open(&one.data)?;
        replicas.push(
            bound
                .start(one.clone(), Box::new(disk), log.clone())
                .await?,
        );
    }
    Ok(replicas)
}
