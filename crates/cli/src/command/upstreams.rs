//! `upstreams`: the instances known to a directory.

use wire::directory::InstanceChange;
use wire::directory::Phase;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::output::Output;
use crate::remote;
use crate::remote::Directories;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn run(
    mut arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let service = arguments.positional();
    arguments.finish("upstreams")?;
    let directories = Directories::new(settings)?;
    let call = async |c: wire::api::DirectoryApiClient, x| c.instances(x).await;
    let reply = remote::call_any(&directories.links, settings.timeout, call).await?;
    let mut changes = reply.instances;
    changes.retain(|change| matches_service(change, service.as_deref()));
    changes.sort_by_key(|change| {
        let instance = change.instance.clone().unwrap_or_default();
        (instance.service, instance.id)
    });
    Ok(out.table(&table(&changes))?)
}

fn matches_service(change: &InstanceChange, service: Option<&str>) -> bool {
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
        let phase = phase_name(instance.phase(), change.gone);
        table.push_row([
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

fn phase_name(phase: Phase, gone: bool) -> &'static str {
    match phase {
        _ if gone => "gone",
        Phase::Gone => "gone",
        Phase::Unspecified => "unknown",
        Phase::Starting => "starting",
        Phase::Ready => "ready",
        Phase::Draining => "draining",
    }
}
