//! Reads the registry of nodes, which has a part for each zone.

use crate::costs::CostKind;
use crate::ports::{FeedMark, NodeUpdate, SourceError};
use crate::shared::FleetShared;

/// What a node has read of the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RegistryView {
    /// Nothing, or nothing that the store's history continues.
    Unread,
    /// The entries of its own zone, at a point in the store's history.
    Zone(FeedMark),
    /// The entries of all zones, up to a point in the store's history.
    Whole(FeedMark),
}

/// Reads the entries of one zone.
pub(crate) async fn read_zone(shared: &FleetShared, zone: &str) -> Result<NodeUpdate, SourceError> {
    shared.costs.count(CostKind::RegistryRead);
    shared.platform.nodes.read_zone(zone).await
}

/// Reads the entries of all other zones, after those of the own zone have been read at `mark`.
///
/// The result continues from that mark: what has changed in any zone since is sent again.
pub(crate) async fn read_other_zones(
    shared: &FleetShared,
    mark: FeedMark,
) -> Result<NodeUpdate, SourceError> {
    let settings = &shared.settings;
    let mut nodes = Vec::new();
    for zone in settings
        .regions
        .keys()
        .filter(|zone| **zone != settings.zone)
    {
        nodes.extend(read_zone(shared, zone).await?.nodes);
    }
    Ok(NodeUpdate { mark, nodes })
}
