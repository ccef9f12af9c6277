//! Data residency: the regions in which a request may be processed.

use indexmap::IndexSet;

use crate::id::RegionId;

/// Regions in which a request may be processed.
///
/// ```
/// use briarswitch_core::residency::AllowedRegions;
///
/// let rule = AllowedRegions::of(["eu".to_owned(), "uk".to_owned()]);
/// let organisation = AllowedRegions::of(["uk".to_owned()]);
/// let both = rule.intersection(&organisation);
/// assert!(both.allows(Some("uk")) && !both.allows(Some("eu")));
/// assert!(!both.allows(None));
/// assert!(AllowedRegions::default().allows(None));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AllowedRegions {
    /// `None` if any region is allowed.
    regions: Option<IndexSet<RegionId>>,
}

impl AllowedRegions {
    /// Allows the listed regions, or any region if none is listed.
    pub fn of(regions: impl IntoIterator<Item = RegionId>) -> Self {
        let regions: IndexSet<RegionId> = regions.into_iter().collect();
        Self {
            regions: (!regions.is_empty()).then_some(regions),
        }
    }

    /// Returns the regions that both allow, which may be none.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(left), Some(right)) => Some(left.intersection(right).cloned().collect()),
            (one, None) | (None, one) => one.clone(),
        };
        Self { regions }
    }

    /// Returns whether a request may be processed in a region; one that is not known is allowed
    /// only if any region is.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match &self.regions {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Returns whether any region is allowed.
    pub fn is_any(&self) -> bool {
        self.regions.is_none()
    }
}
