//! `POST /v1/announce`: an upstream announces an instance.

use announce::Reason;
use announce::Refusal;
use members::Accepted;
use members::AnnounceError;
use members::Instance;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;

use crate::shared::Shared;

/// Response to an accepted announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The instance is removed this long after its last announcement, in milliseconds.
    pub lease_ms: u32,
    /// Interval at which the instance should announce itself, in milliseconds.
    pub refresh_ms: u32,
}

/// Processes an announcement and logs a change.
///
/// # Errors
///
/// Fails when a newer one was received, the incarnation is gone, or the table is full.
pub fn announce(shared: &Shared, instance: Instance) -> Result<Lease, Refusal> {
    let announced = instance.clone();
    let accepted = shared.step(|inner, now| inner.members.announce(instance, now));
    match accepted {
        Ok(Accepted::Changed) => {
            info!(shared.log, "announced"; "service" => %announced.service, "id" => %announced.id,
                "address" => %announced.address, "domain" => %announced.domain, "slots" => announced.slots,
                "phase" => %announced.phase, "incarnation" => announced.incarnation, "sequence" => announced.sequence);
        }
        Ok(Accepted::Renewed | Accepted::Repeated) => {}
        Err(err) => {
            warn!(shared.log, "announcement refused"; "service" => %announced.service, "id" => %announced.id,
                "incarnation" => announced.incarnation, "sequence" => announced.sequence, "error" => %err);
            return Err(refusal(&err));
        }
    }
    let leases = &shared.settings.leases;
    Ok(Lease {
        lease_ms: crate::convert::millis(leases.lease),
        refresh_ms: crate::convert::millis(leases.refresh),
    })
}

fn refusal(err: &AnnounceError) -> Refusal {
    let reason = match err {
        AnnounceError::Older(_) => Reason::Older,
        AnnounceError::Left(_) => Reason::Left,
        AnnounceError::Full(_) => Reason::Full,
    };
    Refusal::new(reason, err.to_string())
}
