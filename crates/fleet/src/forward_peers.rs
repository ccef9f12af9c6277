//! Chooses the nodes to which requests are forwarded.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId};
use briarswitch_core::residency::AllowedRegions;
use briarswitch_membership::{LiveView, NodeEntry, ReachingPeer};

use crate::shared::FleetShared;

/// Time for which a node that did not take a request gets none if there are others; several gossip messages, which may
/// then say why.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// What is known of a node to which requests were forwarded.
#[derive(Debug, Default)]
struct PeerState {
    in_flight: Arc<AtomicU32>,
    avoided_until: Moment,
}

/// Chooses nodes and counts the requests that were forwarded to each.
pub struct ForwardPeers {
    shared: Arc<FleetShared>,
    states: Mutex<HashMap<NodeId, PeerState>>,
}

/// A node to which a request is forwarded; the request counts until this is dropped.
#[derive(Debug)]
pub struct ChosenPeer {
    /// Its entry.
    pub entry: Arc<NodeEntry>,
    /// Hash of its name.
    pub hash: u64,
    in_flight: Arc<AtomicU32>,
}

impl Drop for ChosenPeer {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ForwardPeers {
    /// Creates a chooser among the live nodes.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            states: Mutex::default(),
        }
    }

    /// Chooses a node that reaches targets and lies in a region where a request may be processed.
    ///
    /// The nodes of this node's zone are preferred by the first try if they outnumber those there which need help:
    /// otherwise each of them would get the requests of several nodes. Of two nodes drawn, the one with less to do is
    /// chosen, since all partitioned nodes choose at the same moment.
    pub fn choose(
        &self,
        allowed_regions: &AllowedRegions,
        tries: usize,
        now: Moment,
    ) -> Option<ChosenPeer> {
        let live_view = self.shared.live_view.load();
        let mut states = self.lock();
        let is_avoided = |peer: &ReachingPeer<'_>| {
            let state = states.get(&peer.entry.node);
            state.is_some_and(|state| now < state.avoided_until)
        };
        let permitted = live_view
            .reaching()
            .filter(|peer| self.may_process(allowed_regions, peer.entry));
        let (avoided, eligible): (Vec<ReachingPeer<'_>>, Vec<ReachingPeer<'_>>) =
            permitted.partition(is_avoided);
        let eligible = if eligible.is_empty() {
            avoided
        } else {
            near_first(&live_view, eligible, tries)
        };
        let load = |peer: &ReachingPeer<'_>| {
            let state = states.get(&peer.entry.node);
            let in_flight = state.map_or(0, |state| state.in_flight.load(Ordering::Relaxed));
            f64::from(in_flight) + peer.request_rate
        };
        let drawn = draw(eligible.len())?;
        let [first, second] = drawn.map(|index| eligible[index]);
        let chosen = if load(&second) < load(&first) {
            second
        } else {
            first
        };
        let state = states.entry(chosen.entry.node.clone()).or_default();
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        Some(ChosenPeer {
            entry: Arc::clone(chosen.entry),
            hash: chosen.hash,
            in_flight: Arc::clone(&state.in_flight),
        })
    }

    /// Forwards no requests to a node for a while.
    pub fn avoid(&self, node: &NodeId, now: Moment) {
        let mut states = self.lock();
        let state = states.entry(node.clone()).or_default();
        state.avoided_until = now + AVOID_TIME;
    }

    /// Returns whether a request may be sent to a node; it has already reached this node's zone.
    fn may_process(&self, allowed_regions: &AllowedRegions, entry: &NodeEntry) -> bool {
        let settings = &self.shared.settings;
        let region = settings.regions.get(&entry.zone).map(String::as_str);
        allowed_regions.is_any() || entry.zone == settings.zone || allowed_regions.allows(region)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, PeerState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Leaves only the nodes of this node's zone in the list if they can bear the requests of those that need help there.
fn near_first<'a>(
    live_view: &LiveView,
    eligible: Vec<ReachingPeer<'a>>,
    tries: usize,
) -> Vec<ReachingPeer<'a>> {
    let near: Vec<ReachingPeer<'_>> = eligible
        .iter()
        .filter(|peer| peer.is_same_zone)
        .copied()
        .collect();
    if tries == 0 && !near.is_empty() && near.len() >= live_view.partitioned_in_zone() {
        near
    } else {
        eligible
    }
}

/// Returns two random indices below `length`, different ones if possible; `None` if there is none.
fn draw(length: usize) -> Option<[usize; 2]> {
    if length == 0 {
        return None;
    }
    let first = rand::random_range(0..length);
    let second = (first + rand::random_range(0..length.max(2) - 1) + 1) % length;
    Some([first, second])
}
