//! `hosts`: the entry hosts, and which of them have a version in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use catalogue::Catalogue;
use wire::directory::Host;
use wire::directory::HostPhase;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::output::Output;
use crate::remote::Directories;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn run(
    arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    arguments.finish("hosts")?;
    let hosts = Directories::new(settings)?.hosts().await?;
    let columns = &["host", "domain", "gateway", "phase", "version", "age-ms"];
    let mut table = Table::new("host", columns);
    for host in &hosts {
        let phase = phase_name(host.phase());
        table.push_row([
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

/// How far a catalogue version has reached the hosts. A registered gateway without a report is
/// `None`.
pub(super) struct Rollout {
    version: u64,
    hosts: BTreeMap<String, Option<Host>>,
}

/// Combines the registered gateways of `catalogue` with the hosts reported by a directory.
pub(super) fn rollout(catalogue: &Catalogue, reported: &[Host], version: u64) -> Rollout {
    let registered = catalogue.gateways.iter().map(ToString::to_string);
    let reported_names = reported.iter().map(|host| host.host.clone());
    let names: BTreeSet<String> = registered.chain(reported_names).collect();
    let find = |name: &str| reported.iter().find(|host| host.host == name).cloned();
    let hosts = names
        .into_iter()
        .map(|name| {
            let host = find(&name);
            (name, host)
        })
        .collect();
    Rollout { version, hosts }
}

impl Rollout {
    /// The hosts that may still serve an older version.
    ///
    /// A fenced host serves no older version, so it counts as lagging only while no host has this
    /// one.
    /// A host without a report may serve an older version.
    pub(super) fn lagging(&self) -> Vec<String> {
        let up_to_date = |host: &Host| host.version >= self.version;
        let any_up_to_date = self.hosts.values().flatten().any(up_to_date);
        let exempt = |host: &Host| any_up_to_date && host.phase() == HostPhase::Fenced;
        let lags = |host: &Option<Host>| host.as_ref().is_none_or(|h| !up_to_date(h) && !exempt(h));
        let lagging = self.hosts.iter().filter(|(_, host)| lags(host));
        lagging.map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn table(&self) -> Table {
        let mut table = Table::new("host", &["host", "phase", "version", "in-force"]);
        for (name, host) in &self.hosts {
            let Some(host) = host else {
                table.push_row([name, &"not-heard", &"", &"no"]);
                continue;
            };
            let up_to_date = if host.version >= self.version {
                "yes"
            } else {
                "no"
            };
            table.push_row([name, &phase_name(host.phase()), &host.version, &up_to_date]);
        }
        table
    }
}

fn phase_name(phase: HostPhase) -> &'static str {
    match phase {
        HostPhase::Unspecified => "unknown",
        HostPhase::Serving => "serving",
        HostPhase::Stopping => "stopping",
        HostPhase::Fenced => "fenced",
    }
}
