//! The body of `POST /v1/announce`.

use std::net::SocketAddr;

use base::prelude::*;
use members::Instance;
use members::Phase;
use serde::Deserialize;

use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Maximum size of the body in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024;
/// Maximum number of slots or connections of one instance.
pub const MAX_COUNT: u32 = 65_536;

/// The JSON body; unknown fields are ignored for forward compatibility.
#[derive(Debug, Deserialize)]
struct Body {
    service: String,
    id: String,
    address: String,
    domain: String,
    slots: u32,
    connections: u32,
    phase: String,
    incarnation: u64,
    sequence: u64,
}

/// Parses an announcement.
///
/// # Errors
///
/// Fails on invalid JSON, a missing field or a field with an invalid value.
pub fn parse(body: &[u8]) -> Result<Instance, Refusal> {
    let body: Body =
        serde_json::from_slice(body).map_err(|err| Refusal::new(Reason::Json, err.to_string()))?;
    let name = |field: &'static str| {
        move |err: base::name::NameError| Refusal::new(Reason::Field, format!("{field}: {err}"))
    };
    Ok(Instance {
        service: ServiceName::new(&body.service).map_err(name("service"))?,
        id: InstanceId::new(&body.id).map_err(name("id"))?,
        address: parse_address(&body.address)?,
        domain: DomainName::new(&body.domain).map_err(name("domain"))?,
        slots: check_count("slots", body.slots)?,
        connections: check_count("connections", body.connections)?,
        phase: parse_phase(&body.phase)?,
        incarnation: body.incarnation,
        sequence: body.sequence,
    })
}

fn parse_address(text: &str) -> Result<SocketAddr, Refusal> {
    let address: Option<SocketAddr> = text.parse().ok();
    let usable = address.filter(|a| a.port() != 0 && !a.ip().is_unspecified());
    usable.ok_or_else(|| {
        let detail = format!("address: {text:?} is not a connectable IP:port");
        Refusal::new(Reason::Field, detail)
    })
}

fn check_count(field: &str, count: u32) -> Result<u32, Refusal> {
    if (1..=MAX_COUNT).contains(&count) {
        return Ok(count);
    }
    let detail = format!("{field}: {count} is not between 1 and {MAX_COUNT}");
    Err(Refusal::new(Reason::Field, detail))
}

fn parse_phase(text: &str) -> Result<Phase, Refusal> {
    text.parse().map_err(|_| {
        let detail = format!("phase: {text:?} is not one of starting, ready, draining, gone");
        Refusal::new(Reason::Field, detail)
    })
}
