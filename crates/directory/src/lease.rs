//! `POST /v1/announce`: an upstream says that it is there.

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

/// The answer to an announcement that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The instance is dropped this long after its last announcement.
    pub lease_ms: u32,
    /// It should announce itself again after this.
    pub refresh_ms: u32,
}

/// Takes an announcement and logs what it changed.
///
/// # Errors
///
/// Fails when it is older than one heard, its incarnation has left, or there is no room.
pub fn take(shared: &Shared, instance: Instance) -> Result<Lease, Refusal> {
    let told = instance.clone();
    let heard = shared.step(|inner, now| inner.members.announce(instance, now));
    match heard {
        Ok(Accepted::Changed) => {
            info!(shared.log, "announced"; "service" => %told.service, "id" => %told.id,
                "address" => %told.address, "domain" => %told.domain, "slots" => told.slots,
                "phase" => %told.phase, "incarnation" => told.incarnation, "sequence" => told.sequence);
        }
        Ok(Accepted::Renewed | Accepted::Repeated) => {}
        Err(err) => {
            warn!(shared.log, "announcement refused"; "service" => %told.service, "id" => %told.id,
                "incarnation" => told.incarnation, "sequence" => told.sequence, "error" => %err);
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
