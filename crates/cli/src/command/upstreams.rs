//! `upstreams`: the instances as a directory knows them.

use wire::directory::InstanceChange;
use wire::directory::Phase;

use crate::error::CliError;
use crate::flags::Words;
use crate::output::Output;
use crate::remote;
use crate::remote::Directories;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn perform(
    mut words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let service = words.word();
    words.finish("upstreams")?;
    let directories = Directories::new(settings)?;
    let ask = async |c: wire::api::DirectoryApiClient, x| c.instances(x).await;
    let reply = remote::first(&directories.links, settings.timeout, ask).await?;
    let mut changes = reply.instances;
    changes.retain(|change| wanted(change, service.as_deref()));
    changes.sort_by_key(|change| {
        let instance = change.instance.clone().unwrap_or_default();
        (instance.service, instance.id)
    });
    Ok(out.table(&table(&changes))?)
}

fn wanted(change: &InstanceChange, service: Option<&str>) -> bool {
    let Some(instance) = &change.instance else {
        return false;
    };
    service.is_none_or(|service| instance.service == service)
}

fn table(changes: &[InstanceChange]) -> Table {
    let columns = &[
        "service",
        "id",
        "address",
        "domain",
        "slots",
        "connections",
        "phase",
        "incarnation",
    ];
    let mut table = Table::new("upstream", columns);
    for change in changes {
        let Some(instance) = &change.instance else {
            continue;
        };
        let phase = phase_word(instance.phase(), change.gone);
        table.row([
            &instance.service,
            &instance.id,
            &instance.address,
            &instance.domain,
            &instance.slots,
            &instance.connections,
            &phase,
            &instance.incarnation,
        ]);
    }
    table
}

fn phase_word(phase: Phase, gone: bool) -> &'static str {
    match phase {
        _ if gone => "gone",
        Phase::Gone => "gone",
        Phase::Unspecified => "unknown",
        Phase::Starting => "starting",
        Phase::Ready => "ready",
        Phase::Draining => "draining",
    }
}
