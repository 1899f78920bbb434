//! Whether the process may obey a route table: a pure state machine.
//!
//! A hub that has restarted knows what its disk says was accepted, and newer tables may have been
//! acknowledged. So a process obeys no table until a hub says that none is newer, whatever the time
//! that takes: callers are refused meanwhile, with the time to come back, and not told that a route
//! is missing. Only where the disks of so many hubs are lost that nobody can ever find out does it
//! obey a table that may be older, and it stops if a hub is about to find out all the same.

use std::collections::HashMap;
use std::net::SocketAddr;

use strum::IntoStaticStr;
use wire::hub::Currency;

/// Whether a table may be obeyed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// It is at least as new as one that was the newest.
    Confirmed,
    /// It may be older, and no hub can find out.
    Provisional,
    /// It may be older, and the hubs will find out.
    Withheld,
}

/// The version of a hub's table, if it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Held(Option<u64>);

/// What the hubs say of their tables.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    /// The newest that was confirmed.
    confirmed: Option<Held>,
    /// What each hub said last.
    reported: HashMap<SocketAddr, Currency>,
}

impl Trust {
    /// Records what the hub at `address` says of its table, which has this version. Returns whether
    /// it said something else before.
    pub fn record(&mut self, address: SocketAddr, currency: Currency, table: Option<u64>) -> bool {
        if currency == Currency::Confirmed {
            self.confirmed = self.confirmed.max(Some(Held(table)));
        }
        self.reported.insert(address, currency) != Some(currency)
    }

    /// Forgets what a hub said that doesn't answer any more.
    pub fn forget(&mut self, address: SocketAddr) {
        self.reported.remove(&address);
    }

    /// What the hub at `address` has to be told that it said last; `None` if the hubs need not be
    /// asked, as one of them has confirmed a table.
    #[must_use]
    pub fn known(&self, address: SocketAddr) -> Option<Currency> {
        let reported = self.reported.get(&address).copied();
        self.confirmed
            .is_none()
            .then(|| reported.unwrap_or_default())
    }

    /// Whether a table of this version may be obeyed.
    #[must_use]
    pub fn verdict(&self, version: u64) -> Verdict {
        let said = |currency| self.reported.values().any(|reported| *reported == currency);
        match self.confirmed {
            Some(confirmed) if Held(Some(version)) >= confirmed => Verdict::Confirmed,
            None if said(Currency::NoMajority) && !said(Currency::Undecided) => {
                Verdict::Provisional
            }
            _ => Verdict::Withheld,
        }
    }

    /// Whether a table of this version that is obeyed must not be obeyed any more. Hubs that fall
    /// silent are no reason.
    #[must_use]
    pub fn must_withhold(&self, version: u64) -> bool {
        let undecided = self
            .reported
            .values()
            .any(|reported| *reported == Currency::Undecided);
        let is_asking = self.confirmed.is_none() && undecided;
        self.verdict(version) == Verdict::Withheld && (is_asking || self.confirmed.is_some())
    }
}
