//! What can go wrong in a command, its exit code, and what to do next.

use std::io;
use std::path::PathBuf;

use base::prelude::*;
use conf::ConfError;
use quick_error::quick_error;
use wire::catalogue::Conflict;
use wire::catalogue::Invalid;
use wire::link::LinkError;

use crate::exit::Exit;
use crate::flags::UsageError;

quick_error! {
    /// Why a command didn't do what was asked.
    #[derive(Debug)]
    pub enum CliError {
        /// The command line is wrong.
        Usage(err: UsageError) {
            from()
            source(err)
            display("{err}")
        }
        /// The client's settings are wrong.
        Settings(err: ConfError) {
            source(err)
            display("{err}")
        }
        /// The catalogue file is wrong.
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
        /// A saved change can't be read.
        Saved(path: PathBuf) {
            display("{}: is no saved change", path.display())
        }
        /// No log names the request.
        NoStory(id: String) {
            display("no line names request {id}; were the logs of all entry hosts given?")
        }
        /// No address answered.
        Unreachable(errors: Vec<LinkError>) {
            display("no answer{}", list(errors))
        }
        /// No replica had its version confirmed by a majority.
        Unconfirmed(version: u64) {
            display("control could not confirm version {version} by a majority; nothing was changed")
        }
        /// A change was sent and its answer lost.
        Uncertain(id: String, file: PathBuf, errors: Vec<LinkError>) {
            display("change {id} may or may not have been accepted{}", list(errors))
        }
        /// Another change won.
        Conflict(conflict: Conflict) {
            display("{}", conflict_text(conflict))
        }
        /// The change is refused as a whole.
        Invalid(invalid: Invalid) {
            display("{}", invalid_text(invalid))
        }
        /// The id stands for another change.
        Reused(id: String, version: u64) {
            display("id {id} was used for another change{}", made(*version))
        }
        /// The change is from before the window of kept answers.
        Expired(id: String) {
            display("change {id} is older than the kept history; it was not run now, and whether it was before can't be told")
        }
        /// Hosts don't have the version yet.
        Lagging(version: u64, hosts: Vec<String>) {
            display("version {version} is accepted, but not yet in force on {}", hosts.join(", "))
        }
        /// A replica can't be added or removed.
        Membership(reason: String) {
            display("refused: {reason}")
        }
        /// A replica that is being added is behind.
        Pending(behind: u64) {
            display("the replica still learns, {behind} entries behind; it doesn't count yet")
        }
        /// There is nothing of that name.
        Absent(what: &'static str, name: String) {
            display("there is no {what} {name}")
        }
        /// A route table has faults.
        Routes(faults: Vec<table::Fault>) {
            display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        /// A newer route table is in force, or another one under the same version.
        Overtaken(version: u64) {
            display("version {version} of the route table is in force")
        }
        /// Orders have named too many failure domains.
        TooManyDomains(domain: DomainName) {
            display("failure domain {domain}: orders have named too many others")
        }
        /// Another order on the failure domain came first.
        OrderOvertaken(domain: DomainName) {
            display("another order on failure domain {domain} was taken meanwhile; this one changed nothing")
        }
        /// An order on a failure domain may or may not have been taken.
        OrderUncertain(domain: DomainName) {
            display("the order on failure domain {domain} may or may not have been taken")
        }
        /// An answer has no content.
        Malformed {
            display("the answer has no content")
        }
    }
}

impl CliError {
    /// The exit code.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Settings(_) => Exit::Usage,
            Self::Conflict(_) | Self::Expired(_) | Self::Overtaken(_) | Self::OrderOvertaken(_) => {
                Exit::Conflict
            }
            Self::Catalogue(_)
            | Self::Invalid(_)
            | Self::Reused(..)
            | Self::Membership(_)
            | Self::TooManyDomains(_)
            | Self::Routes(_) => Exit::Invalid,
            Self::Uncertain(..) | Self::OrderUncertain(_) => Exit::Uncertain,
            Self::Unreachable(_) | Self::Unconfirmed(_) => Exit::Unreachable,
            Self::Lagging(..) | Self::Pending(_) => Exit::Unfinished,
            Self::Output(_)
            | Self::File(..)
            | Self::Saved(_)
            | Self::Absent(..)
            | Self::NoStory(_)
            | Self::Malformed => Exit::Failure,
        }
    }

    /// What the operator can do next.
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
            Self::Reused(..) => "leave --id out, and a new one is chosen".into(),
            Self::Routes(_) => "nothing was changed; correct the file, then check it again".into(),
            Self::Overtaken(_) => {
                "rwrctl routes show writes the table in force; give a higher version".into()
            }
            Self::Expired(_) => "rwrctl history and rwrctl show tell what is in force".into(),
            Self::Lagging(..) => {
                "rwrctl hosts shows each host; one that can't follow is fenced within seconds"
                    .into()
            }
            Self::Membership(_) => "rwrctl replica list shows the group".into(),
            Self::Pending(_) => "repeat the same command until it says done".into(),
            Self::Saved(_) => "apply with a new id".into(),
            Self::NoStory(_) => {
                "a request that no entry host took has no line; a full log leaves lines out".into()
            }
            Self::OrderOvertaken(_) | Self::OrderUncertain(_) => {
                "rwrctl evacuations shows what is in force; then order again".into()
            }
            Self::TooManyDomains(_) => "check the failure domain's name".into(),
            Self::Output(_) | Self::File(..) | Self::Absent(..) | Self::Malformed => return None,
        };
        Some(text)
    }
}

fn list(errors: &[LinkError]) -> String {
    let lines: Vec<String> = errors.iter().map(|err| format!("\n  {err}")).collect();
    lines.concat()
}

fn made(version: u64) -> String {
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
