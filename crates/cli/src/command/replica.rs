//! `replica`: the group of control replicas, changed one at a time.

use std::net::SocketAddr;
use std::str::FromStr;

use base::prelude::DomainName;
use base::prelude::RegionName;
use strum::EnumString;
use wire::control::Membership;
use wire::control::Replica;
use wire::control::Role;
use wire::control::Status;
use wire::control::membership;
use wire::control::membership_reply::Kind;

use crate::error::CliError;
use crate::flags::Flag;
use crate::flags::UsageError;
use crate::flags::Words;
use crate::output::Output;
use crate::remote;
use crate::remote::Control;
use crate::settings::Settings;
use crate::table::Table;

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "kebab-case")]
enum Verb {
    List,
    Add,
    Remove,
}

pub(super) async fn perform(
    mut words: Words,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let name = words.required("list, add or remove")?;
    let verb = Verb::from_str(&name).map_err(|_| UsageError::Command(format!("replica {name}")))?;
    let control = Control::new(settings)?;
    let change = match verb {
        Verb::List => {
            words.finish("replica list")?;
            return list(&control, settings, out).await;
        }
        Verb::Add => membership::Kind::Add(take_replica(&mut words)?),
        Verb::Remove => membership::Kind::Remove(required(&mut words, Flag::Id, "--id ID")?),
    };
    words.finish(&format!("replica {name}"))?;
    change_group(&control, change, out).await
}

fn take_replica(words: &mut Words) -> Result<Replica, UsageError> {
    let address: SocketAddr = required(words, Flag::Address, "--address ADDRESS")?;
    let domain: DomainName = required(words, Flag::Domain, "--domain NAME")?;
    let region: RegionName = required(words, Flag::Region, "--region NAME")?;
    Ok(Replica {
        id: required(words, Flag::Id, "--id ID")?,
        address: address.to_string(),
        domain: domain.to_string(),
        region: region.to_string(),
        voter: true,
    })
}

fn required<T: conf::Value>(
    words: &mut Words,
    flag: Flag,
    what: &'static str,
) -> Result<T, UsageError> {
    words.value(flag)?.ok_or(UsageError::Missing(what))
}

async fn change_group(
    control: &Control,
    kind: membership::Kind,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let change = Membership { kind: Some(kind) };
    let ask =
        async |c: wire::api::ControlApiClient, x| c.change_membership(x, change.clone()).await;
    let reply = control.first(ask).await?;
    match reply.kind.ok_or(CliError::Malformed)? {
        Kind::Done(_) => {
            let mut table = Table::new("membership", &["state"]);
            table.row([&"done"]);
            Ok(out.fact("done: the group has changed", &table)?)
        }
        Kind::Pending(pending) => Err(CliError::Pending(pending.behind)),
        Kind::Refused(refused) => Err(CliError::Membership(refused.reason)),
    }
}

/// Asks every replica, as a cut one must show in the list.
async fn list(
    control: &Control,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let columns = &[
        "asked", "id", "role", "term", "leader", "commit", "applied", "version", "keys", "error",
    ];
    let mut seen = Table::new("status", columns);
    let mut newest: Option<Status> = None;
    let mut errors = Vec::new();
    for link in &control.links {
        let asked = link.address();
        match remote::one(link, settings.timeout, async |c, x| c.status(x).await).await {
            Ok(status) => {
                status_row(&mut seen, asked, &status);
                if newest
                    .as_ref()
                    .is_none_or(|n| (n.term, n.commit) < (status.term, status.commit))
                {
                    newest = Some(status);
                }
            }
            Err(err) => {
                seen.row([&asked, &"", &"", &"", &"", &"", &"", &"", &"", &err]);
                errors.push(err);
            }
        }
    }
    out.table(&seen)?;
    let newest = newest.ok_or(CliError::Unreachable(errors))?;
    Ok(out.table(&group(&newest))?)
}

fn status_row(table: &mut Table, asked: SocketAddr, status: &Status) {
    let role = match status.role() {
        Role::Unspecified => "unknown",
        Role::Follower => "follower",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
        Role::Learner => "learner",
    };
    table.row([
        &asked,
        &status.id,
        &role,
        &status.term,
        &status.leader,
        &status.commit,
        &status.applied,
        &status.version,
        &status.ledger_keys,
        &"",
    ]);
}

fn group(status: &Status) -> Table {
    let mut table = Table::new("replica", &["id", "address", "domain", "region", "voter"]);
    for replica in &status.replicas {
        let voter = if replica.voter { "yes" } else { "no" };
        table.row([
            &replica.id,
            &replica.address,
            &replica.domain,
            &replica.region,
            &voter,
        ]);
    }
    table
}
