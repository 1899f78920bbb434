//! The catalogue at one version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::HostName;
use base::prelude::ServiceName;

use crate::entry::Entry;
use crate::fault::Contradiction;
use crate::fault::Fault;
use crate::fault::Field;
use crate::fault::Problem;

/// Maximum number of services.
pub const MAX_ENTRIES: usize = 1_024;
/// Maximum number of gateways.
pub const MAX_GATEWAYS: usize = 512;

/// Services and registered gateways at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// Number of changes accepted so far.
    pub version: u64,
    /// Services by name.
    pub entries: BTreeMap<ServiceName, Entry>,
    /// Registered gateways; each service's probe budget is divided by their number.
    pub gateways: BTreeSet<HostName>,
}

impl Catalogue {
    /// Converts and checks the wire form.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the entries and of the catalogue as a whole.
    pub fn from_wire(catalogue: &wire::catalogue::Catalogue) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut converted = Self {
            version: catalogue.version,
            ..Self::default()
        };
        for entry in &catalogue.entries {
            match Entry::from_wire(entry) {
                Ok(entry) if converted.entries.contains_key(&entry.service) => {
                    faults.push(Fault::new(
                        entry.service.as_str(),
                        Field::Service,
                        Problem::Duplicate,
                    ));
                }
                Ok(entry) => {
                    converted.entries.insert(entry.service.clone(), entry);
                }
                Err(found) => faults.extend(found),
            }
        }
        for gateway in &catalogue.gateways {
            match HostName::new(gateway) {
                Ok(host) if converted.gateways.contains(&host) => {
                    faults.push(Fault::new(gateway, Field::Gateway, Problem::Duplicate));
                }
                Ok(host) => {
                    converted.gateways.insert(host);
                }
                Err(err) => faults.push(Fault::new(gateway, Field::Gateway, err)),
            }
        }
        faults.extend(converted.faults());
        if faults.is_empty() {
            return Ok(converted);
        }
        Err(faults)
    }

    /// Converts to the wire form, sorted by name.
    #[must_use]
    pub fn to_wire(&self) -> wire::catalogue::Catalogue {
        wire::catalogue::Catalogue {
            version: self.version,
            entries: self.entries.values().map(Entry::to_wire).collect(),
            gateways: self.gateways.iter().map(ToString::to_string).collect(),
        }
    }

    /// Checks rules that involve several entries: the numbers of services and gateways, and each
    /// gateway's share of the probe budgets.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let counts = [
            (Field::Service, self.entries.len(), MAX_ENTRIES),
            (Field::Gateway, self.gateways.len(), MAX_GATEWAYS),
        ];
        for (field, found, max) in counts {
            if found > max {
                faults.push(Fault::new("", field, Problem::TooMany(found, max)));
            }
        }
        let gateways = u32::try_from(self.gateways.len()).unwrap_or(u32::MAX);
        let too_small = |probes: u32| probes > 0 && probes < gateways;
        for entry in self.entries.values() {
            if too_small(entry.limits.probes) {
                let contradiction = Contradiction::ProbeBudgetTooSmall;
                let problem = Problem::Contradicts(contradiction);
                faults.push(Fault::new(entry.service.as_str(), Field::Probes, problem));
            }
        }
        faults
    }
}
