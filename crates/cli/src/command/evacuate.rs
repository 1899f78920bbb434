//! `evacuate`, `return` and `evacuations`: failure domains to which nothing is sent.

use base::prelude::*;
use wire::api::HubApiClient;
use wire::hub::Evacuation;
use wire::hub::EvacuationOutcome;

use super::links::hubs;
use crate::error::CliError;
use crate::flags::UsageError;
use crate::flags::Words;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;
use crate::table::Table;

/// Orders that nothing be sent to a failure domain, or takes that back.
pub(super) async fn order(
    mut words: Words,
    evacuated: bool,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let verb = if evacuated { "evacuate" } else { "return" };
    let name = words.required("DOMAIN")?;
    words.finish(verb)?;
    let domain = DomainName::new(&name).map_err(|_| UsageError::Command(name))?;
    let order = Evacuation {
        domain: domain.to_string(),
        evacuated,
        base: 0,
    };
    let links = hubs(settings)?;
    let call = async |c: HubApiClient, x| c.evacuate(x, order.clone()).await;
    let reply = remote::first(&links, settings.timeout, call).await?;
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
        EvacuationOutcome::Overtaken => Err(CliError::OrderOvertaken(domain)),
        EvacuationOutcome::Unspecified => Err(CliError::OrderUncertain(domain)),
    }
}

/// Shows the evacuated failure domains.
pub(super) async fn show(
    words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    words.finish("evacuations")?;
    let links = hubs(settings)?;
    let call = async |c: HubApiClient, x| c.evacuations(x).await;
    let reply = remote::first(&links, settings.timeout, call).await?;
    if !reply.confirmed {
        return Err(CliError::Unconfirmed(0));
    }
    let held = reply.evacuations.unwrap_or_default();
    let mut table = Table::new("evacuation", &["domain", "revision"]);
    for row in held.rows.iter().filter(|row| row.evacuated) {
        table.row([&row.domain, &row.revision]);
    }
    Ok(out.table(&table)?)
}
