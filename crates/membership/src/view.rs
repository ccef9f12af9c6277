//! The live nodes as traffic reads them: ranks and parts among them.

use std::sync::Arc;

use briarswitch_core::id::Moment;
use briarswitch_core::placement::NodeWeight;

use crate::membership::Membership;
use crate::node::NodeEntry;
use crate::rank::{bandwidth_rank, node_hash, rank_of, RankKey};

/// Requests in a second that every node is taken to see, so that one whose first callers come finds places.
const LEAST_ARRIVALS: f64 = 1.0;

/// Rank of the nodes that ask the store; any word does, if all nodes use the same.
const READER_RANK: &str = "feed";

/// A node's part in something that one node of a zone does for all.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReaderRole {
    /// The zone is so small that each does it for itself.
    Independent,
    /// This node does it.
    Reader,
    /// Others do it, the best first.
    Follower(Vec<Arc<NodeEntry>>),
}

/// The nodes that keep something for all.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolders {
    /// The holders but this node, the best first.
    pub others: Vec<Arc<NodeEntry>>,
    /// This node's place among the holders, zero for the best; `None` where it is none of them.
    pub own_rank: Option<usize>,
}

/// One live node.
#[derive(Clone, Debug)]
struct LiveMember {
    entry: Arc<NodeEntry>,
    hash: u64,
    request_rate: f64,
    is_same_zone: bool,
    reads_store: bool,
}

/// The live nodes at one moment, this one not included.
#[derive(Clone, Debug, Default)]
pub struct LiveView {
    own: NodeEntry,
    own_hash: u64,
    live: Vec<LiveMember>,
    zone_peers: u32,
    known: usize,
    composition: u64,
}

impl LiveView {
    /// Opens the view of a node that knows no other.
    ///
    /// ```
    /// use briarswitch_membership::{LiveView, NodeEntry};
    ///
    /// assert_eq!(LiveView::open(NodeEntry::default()).live_nodes(), 1);
    /// ```
    pub fn new(own: NodeEntry) -> Self {
        Self {
            own_hash: node_hash(&own.node),
            own,
            ..Self::default()
        }
    }

    /// Returns the view of what is known at `now`.
    pub fn from_membership(membership: &Membership, now: Moment) -> Self {
        let own = membership.own().clone();
        let members = membership.roster().members();
        let live = members.values().filter(|member| member.is_live(now));
        let live: Vec<LiveMember> = live
            .map(|member| LiveMember {
                entry: Arc::clone(&member.entry),
                hash: member.hash,
                request_rate: member.request_rate,
                is_same_zone: member.entry.zone == own.zone,
                reads_store: member.reads_store,
            })
            .collect();
        Self {
            composition: live.iter().fold(0, |sum, member| {
                let life = member.entry.incarnation.wrapping_mul(member.hash);
                sum ^ member.hash ^ life
            }),
            zone_peers: live.iter().filter(|member| member.is_same_zone).count() as u32,
            live,
            known: members.len(),
            ..Self::new(own)
        }
    }

    /// Returns a number that differs for other nodes, or other lives of them, whatever they see of callers.
    pub fn composition(&self) -> u64 {
        self.composition
    }

    /// Returns the number of nodes that live, this one included.
    pub fn live_nodes(&self) -> u32 {
        self.live.len() as u32 + 1
    }

    /// Returns the number of nodes that live in this node's zone, this one included.
    pub fn zone_nodes(&self) -> u32 {
        self.zone_peers + 1
    }

    /// Returns the number of nodes that are known, living or not, this one included.
    pub fn known_nodes(&self) -> usize {
        self.known + 1
    }

    /// Returns the live node that ranks first for something in `zone`; `None` where that is this node.
    ///
    /// Nodes of that zone go first, since a zone that is cut off has to do without the others; among them
    /// those with more bandwidth. The order is the same at all nodes that see each other.
    pub fn first_for(&self, thing: &str, zone: &str) -> Option<&Arc<NodeEntry>> {
        let thing = RankKey::from(thing);
        let rank = |entry: &NodeEntry, hash: u64| {
            let is_far = entry.zone != zone;
            (is_far, bandwidth_rank(entry, hash, thing))
        };
        let own = rank(&self.own, self.own_hash);
        let ranked = self
            .live
            .iter()
            .map(|member| (rank(&member.entry, member.hash), member));
        let first = ranked.min_by_key(|(rank, _)| *rank)?;
        (first.0 < own).then_some(&first.1.entry)
    }

    /// Returns the `count` live nodes that rank first for something, wherever they are.
    ///
    /// ```
    /// use briarswitch_membership::{LiveView, NodeEntry};
    ///
    /// let alone = LiveView::open(NodeEntry::default()).holders_of("thing", 2);
    /// assert_eq!(alone.own_place, Some(0));
    /// assert!(alone.others.is_empty());
    /// ```
    pub fn holders_of(&self, thing: &str, count: usize) -> KeyHolders {
        let thing = RankKey::from(thing);
        let others = self.live.iter();
        let others = others.map(|member| (rank_of(member.hash, thing), Some(&member.entry)));
        let mut ranked: Vec<_> = others.collect();
        ranked.push((rank_of(self.own_hash, thing), None));
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.truncate(count);
        KeyHolders {
            own_rank: ranked.iter().position(|(_, entry)| entry.is_none()),
            others: ranked
                .into_iter()
                .filter_map(|(_, entry)| entry.cloned())
                .collect(),
        }
    }

    /// Returns this node's part of what all live nodes ask, among ranks for something.
    pub fn weight_for(&self, thing: &str, own_arrivals: f64) -> NodeWeight {
        let thing = RankKey::from(thing);
        let own_rank = rank_of(self.own_hash, thing);
        let own = own_arrivals + LEAST_ARRIVALS;
        let mut weight = NodeWeight {
            own,
            total: own,
            ..NodeWeight::default()
        };
        for member in &self.live {
            let arrivals = member.request_rate + LEAST_ARRIVALS;
            weight.total += arrivals;
            if rank_of(member.hash, thing) < own_rank {
                weight.before += arrivals;
            }
        }
        weight
    }

    /// Returns this node's part in asking the store, which one node of a zone does for all.
    ///
    /// Who has lately been answered by the store goes on; where nobody has, those with more bandwidth go
    /// first. The `count` best are named, so that there is another when the first one fails.
    pub fn reader_role(&self, count: usize, least: u32, own_reads: bool) -> ReaderRole {
        if self.zone_nodes() < least {
            return ReaderRole::Independent;
        }
        let thing = RankKey::from(READER_RANK);
        let rank =
            |reads: bool, entry: &NodeEntry, hash| (!reads, bandwidth_rank(entry, hash, thing));
        let near = self.live.iter().filter(|member| member.is_same_zone);
        let mut ranked: Vec<_> = near
            .map(|member| {
                let rank = rank(member.reads_store, &member.entry, member.hash);
                (rank, &member.entry)
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let own = rank(own_reads, &self.own, self.own_hash);
        if ranked.first().is_none_or(|(first, _)| own < *first) {
            return ReaderRole::Reader;
        }
        let best = ranked.into_iter().take(count);
        ReaderRole::Follower(best.map(|(_, entry)| Arc::clone(entry)).collect())
    }
}
