//! Runs one control replica.

use std::net::SocketAddr;
use std::path::PathBuf;

use base::prelude::*;
use control::Settings;
use store::Folder;

use super::Commands;
use super::LogCount;
use super::write_line;
use super::write_usage;
use crate::fault::MeasureError;

/// Failure domains, assigned to replicas in turn.
const DOMAINS: [&str; 3] = ["milano", "torino", "genova"];

/// Runs replica `index` with its data folder at `data`.
pub async fn run(data: &str, index: &str, rpc: &str, listen: &str) -> Result<(), MeasureError> {
    let number: usize = index.parse().unwrap_or_default();
    let mut settings = Settings::local(
        HostName::new(&format!("control-{index}"))?,
        DomainName::new(DOMAINS[number % DOMAINS.len()])?,
        RegionName::new("north-west")?,
        PathBuf::from(data),
    );
    settings.rpc = address(rpc)?;
    settings.replica.listen = address(listen)?;
    let bound = control::bind(&settings).await?;
    settings.rpc = bound.rpc();
    settings.replica.listen = bound.replica();
    write_line(&format!("rpc={} replica={}", bound.rpc(), bound.replica()))?;
    let mut commands = Commands::new();
    let start = commands.expect().await?;
    settings.replica.address = start.address("address")?;
    settings.replica.initial = start.addresses("initial")?;
    let disk = Folder::open(&settings.data)?;
    let log = telemetry::log::silent();
    let replica = bound.start(settings, Box::new(disk), log).await?;
    write_line("started")?;
    while commands.next().await?.is_some() {
        write_usage(&LogCount::default())?;
    }
    drop(replica);
    Ok(())
}

fn address(text: &str) -> Result<SocketAddr, MeasureError> {
    text.parse().map_err(|_| MeasureError::Usage(text.into()))
}
