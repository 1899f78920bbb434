//! The whole catalogue at one version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::HostName;
use base::prelude::ServiceName;

use crate::entry::Entry;
use crate::fault::Contradiction;
use crate::fault::Fault;
use crate::fault::Field;
use crate::fault::Problem;

/// Most services.
pub const MAX_ENTRIES: usize = 1_024;
/// Most gateways.
pub const MAX_GATEWAYS: usize = 512;

/// The catalogue, immutable once it is made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// Counts accepted changes; zero before the first.
    pub version: u64,
    /// Its services.
    pub entries: BTreeMap<ServiceName, Entry>,
    /// Gateways registered; the measuring budget is divided by their number.
    pub gateways: BTreeSet<HostName>,
}

impl Catalogue {
    /// Takes the wire form.
    ///
    /// # Errors
    ///
    /// Fails with every fault of every entry and of the whole.
    pub fn from_wire(catalogue: &wire::catalogue::Catalogue) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut taken = Self {
            version: catalogue.version,
            ..Self::default()
        };
        for entry in &catalogue.entries {
            match Entry::from_wire(entry) {
                Ok(entry) if taken.entries.contains_key(&entry.service) => {
                    faults.push(Fault::new(
                        entry.service.as_str(),
                        Field::Service,
                        Problem::Twice,
                    ));
                }
                Ok(entry) => {
                    taken.entries.insert(entry.service.clone(), entry);
                }
                Err(found) => faults.extend(found),
            }
        }
        for gateway in &catalogue.gateways {
            match HostName::new(gateway) {
                Ok(host) if taken.gateways.contains(&host) => {
                    faults.push(Fault::new(gateway, Field::Gateway, Problem::Twice));
                }
                Ok(host) => {
                    taken.gateways.insert(host);
                }
                Err(err) => faults.push(Fault::new(gateway, Field::Gateway, err)),
            }
        }
        faults.extend(taken.faults());
        if faults.is_empty() {
            return Ok(taken);
        }
        Err(faults)
    }

    /// The wire form, sorted.
    #[must_use]
    pub fn to_wire(&self) -> wire::catalogue::Catalogue {
        wire::catalogue::Catalogue {
            version: self.version,
            entries: self.entries.values().map(Entry::to_wire).collect(),
            gateways: self.gateways.iter().map(ToString::to_string).collect(),
        }
    }

    /// What no single entry shows to be wrong.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let counts = [
            (Field::Service, self.entries.len(), MAX_ENTRIES),
            (Field::Gateway, self.gateways.len(), MAX_GATEWAYS),
        ];
        for (field, found, most) in counts {
            if found > most {
                faults.push(Fault::new("", field, Problem::Many(found, most)));
            }
        }
        let gateways = u32::try_from(self.gateways.len()).unwrap_or(u32::MAX);
        let without_share = |probes: u32| probes > 0 && probes < gateways;
        for entry in self.entries.values() {
            if without_share(entry.limits.probes) {
                let why = Contradiction::BudgetWithoutShare;
                let problem = Problem::Contradicts(why);
                faults.push(Fault::new(entry.service.as_str(), Field::Probes, problem));
            }
        }
        faults
    }
}
