//! `explain`: how a gateway chooses the instances for a service's calls.

use wire::gateway::Explain;
use wire::gateway::ExplainReply;

use crate::error::CliError;
use crate::flags::Arguments;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn run(
    mut arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let service = arguments.required("SERVICE")?;
    arguments.finish("explain")?;
    let links = [wire::peer::gateway(settings.gateway()?)];
    let call = async |c: wire::api::GatewayApiClient, x| {
        let service = service.clone();
        c.explain(x, Explain { service }).await
    };
    let reply = remote::call_any(&links, settings.timeout, call).await?;
    print_gateway(&service, &reply, out)?;
    Ok(out.table(&candidates(&reply))?)
}

fn print_gateway(service: &str, reply: &ExplainReply, out: &mut Output<'_>) -> std::io::Result<()> {
    let fenced = if reply.fenced { "yes" } else { "no" };
    let mut table = Table::new(
        "gateway",
        &["service", "version", "fenced", "queued", "in-flight"],
    );
    table.push_row([
        &service,
        &reply.version,
        &fenced,
        &reply.queued,
        &reply.in_flight,
    ]);
    let sentence = format!(
        "{service}: version {}, fenced {fenced}, {} queued, {} in flight",
        reply.version, reply.queued, reply.in_flight
    );
    out.item(&sentence, &table)
}

fn candidates(reply: &ExplainReply) -> Table {
    let columns = &[
        "instance",
        "health",
        "in-flight",
        "latency-us",
        "age-ms",
        "chosen-millis",
        "reason",
    ];
    let mut table = Table::new("candidate", columns);
    for candidate in &reply.candidates {
        let age = candidate.age_ms.map(|age| age.to_string());
        let age = age.unwrap_or_default();
        table.push_row([
            &candidate.instance,
            &candidate.health,
            &candidate.in_flight,
            &candidate.latency_us,
            &age,
            &candidate.chosen_millis,
            &candidate.reason,
        ]);
    }
    table
}
