//! `explain`: why a gateway sends a service's calls where it sends them.

use wire::gateway::Explain;
use wire::gateway::ExplainReply;

use crate::error::CliError;
use crate::flags::Words;
use crate::output::Output;
use crate::remote;
use crate::settings::Settings;
use crate::table::Table;

pub(super) async fn perform(
    mut words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let service = words.required("SERVICE")?;
    words.finish("explain")?;
    let links = [wire::peer::gateway(settings.gateway()?)];
    let ask = async |c: wire::api::GatewayApiClient, x| {
        let service = service.clone();
        c.explain(x, Explain { service }).await
    };
    let reply = remote::first(&links, settings.timeout, ask).await?;
    tell_gateway(&service, &reply, out)?;
    Ok(out.table(&candidates(&reply))?)
}

fn tell_gateway(service: &str, reply: &ExplainReply, out: &mut Output<'_>) -> std::io::Result<()> {
    let fenced = if reply.fenced { "yes" } else { "no" };
    let mut table = Table::new(
        "gateway",
        &["service", "version", "fenced", "queued", "in-flight"],
    );
    table.row([
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
    out.fact(&sentence, &table)
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
        // An empty cell is shown as `-`.
        let age = candidate.age_ms.map(|age| age.to_string());
        let age = age.unwrap_or_default();
        table.row([
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
