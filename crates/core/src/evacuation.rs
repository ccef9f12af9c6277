//! Zone evacuation: zones whose targets get no new requests on the operator's demand.

use indexmap::IndexSet;

use crate::id::ZoneId;

/// What a response of the store says about evacuations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationUpdate {
    /// All zones that are under evacuation.
    Snapshot(IndexSet<ZoneId>),
    /// Changes in the order in which the operator made them.
    Changes(Vec<EvacuationChange>),
}

/// One change by the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// The zone's targets get no new requests.
    Begun(ZoneId),
    /// The zone's targets may be used again.
    Ended(ZoneId),
}

/// The zones under evacuation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuatedZones {
    zones: IndexSet<ZoneId>,
}

impl EvacuatedZones {
    /// Returns whether a zone's targets get no new requests.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the zones by name.
    pub fn zones(&self) -> &IndexSet<ZoneId> {
        &self.zones
    }

    /// Returns the zones after an update.
    ///
    /// ```
    /// use briarswitch_core::evacuation::{EvacuatedZones, EvacuationChange, EvacuationUpdate};
    ///
    /// let begun = EvacuationUpdate::Changes(vec![EvacuationChange::Begun("z1".into())]);
    /// let zones = EvacuatedZones::default().updated(begun);
    /// assert!(zones.contains("z1"));
    /// let all = EvacuationUpdate::Snapshot(["z2".to_owned()].into());
    /// assert!(!zones.updated(all).contains("z1"));
    /// ```
    pub fn updated(&self, update: EvacuationUpdate) -> Self {
        let changes = match update {
            EvacuationUpdate::Snapshot(zones) => return Self { zones },
            EvacuationUpdate::Changes(changes) => changes,
        };
        let mut zones = self.zones.clone();
        for change in changes {
            match change {
                EvacuationChange::Begun(zone) => zones.insert(zone),
                EvacuationChange::Ended(zone) => zones.shift_remove(&zone),
            };
        }
        Self { zones }
    }

    /// Returns the zones that are under evacuation here but not in `later`.
    pub fn ended_in<'a>(&'a self, later: &'a Self) -> impl Iterator<Item = &'a ZoneId> {
        self.zones.iter().filter(|zone| !later.contains(zone))
    }
}
