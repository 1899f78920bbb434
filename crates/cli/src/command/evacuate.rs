//! `evacuate`, `return` and `evacuations`: failure domains that get no requests.

use base::prelude::*;
use wire::api::HubApiClient;
use wire::hub::Evacuation;
use wire::hub::EvacuationOutcome;

use super::links::hubs;
use crate::error::CliError;
use crate::flags::Arguments;
use crate::flags::UsageError;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;
use crate::table::Table;

/// Evacuates a failure domain, or returns it to use.
pub(super) async fn set_evacuated(
    mut arguments: Arguments,
    evacuated: bool,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let command = if evacuated { "evacuate" } else { "return" };
    let name = arguments.required("DOMAIN")?;
    arguments.finish(command)?;
    let domain = DomainName::new(&name).map_err(|_| UsageError::UnknownCommand(name))?;
    let order = Evacuation {
        domain: domain.to_string(),
        evacuated,
        base: 0,
    };
    let links = hubs(settings)?;
    let call = async |c: HubApiClient, x| c.evacuate(x, order.clone()).await;
    let reply = remote::call_any(&links, settings.timeout, call).await?;
    match reply.outcome() {
        EvacuationOutcome::Taken | EvacuationOutcome::Held => {
            let state = if evacuated {
                "gets nothing more"
            } else {
                "is in use"
            };
            Ok(out.raw(&format!("{domain} {state}\n"))?)
        }
        EvacuationOutcome::Refused => Err(CliError::TooManyDomains(domain)),
        EvacuationOutcome::Overtaken => Err(CliError::OrderSuperseded(domain)),
        EvacuationOutcome::Unspecified => Err(CliError::OrderUncertain(domain)),
    }
}

/// Prints the evacuated failure domains.
pub(super) async fn show(
    arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    arguments.finish("evacuations")?;
    let links = hubs(settings)?;
    let call = async |c: HubApiClient, x| c.evacuations(x).await;
    let reply = remote::call_any(&links, settings.timeout, call).await?;
    if !reply.confirmed {
        return Err(CliError::Unconfirmed(0));
    }
    let evacuations = reply.evacuations.unwrap_or_default();
    let mut table = Table::new("evacuation", &["domain", "revision"]);
    for row in evacuations.rows.iter().filter(|row| row.evacuated) {
        table.push_row([&row.domain, &row.revision]);
    }
    Ok(out.table(&table)?)
}
