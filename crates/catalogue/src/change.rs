//! One atomic change: checks of its content, and its effect on a catalogue.

use std::collections::BTreeSet;

use base::prelude::ChangeId;
use base::prelude::HostName;
use prost::Message;
use wire::catalogue::Change;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;

use crate::catalogue::Catalogue;
use crate::entry::Entry;
use crate::entry::is_owner;
use crate::fault::Fault;
use crate::fault::Field;
use crate::fault::Problem;

/// Most edits of one change.
pub const MAX_EDITS: usize = 2_048;

/// What is wrong with the change itself, whatever the catalogue holds.
///
/// The answer depends on nothing else, so a refusal by it needs no record: a
/// resend gets the same.
#[must_use]
pub fn check(change: &Change) -> Vec<Fault> {
    let mut faults = Vec::new();
    if let Err(err) = ChangeId::new(&change.id) {
        faults.push(Fault::new("", Field::Id, err));
    }
    if !is_owner(&change.author) {
        faults.push(Fault::new("", Field::Author, Problem::Text));
    }
    if change.edits.is_empty() {
        faults.push(Fault::new("", Field::Edits, Problem::Missing));
    }
    if change.edits.len() > MAX_EDITS {
        let problem = Problem::Many(change.edits.len(), MAX_EDITS);
        faults.push(Fault::new("", Field::Edits, problem));
        return faults;
    }
    let mut touched = BTreeSet::new();
    for edit in &change.edits {
        faults.extend(check_edit(edit));
        let target = Target::of(edit);
        if !touched.insert(target) {
            faults.push(target.fault(Problem::Twice));
        }
    }
    faults
}

/// The catalogue that `change` makes of `from`.
///
/// # Errors
///
/// Fails with every fault; `from` stays as it is.
pub fn effect(from: &Catalogue, change: &Change) -> Result<Catalogue, Vec<Fault>> {
    let mut next = from.clone();
    let mut faults = Vec::new();
    for edit in &change.edits {
        faults.extend(edit_catalogue(&mut next, edit));
    }
    next.version += 1;
    faults.extend(next.faults());
    if faults.is_empty() {
        return Ok(next);
    }
    Err(faults)
}

/// Digest of all that a change says, its id included.
#[must_use]
pub fn digest(change: &Change) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&change.encode_to_vec())
}

/// What one edit touches.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Target<'a> {
    Nothing,
    Service(&'a str),
    Gateway(&'a str),
}

impl<'a> Target<'a> {
    fn of(edit: &'a Edit) -> Self {
        match &edit.kind {
            None => Self::Nothing,
            Some(Kind::Put(entry)) => Self::Service(&entry.service),
            Some(Kind::Remove(service)) => Self::Service(service),
            Some(Kind::AddGateway(host) | Kind::RemoveGateway(host)) => Self::Gateway(host),
        }
    }

    fn fault(self, problem: Problem) -> Fault {
        match self {
            Self::Nothing => Fault::new("", Field::Edits, problem),
            Self::Service(service) => Fault::new(service, Field::Service, problem),
            Self::Gateway(host) => Fault::new(host, Field::Gateway, problem),
        }
    }
}

fn check_edit(edit: &Edit) -> Vec<Fault> {
    let target = Target::of(edit);
    let name = match &edit.kind {
        None => return vec![target.fault(Problem::Missing)],
        Some(Kind::Put(entry)) => return Entry::from_wire(entry).err().unwrap_or_default(),
        Some(Kind::Remove(name) | Kind::AddGateway(name) | Kind::RemoveGateway(name)) => name,
    };
    base::name::check(name)
        .err()
        .map(|err| target.fault(err.into()))
        .into_iter()
        .collect()
}

fn edit_catalogue(catalogue: &mut Catalogue, edit: &Edit) -> Vec<Fault> {
    let target = Target::of(edit);
    let done = match &edit.kind {
        None => Err(Problem::Missing),
        Some(Kind::Put(entry)) => return put(catalogue, entry),
        Some(Kind::Remove(service)) => remove(catalogue, service),
        Some(Kind::AddGateway(host)) => add_gateway(catalogue, host),
        Some(Kind::RemoveGateway(host)) => remove_gateway(catalogue, host),
    };
    done.err()
        .map(|problem| target.fault(problem))
        .into_iter()
        .collect()
}

fn put(catalogue: &mut Catalogue, entry: &wire::catalogue::Entry) -> Vec<Fault> {
    match Entry::from_wire(entry) {
        Ok(entry) => {
            catalogue.entries.insert(entry.service.clone(), entry);
            Vec::new()
        }
        Err(faults) => faults,
    }
}

fn remove(catalogue: &mut Catalogue, service: &str) -> Result<(), Problem> {
    catalogue
        .entries
        .remove(service)
        .map(drop)
        .ok_or(Problem::Absent)
}

fn add_gateway(catalogue: &mut Catalogue, host: &str) -> Result<(), Problem> {
    let fresh = catalogue.gateways.insert(HostName::new(host)?);
    fresh.then_some(()).ok_or(Problem::Present)
}

fn remove_gateway(catalogue: &mut Catalogue, host: &str) -> Result<(), Problem> {
    let found = catalogue.gateways.remove(host);
    found.then_some(()).ok_or(Problem::Absent)
}
