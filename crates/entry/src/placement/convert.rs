//! Conversions between internal types and those of the placement protocol.

use std::time::Duration;

use route::LoadReport;
use route::OutcomeKind;
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

pub(super) fn kind_to_wire(kind: OutcomeKind) -> WireKind {
    match kind {
        OutcomeKind::Ok => WireKind::Ok,
        OutcomeKind::Error => WireKind::Error,
        OutcomeKind::Shed => WireKind::Shed,
        OutcomeKind::Timeout => WireKind::Timeout,
        OutcomeKind::ConnectFailed => WireKind::ConnectFailed,
        OutcomeKind::Cancelled => WireKind::Cancelled,
        OutcomeKind::Abandoned => WireKind::Abandoned,
    }
}

pub(super) fn kind_from_wire(kind: WireKind) -> OutcomeKind {
    match kind {
        WireKind::Ok => OutcomeKind::Ok,
        WireKind::Error => OutcomeKind::Error,
        WireKind::Shed => OutcomeKind::Shed,
        WireKind::Timeout => OutcomeKind::Timeout,
        WireKind::ConnectFailed => OutcomeKind::ConnectFailed,
        WireKind::Abandoned => OutcomeKind::Abandoned,
        WireKind::Cancelled | WireKind::Unspecified => OutcomeKind::Cancelled,
    }
}
