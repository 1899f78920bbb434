//! `replica`: lists, adds and removes control replicas, one at a time.

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
use crate::flags::Arguments;
use crate::flags::Flag;
use crate::flags::UsageError;
use crate::output::Output;
use crate::remote;
use crate::remote::Control;
use crate::settings::Settings;
use crate::table::Table;

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "kebab-case")]
enum Subcommand {
    List,
    Add,
    Remove,
}

pub(super) async fn run(
    mut arguments: Arguments,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let name = arguments.required("list, add or remove")?;
    let subcommand = Subcommand::from_str(&name)
        .map_err(|_| UsageError::UnknownCommand(format!("replica {name}")))?;
    let control = Control::new(settings)?;
    let change = match subcommand {
        Subcommand::List => {
            arguments.finish("replica list")?;
            return list(&control, settings, out).await;
        }
        Subcommand::Add => membership::Kind::Add(parse_replica(&mut arguments)?),
        Subcommand::Remove => {
            membership::Kind::Remove(required(&mut arguments, Flag::Id, "--id ID")?)
        }
    };
    arguments.finish(&format!("replica {name}"))?;
    change_membership(&control, change, out).await
}

fn parse_replica(arguments: &mut Arguments) -> Result<Replica, UsageError> {
    let address: SocketAddr = required(arguments, Flag::Address, "--address ADDRESS")?;
    let domain: DomainName = required(arguments, Flag::Domain, "--domain NAME")?;
    let region: RegionName = required(arguments, Flag::Region, "--region NAME")?;
    Ok(Replica {
        id: required(arguments, Flag::Id, "--id ID")?,
        address: address.to_string(),
        domain: domain.to_string(),
        region: region.to_string(),
        voter: true,
    })
}

fn required<T: conf::Value>(
    arguments: &mut Arguments,
    flag: Flag,
    what: &'static str,
) -> Result<T, UsageError> {
    arguments
        .take_value(flag)?
        .ok_or(UsageError::MissingArgument(what))
}

async fn change_membership(
    control: &Control,
    kind: membership::Kind,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let change = Membership { kind: Some(kind) };
    let call =
        async |c: wire::api::ControlApiClient, x| c.change_membership(x, change.clone()).await;
    let reply = control.call_any(call).await?;
    match reply.kind.ok_or(CliError::Malformed)? {
        Kind::Done(_) => {
            let mut table = Table::new("membership", &["state"]);
            table.push_row([&"done"]);
            Ok(out.item("done: the group has changed", &table)?)
        }
        Kind::Pending(pending) => Err(CliError::CatchingUp(pending.behind)),
        Kind::Refused(refused) => Err(CliError::MembershipRefused(refused.reason)),
    }
}

/// Prints the status of every replica, including those that don't reply.
async fn list(
    control: &Control,
    settings: &Settings,
    out: &mut Output<'_>,
) -> Result<(), CliError> {
    let columns = &[
        "asked", "id", "role", "term", "leader", "commit", "applied", "version", "keys", "error",
    ];
    let mut statuses = Table::new("status", columns);
    let mut newest: Option<Status> = None;
    let mut errors = Vec::new();
    for link in &control.links {
        let address = link.address();
        match remote::call_one(link, settings.timeout, async |c, x| c.status(x).await).await {
            Ok(status) => {
                push_status(&mut statuses, address, &status);
                if newest
                    .as_ref()
                    .is_none_or(|n| (n.term, n.commit) < (status.term, status.commit))
                {
                    newest = Some(status);
                }
            }
            Err(err) => {
                statuses.push_row([&address, &"", &"", &"", &"", &"", &"", &"", &"", &err]);
                errors.push(err);
            }
        }
    }
    out.table(&statuses)?;
    let newest = newest.ok_or(CliError::Unreachable(errors))?;
    Ok(out.table(&membership_table(&newest))?)
}

fn push_status(table: &mut Table, address: SocketAddr, status: &Status) {
    let role = match status.role() {
        Role::Unspecified => "unknown",
        Role::Follower => "follower",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
        Role::Learner => "learner",
    };
    table.push_row([
        &address,
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

fn membership_table(status: &Status) -> Table {
    let mut table = Table::new("replica", &["id", "address", "domain", "region", "voter"]);
    for replica in &status.replicas {
        let voter = if replica.voter { "yes" } else { "no" };
        table.push_row([
            &replica.id,
            &replica.address,
            &replica.domain,
            &replica.region,
            &voter,
        ]);
    }
    table
}
