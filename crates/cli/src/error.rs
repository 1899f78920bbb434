//! The errors of the commands, with exit codes and hints.

use std::io;
use std::path::PathBuf;

use base::prelude::*;
use conf::ConfError;
use quick_error::quick_error;
use wire::catalogue::Conflict;
use wire::catalogue::Invalid;
use wire::link::LinkError;

use crate::command::routes::RoutesError;
use crate::exit::Exit;
use crate::flags::UsageError;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CliError {
        /// The command line is invalid.
        Usage(err: UsageError) {
            from()
            source(err)
            display("{err}")
        }
        /// The client's settings are invalid.
        Settings(err: ConfError) {
            source(err)
            display("{err}")
        }
        /// The catalogue or route table file is invalid.
        Catalogue(err: ConfError) {
            source(err)
            display("{err}")
        }
        /// The output can't be written.
        Output(err: io::Error) {
            from()
            source(err)
            display("output: {err}")
        }
        /// A file can't be read or written.
        File(path: PathBuf, err: io::Error) {
            source(err)
            display("{}: {err}", path.display())
        }
        /// The file is not a saved change, or its id differs.
        InvalidSavedChange(path: PathBuf) {
            display("{}: not a valid saved change", path.display())
        }
        /// No log line has the request's id.
        RequestNotInLogs(id: String) {
            display("no line names request {id}; check that the logs of all entry hosts were given")
        }
        /// No address replied.
        Unreachable(errors: Vec<LinkError>) {
            display("no answer{}", error_lines(errors))
        }
        /// No replica had its version confirmed by a majority.
        Unconfirmed(version: u64) {
            display("control could not confirm version {version} by a majority; nothing was changed")
        }
        /// A change was sent, but its result is unknown.
        Uncertain(id: String, file: PathBuf, errors: Vec<LinkError>) {
            display("change {id} may or may not have been accepted{}", error_lines(errors))
        }
        /// Another change was accepted on the same base version.
        Conflict(conflict: Conflict) {
            display("{}", conflict_text(conflict))
        }
        /// The change is invalid and was refused as a whole.
        Invalid(invalid: Invalid) {
            display("{}", invalid_text(invalid))
        }
        /// The id belongs to another change.
        IdReused(id: String, version: u64) {
            display("id {id} was used for another change{}", reused_result(*version))
        }
        /// The change is older than the retained history, so its result is unknown.
        Expired(id: String) {
            display("change {id} is older than the kept history; it was not run now, and whether it was before can't be told")
        }
        /// Some hosts have not applied the version yet.
        Lagging(version: u64, hosts: Vec<String>) {
            display("version {version} is accepted, but not yet in force on {}", hosts.join(", "))
        }
        /// The control group refused to add or remove a replica.
        MembershipRefused(reason: String) {
            display("refused: {reason}")
        }
        /// A replica that is being added has not caught up with the log.
        CatchingUp(behind: u64) {
            display("the replica still learns, {behind} entries behind; it doesn't count yet")
        }
        /// No object of this kind has this name.
        NotFound(what: &'static str, name: String) {
            display("there is no {what} {name}")
        }
        /// The route table is invalid.
        InvalidRouteTable(faults: Vec<table::Fault>) {
            display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        /// The route table couldn't be read or replaced.
        Routes(err: RoutesError) {
            from()
            source(err)
            display("{err}")
        }
        /// Evacuation orders have already named the maximum number of failure domains.
        TooManyDomains(domain: DomainName) {
            display("failure domain {domain}: evacuation orders have already named too many others")
        }
        /// Another order on the failure domain was accepted first.
        OrderSuperseded(domain: DomainName) {
            display("another order on failure domain {domain} was taken meanwhile; this one changed nothing")
        }
        /// Whether an order on a failure domain was accepted is unknown.
        OrderUncertain(domain: DomainName) {
            display("the order on failure domain {domain} may or may not have been taken")
        }
        /// A reply is empty or can't be decoded.
        Malformed {
            display("the answer has no content")
        }
    }
}

impl CliError {
    /// The exit code for this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Settings(_) => Exit::Usage,
            Self::Conflict(_) | Self::Expired(_) | Self::OrderSuperseded(_) => Exit::Conflict,
            Self::Catalogue(_)
            | Self::Invalid(_)
            | Self::IdReused(..)
            | Self::MembershipRefused(_)
            | Self::TooManyDomains(_)
            | Self::InvalidRouteTable(_) => Exit::Invalid,
            Self::Routes(err) => err.exit(),
            Self::Uncertain(..) | Self::OrderUncertain(_) => Exit::Uncertain,
            Self::Unreachable(_) | Self::Unconfirmed(_) => Exit::Unreachable,
            Self::Lagging(..) | Self::CatchingUp(_) => Exit::Unfinished,
            Self::Output(_)
            | Self::File(..)
            | Self::InvalidSavedChange(_)
            | Self::NotFound(..)
            | Self::RequestNotInLogs(_)
            | Self::Malformed => Exit::Failure,
        }
    }

    /// What the operator can do next, if there is advice.
    #[must_use]
    pub fn hint(&self) -> Option<String> {
        let text = match self {
            Self::Usage(_) => "rwrctl --help lists commands and options".into(),
            Self::Settings(_) => {
                "correct the client's settings, see docs/reference/rwrctl.md".into()
            }
            Self::Catalogue(_) | Self::Invalid(_) => {
                "nothing was changed; correct the file, then rwrctl plan FILE".into()
            }
            Self::Unreachable(_) => {
                "check the addresses given; any one that answers is enough".into()
            }
            Self::Unconfirmed(_) => {
                "rwrctl replica list shows who answers, see docs/operators/lost-majority.md".into()
            }
            Self::Uncertain(id, file, _) => {
                format!("resend it: rwrctl apply {} --id {id}", file.display())
            }
            Self::Conflict(_) => {
                "rwrctl show --ini writes the present catalogue; edit that, plan and apply it"
                    .into()
            }
            Self::IdReused(..) => "omit --id to have a new id generated".into(),
            Self::InvalidRouteTable(_) => {
                "nothing was changed; correct the file, then check it again".into()
            }
            Self::Routes(err) => err.hint().into(),
            Self::Expired(_) => "rwrctl history and rwrctl show list what is in force".into(),
            Self::Lagging(..) => {
                "rwrctl hosts shows each host; a host that cannot catch up is fenced within seconds"
                    .into()
            }
            Self::MembershipRefused(_) => "rwrctl replica list shows the group".into(),
            Self::CatchingUp(_) => "repeat the same command until it reports done".into(),
            Self::InvalidSavedChange(_) => "apply with a new id".into(),
            Self::RequestNotInLogs(_) => {
                "requests that no entry host accepted are not logged; under load, log lines may be dropped".into()
            }
            Self::OrderSuperseded(_) | Self::OrderUncertain(_) => {
                "rwrctl evacuations shows what is in force; then repeat the order".into()
            }
            Self::TooManyDomains(_) => "check the failure domain's name".into(),
            Self::Output(_) | Self::File(..) | Self::NotFound(..) | Self::Malformed => return None,
        };
        Some(text)
    }
}

fn error_lines(errors: &[LinkError]) -> String {
    let lines: Vec<String> = errors.iter().map(|err| format!("\n  {err}")).collect();
    lines.concat()
}

fn reused_result(version: u64) -> String {
    match version {
        0 => ", which was refused".into(),
        version => format!(", which made version {version}"),
    }
}

fn conflict_text(conflict: &Conflict) -> String {
    let Conflict {
        base,
        current,
        winner,
        author,
    } = conflict;
    format!(
        "conflict: change {winner} by {author} came first on version {base}; now at version {current}"
    )
}

fn invalid_text(invalid: &Invalid) -> String {
    let lines: Vec<String> = invalid
        .faults
        .iter()
        .map(|fault| format!("{} {}: {}", fault.service, fault.field, fault.reason))
        .collect();
    format!("refused as a whole\n{}", lines.join("\n"))
}
