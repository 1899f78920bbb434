//! Between the replicated log's own types and those of the wire and the disk.

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
    /// Why a message or record can't be taken.
    #[derive(Debug)]
    pub enum ConvertError {
        /// A part is missing.
        Missing(part: &'static str) {
            display("{part} is missing")
        }
        /// A number names nothing.
        Number(part: &'static str, found: i64) {
            display("{part} has no value {found}")
        }
        /// An address isn't one.
        Address(err: std::net::AddrParseError) {
            from()
            source(err)
            display("address: {err}")
        }
        /// A name isn't one.
        Name(err: NameError) {
            from()
            source(err)
            display("name: {err}")
        }
        /// Bytes aren't a message.
        Decode(err: prost::DecodeError) {
            from()
            source(err)
            display("message: {err}")
        }
    }
}

/// A member as others see it.
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

/// Reads a member.
///
/// # Errors
///
/// Fails on an address or a name that is none.
pub fn member(replica: &Replica) -> Result<Member, ConvertError> {
    Ok(Member {
        id: ReplicaId(replica.id),
        address: replica.address.parse()?,
        domain: base::prelude::DomainName::new(&replica.domain)?,
        region: base::prelude::RegionName::new(&replica.region)?,
    })
}

/// The group as others see it.
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

/// Voters, then learners.
#[must_use]
pub fn replicas(config: &Config) -> Vec<Replica> {
    config
        .members()
        .map(|m| member_to_wire(m, config.is_voter(m.id)))
        .collect()
}

/// Reads a group.
///
/// # Errors
///
/// Fails on a member that can't be read or an unknown rule.
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

/// An entry as it is stored and sent.
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

/// Reads an entry.
///
/// # Errors
///
/// Fails on an unknown kind or a group that can't be read.
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

/// A snapshot as it is stored.
#[must_use]
pub fn snapshot_to_wire(snapshot: &Snapshot) -> wire::store::Snapshot {
    wire::store::Snapshot {
        index: snapshot.position.index.0,
        term: snapshot.position.term.0,
        config: group_to_wire(&snapshot.config).encode_to_vec().into(),
        data: snapshot.data.clone(),
    }
}

/// Reads a snapshot.
///
/// # Errors
///
/// Fails on a group that can't be read.
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
