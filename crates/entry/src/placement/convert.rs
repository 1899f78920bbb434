//! Conversions between internal types and those of the placement protocol.

use std::time::Duration;

use route::Kind;
use route::LoadReport;
use wire::place::Kind as WireKind;
use wire::place::Report;

pub(crate) fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

pub(crate) fn duration_from_micros(micros: u32) -> Duration {
    Duration::from_micros(micros.into())
}

pub(crate) fn report_to_wire(report: LoadReport) -> Report {
    Report {
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        pace: report.pace,
    }
}

pub(crate) fn report_from_wire(report: &Report) -> LoadReport {
    LoadReport {
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        pace: report.pace,
    }
}

pub(super) fn kind_to_wire(kind: Kind) -> WireKind {
    match kind {
        Kind::Ok => WireKind::Ok,
        Kind::Error => WireKind::Error,
        Kind::Shed => WireKind::Shed,
        Kind::Timeout => WireKind::Timeout,
        Kind::ConnectFailed => WireKind::ConnectFailed,
        Kind::Cancelled => WireKind::Cancelled,
    }
}

pub(super) fn kind_from_wire(kind: WireKind) -> Kind {
    match kind {
        WireKind::Ok => Kind::Ok,
        WireKind::Error => Kind::Error,
        WireKind::Shed => Kind::Shed,
        WireKind::Timeout => Kind::Timeout,
        WireKind::ConnectFailed => Kind::ConnectFailed,
        WireKind::Cancelled | WireKind::Unspecified => Kind::Cancelled,
    }
}
