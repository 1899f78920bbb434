//! `hosts`: the entry hosts, and which of them have a version in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use catalogue::Catalogue;
use wire::directory::Host;
use wire::directory::HostPhase;

use crate::error::CliError;
use crate::flags::Words;
use crate::output::Output;
use crate::remote::Directories;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn perform(
    words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    words.finish("hosts")?;
    let hosts = Directories::new(settings)?.hosts().await?;
    let columns = &["host", "domain", "gateway", "phase", "version", "age-ms"];
    let mut table = Table::new("host", columns);
    for host in &hosts {
        let phase = phase_word(host.phase());
        table.row([
            &host.host,
            &host.domain,
            &host.gateway,
            &phase,
            &host.version,
            &host.age_ms,
        ]);
    }
    Ok(out.table(&table)?)
}

/// The gateways of a catalogue, each with what a directory heard of it.
pub(super) struct InForce {
    version: u64,
    hosts: BTreeMap<String, Option<Host>>,
}

/// Looks up each registered gateway, and each host that was heard, in `heard`.
pub(super) fn in_force(catalogue: &Catalogue, heard: &[Host], version: u64) -> InForce {
    let registered = catalogue.gateways.iter().map(ToString::to_string);
    let heard_names = heard.iter().map(|host| host.host.clone());
    let names: BTreeSet<String> = registered.chain(heard_names).collect();
    let find = |name: &str| heard.iter().find(|host| host.host == name).cloned();
    let hosts = names
        .into_iter()
        .map(|name| {
            let host = find(&name);
            (name, host)
        })
        .collect();
    InForce { version, hosts }
}

impl InForce {
    /// The hosts that are still waited for.
    ///
    /// A fenced host serves no older version, so it is waited for only while no
    /// host at all has this one; one that nobody heard may serve an older one.
    pub(super) fn lagging(&self) -> Vec<String> {
        let has = |host: &Host| host.version >= self.version;
        let served = self.hosts.values().flatten().any(has);
        let excused = |host: &Host| served && host.phase() == HostPhase::Fenced;
        let lags = |host: &Option<Host>| host.as_ref().is_none_or(|h| !has(h) && !excused(h));
        let lagging = self.hosts.iter().filter(|(_, host)| lags(host));
        lagging.map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn table(&self) -> Table {
        let mut table = Table::new("host", &["host", "phase", "version", "in-force"]);
        for (name, host) in &self.hosts {
            let Some(host) = host else {
                table.row([name, &"not-heard", &"", &"no"]);
                continue;
            };
            let has = if host.version >= self.version {
                "yes"
            } else {
                "no"
            };
            table.row([name, &phase_word(host.phase()), &host.version, &has]);
        }
        table
    }
}

fn phase_word(phase: HostPhase) -> &'static str {
    match phase {
        HostPhase::Unspecified => "unknown",
        HostPhase::Serving => "serving",
        HostPhase::Stopping => "stopping",
        HostPhase::Fenced => "fenced",
    }
}
