//! The body of `POST /v1/announce`.

use std::net::SocketAddr;

use base::prelude::*;
use members::Instance;
use members::Phase;
use serde::Deserialize;

use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Largest body in bytes.
pub const MAX_BODY: usize = 4 * 1024;
/// Most slots or connections that one instance may claim.
pub const MAX_COUNT: u32 = 65_536;

/// The body; fields that aren't known are ignored, so that later ones may come.
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

/// Reads an announcement.
///
/// # Errors
///
/// Fails on text that isn't the JSON asked for, or a field without an allowed value.
pub fn read(body: &[u8]) -> Result<Instance, Refusal> {
    let body: Body =
        serde_json::from_slice(body).map_err(|err| Refusal::new(Reason::Json, err.to_string()))?;
    let name = |field: &'static str| {
        move |err: base::name::NameError| Refusal::new(Reason::Field, format!("{field}: {err}"))
    };
    Ok(Instance {
        service: ServiceName::new(&body.service).map_err(name("service"))?,
        id: InstanceId::new(&body.id).map_err(name("id"))?,
        address: read_address(&body.address)?,
        domain: DomainName::new(&body.domain).map_err(name("domain"))?,
        slots: read_count("slots", body.slots)?,
        connections: read_count("connections", body.connections)?,
        phase: read_phase(&body.phase)?,
        incarnation: body.incarnation,
        sequence: body.sequence,
    })
}

fn read_address(text: &str) -> Result<SocketAddr, Refusal> {
    let address: Option<SocketAddr> = text.parse().ok();
    let usable = address.filter(|a| a.port() != 0 && !a.ip().is_unspecified());
    usable.ok_or_else(|| {
        let detail = format!("address: {text:?} is no IP:port that can be connected to");
        Refusal::new(Reason::Field, detail)
    })
}

fn read_count(field: &str, count: u32) -> Result<u32, Refusal> {
    if (1..=MAX_COUNT).contains(&count) {
        return Ok(count);
    }
    let detail = format!("{field}: {count} is not within 1 to {MAX_COUNT}");
    Err(Refusal::new(Reason::Field, detail))
}

fn read_phase(text: &str) -> Result<Phase, Refusal> {
    text.parse().map_err(|_| {
        let detail = format!("phase: {text:?} is not starting, ready, draining or gone");
        Refusal::new(Reason::Field, detail)
    })
}
