//! What one catalogue has that another hasn't, as edits and as rows for people.

use std::collections::BTreeSet;

use strum::Display;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;

use crate::catalogue::Catalogue;
use crate::entry::Entry;
use crate::fault::Field;
use crate::file;

/// What happens to one thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Effect {
    /// It is new.
    Add,
    /// It stays with another value.
    Change,
    /// It goes.
    Remove,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// What happens.
    pub effect: Effect,
    /// [`Field::Gateway`] for a gateway, [`Field::Service`] for a whole entry.
    pub field: Field,
    /// The service or gateway.
    pub subject: String,
    /// The value before, empty when it is new.
    pub from: String,
    /// The value after, empty when it goes.
    pub to: String,
}

/// The edits that make `to` of `from`, sorted.
#[must_use]
pub fn edits(from: &Catalogue, to: &Catalogue) -> Vec<Edit> {
    let gone = from.entries.keys().filter(|s| !to.entries.contains_key(*s));
    let put = to
        .entries
        .values()
        .filter(|e| from.entries.get(&e.service) != Some(*e));
    let kinds = gone
        .map(|service| Kind::Remove(service.to_string()))
        .chain(put.map(|entry| Kind::Put(entry.to_wire())))
        .chain(
            to.gateways
                .difference(&from.gateways)
                .map(|h| Kind::AddGateway(h.to_string())),
        )
        .chain(
            from.gateways
                .difference(&to.gateways)
                .map(|h| Kind::RemoveGateway(h.to_string())),
        );
    kinds.map(|kind| Edit { kind: Some(kind) }).collect()
}

/// The differences from `from` to `to`, field by field.
#[must_use]
pub fn differences(from: &Catalogue, to: &Catalogue) -> Vec<Difference> {
    let services: BTreeSet<_> = from.entries.keys().chain(to.entries.keys()).collect();
    let mut rows: Vec<Difference> = services
        .into_iter()
        .flat_map(|s| entry_rows(from.entries.get(s), to.entries.get(s)))
        .collect();
    let row = |effect, host: &dyn ToString| Difference {
        effect,
        field: Field::Gateway,
        subject: host.to_string(),
        from: String::new(),
        to: String::new(),
    };
    rows.extend(
        to.gateways
            .difference(&from.gateways)
            .map(|h| row(Effect::Add, h)),
    );
    rows.extend(
        from.gateways
            .difference(&to.gateways)
            .map(|h| row(Effect::Remove, h)),
    );
    rows
}

fn entry_rows(from: Option<&Entry>, to: Option<&Entry>) -> Vec<Difference> {
    let (effect, entry) = match (from, to) {
        (Some(from), Some(to)) => return changed_rows(from, to),
        (Some(entry), None) => (Effect::Remove, entry),
        (None, Some(entry)) => (Effect::Add, entry),
        (None, None) => return Vec::new(),
    };
    let subject = entry.service.to_string();
    let text = file::fields(entry)
        .map(|(field, text)| format!("{field}={text}"))
        .join(" ");
    let (from, to) = match effect {
        Effect::Remove => (text, String::new()),
        Effect::Add | Effect::Change => (String::new(), text),
    };
    let field = Field::Service;
    vec![Difference {
        effect,
        field,
        subject,
        from,
        to,
    }]
}

fn changed_rows(from: &Entry, to: &Entry) -> Vec<Difference> {
    file::fields(from)
        .into_iter()
        .zip(file::fields(to))
        .filter(|((_, before), (_, after))| before != after)
        .map(|((field, before), (_, after))| Difference {
            effect: Effect::Change,
            field,
            subject: to.service.to_string(),
            from: before,
            to: after,
        })
        .collect()
}
