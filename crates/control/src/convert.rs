//! Conversion between the types of the replicated log and those on the wire and on disk.

use std::collections::BTreeMap;

use base::name::NameError;
use consensus::Acceptance;
use consensus::Config;
use consensus::Entry;
use consensus::Index;
use consensus::Member;
use consensus::Payload;
use consensus::Position;
use consensus::ReplicaId;
use consensus::Snapshot;
use consensus::Term;
use prost::Message;
use quick_error::quick_error;
use wire::control::Replica;
use wire::replica::Acceptance as WireAcceptance;
use wire::replica::EntryKind;
use wire::replica::Group;

pub mod message;

quick_error! {
    /// Why a message or record cannot be converted.
    #[derive(Debug)]
    pub enum ConvertError {
        /// A required field is missing.
        Missing(field: &'static str) {
            display("{field} is missing")
        }
        /// A number does not stand for a value of the field.
        Number(field: &'static str, found: i64) {
            display("{field} has an unknown value: {found}")
        }
        /// An address is malformed.
        Address(err: std::net::AddrParseError) {
            from()
            source(err)
            display("address: {err}")
        }
        /// A name is malformed.
        Name(err: NameError) {
            from()
            source(err)
            display("name: {err}")
        }
        /// The bytes cannot be decoded as a message.
        Decode(err: prost::DecodeError) {
            from()
            source(err)
            display("message: {err}")
        }
    }
}

/// Converts a member to its wire form.
#[must_use]
pub fn member_to_wire(member: &Member, voter: bool) -> Replica {
    Replica {
        id: member.id.0,
        address: member.address.to_string(),
        domain: member.domain.to_string(),
        region: member.region.to_string(),
        voter,
    }
}

/// Converts a member from its wire form.
///
/// # Errors
///
/// Fails on a malformed address or name.
pub fn member(replica: &Replica) -> Result<Member, ConvertError> {
    Ok(Member {
        id: ReplicaId(replica.id),
        address: replica.address.parse()?,
        domain: base::prelude::DomainName::new(&replica.domain)?,
        region: base::prelude::RegionName::new(&replica.region)?,
    })
}

/// Converts a group to its wire form.
#[must_use]
pub fn group_to_wire(config: &Config) -> Group {
    let acceptance = match config.acceptance {
        Acceptance::Majority => WireAcceptance::Majority,
        Acceptance::EveryRegion => WireAcceptance::EveryRegion,
    };
    Group {
        replicas: replicas(config),
        acceptance: acceptance.into(),
        evicted: config.evicted.iter().map(ToString::to_string).collect(),
    }
}

/// Converts the members of a group to their wire form, voters first.
#[must_use]
pub fn replicas(config: &Config) -> Vec<Replica> {
    config
        .members()
        .map(|m| member_to_wire(m, config.is_voter(m.id)))
        .collect()
}

/// Converts a group from its wire form.
///
/// # Errors
///
/// Fails on a malformed member or region name, or an unknown acceptance rule.
pub fn group(group: &Group) -> Result<Config, ConvertError> {
    let acceptance = match group.acceptance() {
        WireAcceptance::Majority => Acceptance::Majority,
        WireAcceptance::EveryRegion => Acceptance::EveryRegion,
        WireAcceptance::Unspecified => {
            return Err(ConvertError::Number(
                "acceptance",
                i64::from(group.acceptance),
            ));
        }
    };
    let mut config = Config {
        voters: BTreeMap::new(),
        learners: BTreeMap::new(),
        acceptance,
        evicted: group
            .evicted
            .iter()
            .map(|name| base::prelude::RegionName::new(name))
            .collect::<Result<_, _>>()?,
    };
    for replica in &group.replicas {
        let members = if replica.voter {
            &mut config.voters
        } else {
            &mut config.learners
        };
        let found = member(replica)?;
        members.insert(found.id, found);
    }
    Ok(config)
}

/// Converts an entry to its form on the wire and on disk.
#[must_use]
pub fn entry_to_wire(entry: &Entry) -> wire::store::Entry {
    let (kind, data) = match &entry.payload {
        Payload::Noop => (EntryKind::Noop, bytes::Bytes::new()),
        Payload::Data(data) => (EntryKind::Command, data.clone()),
        Payload::Config(config) => (
            EntryKind::Group,
            group_to_wire(config).encode_to_vec().into(),
        ),
    };
    wire::store::Entry {
        index: entry.index.0,
        term: entry.term.0,
        kind: u32::try_from(i32::from(kind)).unwrap_or_default(),
        data,
    }
}

/// Converts an entry from its form on the wire and on disk.
///
/// # Errors
///
/// Fails on an unknown kind or a malformed group.
pub fn entry(entry: &wire::store::Entry) -> Result<Entry, ConvertError> {
    let kind = i32::try_from(entry.kind)
        .ok()
        .and_then(|kind| EntryKind::try_from(kind).ok());
    let payload = match kind {
        Some(EntryKind::Noop) => Payload::Noop,
        Some(EntryKind::Command) => Payload::Data(entry.data.clone()),
        Some(EntryKind::Group) => Payload::Config(group(&Group::decode(entry.data.clone())?)?),
        None => return Err(ConvertError::Number("entry kind", i64::from(entry.kind))),
    };
    Ok(Entry {
        term: Term(entry.term),
        index: Index(entry.index),
        payload,
    })
}

/// Converts a snapshot to its form on disk.
#[must_use]
pub fn snapshot_to_wire(snapshot: &Snapshot) -> wire::store::Snapshot {
    wire::store::Snapshot {
        index: snapshot.position.index.0,
        term: snapshot.position.term.0,
        config: group_to_wire(&snapshot.config).encode_to_vec().into(),
        data: snapshot.data.clone(),
    }
}

/// Converts a snapshot from its form on disk.
///
/// # Errors
///
/// Fails on a malformed group.
pub fn snapshot(snapshot: &wire::store::Snapshot) -> Result<Snapshot, ConvertError> {
    Ok(Snapshot {
        position: Position {
            term: Term(snapshot.term),
            index: Index(snapshot.index),
        },
        config: group(&Group::decode(snapshot.config.clone())?)?,
        data: snapshot.data.clone(),
    })
}
