//! Differences between two catalogues, as edits and for display.

use std::collections::BTreeSet;

use strum::Display;
use wire::catalogue::Edit;
use wire::catalogue::edit::Kind;

use crate::catalogue::Catalogue;
use crate::entry::Entry;
use crate::fault::Field;
use crate::file;

/// Kind of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Effect {
    /// A service or gateway is added.
    Add,
    /// A field of a service gets another value.
    Change,
    /// A service or gateway is removed.
    Remove,
}

/// One difference between two catalogues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Kind of the difference.
    pub effect: Effect,
    /// [`Field::Gateway`] for a gateway, [`Field::Service`] for an entire entry.
    pub field: Field,
    /// Name of the service or gateway.
    pub subject: String,
    /// The old value; empty for an addition.
    pub from: String,
    /// The new value; empty for a removal.
    pub to: String,
}

/// Returns the edits that turn `from` into `to`: removed services, then added or changed
/// services, then added gateways, then removed gateways, each sorted by name.
#[must_use]
pub fn edits(from: &Catalogue, to: &Catalogue) -> Vec<Edit> {
    let removed = from.entries.keys().filter(|s| !to.entries.contains_key(*s));
    let put = to
        .entries
        .values()
        .filter(|e| from.entries.get(&e.service) != Some(*e));
    let kinds = removed
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

/// Returns the differences from `from` to `to`, one for each changed field.
#[must_use]
pub fn differences(from: &Catalogue, to: &Catalogue) -> Vec<Difference> {
    let services: BTreeSet<_> = from.entries.keys().chain(to.entries.keys()).collect();
    let mut differences: Vec<Difference> = services
        .into_iter()
        .flat_map(|s| entry_differences(from.entries.get(s), to.entries.get(s)))
        .collect();
    let gateway_difference = |effect, host: &dyn ToString| Difference {
        effect,
        field: Field::Gateway,
        subject: host.to_string(),
        from: String::new(),
        to: String::new(),
    };
    differences.extend(
        to.gateways
            .difference(&from.gateways)
            .map(|h| gateway_difference(Effect::Add, h)),
    );
    differences.extend(
        from.gateways
            .difference(&to.gateways)
            .map(|h| gateway_difference(Effect::Remove, h)),
    );
    differences
}

fn entry_differences(from: Option<&Entry>, to: Option<&Entry>) -> Vec<Difference> {
    let (effect, entry) = match (from, to) {
        (Some(from), Some(to)) => return field_differences(from, to),
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

fn field_differences(from: &Entry, to: &Entry) -> Vec<Difference> {
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
