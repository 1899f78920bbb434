//! Checks a change and applies it to a catalogue.

use std::collections::BTreeSet;

use base::prelude::ChangeId;
use base::prelude::HostName;
use prost::Message;
use wire::catalogue::Change;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;

use crate::catalogue::Catalogue;
use crate::entry::Entry;
use crate::entry::is_valid_owner;
use crate::fault::Fault;
use crate::fault::Field;
use crate::fault::Problem;

/// Maximum number of edits of one change.
pub const MAX_EDITS: usize = 2_048;

/// Checks the content of a change independently of the catalogue.
///
/// The result depends only on the change, so that a refusal need not be stored: a resend
/// gets the same reply.
#[must_use]
pub fn check(change: &Change) -> Vec<Fault> {
    let mut faults = Vec::new();
    if let Err(err) = ChangeId::new(&change.id) {
        faults.push(Fault::new("", Field::Id, err));
    }
    if !is_valid_owner(&change.author) {
        faults.push(Fault::new("", Field::Author, Problem::InvalidText));
    }
    if change.edits.is_empty() {
        faults.push(Fault::new("", Field::Edits, Problem::Missing));
    }
    if change.edits.len() > MAX_EDITS {
        let problem = Problem::TooMany(change.edits.len(), MAX_EDITS);
        faults.push(Fault::new("", Field::Edits, problem));
        return faults;
    }
    let mut targets = BTreeSet::new();
    for edit in &change.edits {
        faults.extend(check_edit(edit));
        let target = Target::of(edit);
        if !targets.insert(target) {
            faults.push(target.fault(Problem::Duplicate));
        }
    }
    faults
}

/// Applies `change` to a copy of `from`.
///
/// # Errors
///
/// Fails with all faults.
pub fn apply(from: &Catalogue, change: &Change) -> Result<Catalogue, Vec<Fault>> {
    let mut next = from.clone();
    let mut faults = Vec::new();
    for edit in &change.edits {
        faults.extend(apply_edit(&mut next, edit));
    }
    next.version += 1;
    faults.extend(next.faults());
    if faults.is_empty() {
        return Ok(next);
    }
    Err(faults)
}

/// XXH3 digest of the encoded change, including its id.
#[must_use]
pub fn digest(change: &Change) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&change.encode_to_vec())
}

/// The service or gateway that an edit applies to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Target<'a> {
    Unspecified,
    Service(&'a str),
    Gateway(&'a str),
}

impl<'a> Target<'a> {
    fn of(edit: &'a Edit) -> Self {
        match &edit.kind {
            None => Self::Unspecified,
            Some(Kind::Put(entry)) => Self::Service(&entry.service),
            Some(Kind::Remove(service)) => Self::Service(service),
            Some(Kind::AddGateway(host) | Kind::RemoveGateway(host)) => Self::Gateway(host),
        }
    }

    fn fault(self, problem: Problem) -> Fault {
        match self {
            Self::Unspecified => Fault::new("", Field::Edits, problem),
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

fn apply_edit(catalogue: &mut Catalogue, edit: &Edit) -> Vec<Fault> {
    let target = Target::of(edit);
    let result = match &edit.kind {
        None => Err(Problem::Missing),
        Some(Kind::Put(entry)) => return put(catalogue, entry),
        Some(Kind::Remove(service)) => remove(catalogue, service),
        Some(Kind::AddGateway(host)) => add_gateway(catalogue, host),
        Some(Kind::RemoveGateway(host)) => remove_gateway(catalogue, host),
    };
    result
        .err()
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
        .ok_or(Problem::NotFound)
}

fn add_gateway(catalogue: &mut Catalogue, host: &str) -> Result<(), Problem> {
    let inserted = catalogue.gateways.insert(HostName::new(host)?);
    inserted.then_some(()).ok_or(Problem::AlreadyExists)
}

fn remove_gateway(catalogue: &mut Catalogue, host: &str) -> Result<(), Problem> {
    let removed = catalogue.gateways.remove(host);
    removed.then_some(()).ok_or(Problem::NotFound)
}
