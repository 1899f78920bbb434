//! The INI format of a table for operators.
//!
//! ```ini
//! [table]
//! version = 7
//!
//! [service status]
//! health = /health
//! connections = 240
//! cold = 3s
//! cold-rate = 5.8/s
//!
//! [route example.org/status/]
//! name = status
//! kind = idempotent
//! timeout = 800ms
//! aim = 300ms
//! priority = 2
//! attempts = 2
//! target = status:90, status-next:10
//! public = yes
//!
//! [workspace payments]
//! key-digests = 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
//! priority = 1
//! rate = 30/s
//! burst = 30
//! ```
//!
//! `keys` in place of `key-digests` has the keys themselves. Written files have digests only.

mod workspace;

use std::fmt;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::Value;
use conf::value::Bytes;
use conf::value::Rate;
use conf::value::duration_text;

use crate::model::Cold;
use crate::model::Host;
use crate::model::Kind;
use crate::model::Limits;
use crate::model::Route;
use crate::model::Service;
use crate::model::Table;
use crate::model::Target;
use crate::model::WeightedService;

const TABLE: &str = "table";
const LIMITS: &str = "limits";
const SERVICE: &str = "service ";
const ROUTE: &str = "route ";

struct KindValue(Kind);

impl conf::Value for KindValue {
    const FORM: &'static str = "idempotent, download or once";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}

struct TargetValue(WeightedService);

impl conf::Value for TargetValue {
    const FORM: &'static str = "service, or service:weight";

    fn read(text: &str) -> Option<Self> {
        let (name, weight) = match text.rsplit_once(':') {
            Some((name, weight)) => (name, weight.parse().ok()?),
            None => (text, 1),
        };
        let service = ServiceName::new(name).ok()?;
        Some(Self(WeightedService { service, weight }))
    }
}

struct TextValue(Arc<str>);

impl conf::Value for TextValue {
    const FORM: &'static str = "text";

    fn read(text: &str) -> Option<Self> {
        Some(Self(text.into()))
    }
}

/// Reads a table without the validation of [`crate::check()`].
///
/// # Errors
///
/// Fails with all faults of the file.
pub fn read(mut reader: Reader) -> Result<Table, ConfError> {
    let r = &mut reader;
    let version = r.required(TABLE, "version").unwrap_or_default();
    let limits = read_limits(r);
    let mut services = Vec::new();
    let mut hosts: Vec<Host> = Vec::new();
    let mut workspaces = Vec::new();
    for section in r.sections() {
        if let Some(name) = section.strip_prefix(SERVICE) {
            services.extend(read_service(r, &section, name));
        } else if let Some(name) = section.strip_prefix(workspace::SECTION) {
            workspaces.extend(workspace::read(r, &section, name));
        } else if let Some(host_and_prefix) = section.strip_prefix(ROUTE)
            && let Some((host, route)) = read_route(r, &section, host_and_prefix)
        {
            add_route(&mut hosts, host, route);
        }
    }
    reader.finish()?;
    Ok(Table {
        version,
        services,
        limits,
        hosts,
        workspaces,
    })
}

fn add_route(hosts: &mut Vec<Host>, name: &str, route: Route) {
    match hosts.iter_mut().find(|h| &*h.name == name) {
        Some(host) => host.routes.push(route),
        None => hosts.push(Host {
            name: name.into(),
            routes: vec![route],
        }),
    }
}

fn read_limits(r: &mut Reader) -> Limits {
    let defaults = Limits::default();
    let header = Bytes(defaults.header_bytes as u64);
    let header = r.or(LIMITS, "header-bytes", header).0;
    Limits {
        header_bytes: usize::try_from(header).unwrap_or(usize::MAX),
        body_bytes: r.or(LIMITS, "body-bytes", Bytes(defaults.body_bytes)).0,
        header_timeout: r.or(LIMITS, "header-timeout", defaults.header_timeout),
        idle_timeout: r.or(LIMITS, "idle-timeout", defaults.idle_timeout),
    }
}

fn read_service(r: &mut Reader, section: &str, name: &str) -> Option<Service> {
    let health = r.required(section, "health").map(|TextValue(path)| path);
    let connections = r.required(section, "connections");
    let cold = read_cold(r, section);
    let Ok(name) = ServiceName::new(name) else {
        r.fault(section, "", Problem::Form(name.into()), "a service name");
        return None;
    };
    Some(Service {
        name,
        health: health?,
        connections: connections?,
        cold,
    })
}

fn read_cold(r: &mut Reader, section: &str) -> Option<Cold> {
    let duration: Option<Duration> = r.optional(section, "cold");
    let rate: Option<Rate> = r.optional(section, "cold-rate");
    match (duration, rate) {
        (Some(duration), Some(Rate(rate))) => Some(Cold { duration, rate }),
        (None, None) => None,
        (Some(_), None) => {
            r.fault(section, "cold-rate", Problem::Missing, Rate::FORM);
            None
        }
        (None, Some(_)) => {
            r.fault(section, "cold", Problem::Missing, Duration::FORM);
            None
        }
    }
}

fn read_route<'a>(
    r: &mut Reader,
    section: &str,
    host_and_prefix: &'a str,
) -> Option<(&'a str, Route)> {
    let name = r.or(section, "name", TextValue(host_and_prefix.into())).0;
    let kind = r.required(section, "kind").map(|KindValue(kind)| kind);
    let timeout: Option<Duration> = r.optional(section, "timeout");
    let aim: Option<Duration> = r.optional(section, "aim");
    let priority = r.or(section, "priority", 0);
    let attempts = r.or(section, "attempts", 1);
    let services: Vec<TargetValue> = r.list(section, "target");
    let public = r.or(section, "public", false);
    let Some(slash) = host_and_prefix.find('/') else {
        let form = "host and path prefix, such as example.org/status/";
        r.fault(section, "", Problem::Form(host_and_prefix.into()), form);
        return None;
    };
    if services.is_empty() {
        r.fault(
            section,
            "target",
            Problem::Missing,
            "services separated by commas",
        );
    }
    let (host, prefix) = host_and_prefix.split_at(slash);
    let route = Route {
        name,
        prefix: prefix.into(),
        kind: kind?,
        timeout,
        aim,
        priority,
        attempts,
        target: target(services)?,
        public,
    };
    Some((host, route))
}

fn target(mut services: Vec<TargetValue>) -> Option<Target> {
    match services.len() {
        0 => None,
        1 => services
            .pop()
            .map(|TargetValue(weighted)| Target::Service(weighted.service)),
        _ => Some(Target::Split(
            services.into_iter().map(|TargetValue(s)| s).collect(),
        )),
    }
}

/// Writes a table as INI, to be read by [`read`].
#[must_use]
pub fn write(table: &Table) -> String {
    let mut text = String::new();
    // Writing to a string never fails.
    let _ = write_all(&mut text, table);
    text
}

fn write_all(out: &mut String, table: &Table) -> fmt::Result {
    writeln!(out, "[{TABLE}]\nversion = {}", table.version)?;
    let limits = &table.limits;
    writeln!(out, "\n[{LIMITS}]")?;
    writeln!(out, "header-bytes = {}B", limits.header_bytes)?;
    writeln!(out, "body-bytes = {}", Bytes(limits.body_bytes))?;
    writeln!(
        out,
        "header-timeout = {}",
        duration_text(limits.header_timeout)
    )?;
    writeln!(out, "idle-timeout = {}", duration_text(limits.idle_timeout))?;
    for service in &table.services {
        writeln!(out, "\n[{SERVICE}{}]", service.name)?;
        writeln!(out, "health = {}", service.health)?;
        writeln!(out, "connections = {}", service.connections)?;
        if let Some(cold) = service.cold {
            writeln!(out, "cold = {}", duration_text(cold.duration))?;
            writeln!(out, "cold-rate = {}", Rate(cold.rate))?;
        }
    }
    for host in &table.hosts {
        for route in &host.routes {
            write_route(out, &host.name, route)?;
        }
    }
    let mut workspaces = table.workspaces.iter();
    workspaces.try_for_each(|workspace| workspace::write(out, workspace))
}

fn write_route(out: &mut String, host: &str, route: &Route) -> fmt::Result {
    writeln!(out, "\n[{ROUTE}{host}{}]", route.prefix)?;
    writeln!(out, "name = {}", route.name)?;
    writeln!(out, "kind = {}", route.kind)?;
    if let Some(timeout) = route.timeout {
        writeln!(out, "timeout = {}", duration_text(timeout))?;
    }
    if let Some(aim) = route.aim {
        writeln!(out, "aim = {}", duration_text(aim))?;
    }
    writeln!(out, "priority = {}", route.priority)?;
    writeln!(out, "attempts = {}", route.attempts)?;
    let target = match &route.target {
        Target::Service(name) => name.to_string(),
        Target::Split(services) => {
            let shares = services
                .iter()
                .map(|s| format!("{}:{}", s.service, s.weight));
            shares.collect::<Vec<_>>().join(", ")
        }
    };
    writeln!(out, "target = {target}")?;
    if route.public {
        writeln!(out, "public = yes")?;
    }
    Ok(())
}
