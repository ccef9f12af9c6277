//! Immutable view of the live nodes for request handling: ranks, roles and weights.

use std::cmp::Reverse;
use std::sync::Arc;

use briarswitch_core::id::Moment;
use briarswitch_core::placement::NodeWeight;

use crate::membership::Membership;
use crate::node::NodeEntry;
use crate::rank::{bandwidth_rank, node_hash, rank_of, RankKey};

/// Requests per second added to every node's rate, so that a node without callers so far gets slots for its
/// first ones.
const MIN_REQUEST_RATE: f64 = 1.0;

/// Key by which the nodes that read the store are ranked; all nodes must use the same.
const READER_RANK_KEY: &str = "feed";

/// Role of a node in reading the store, which one node of a zone does for the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReaderRole {
    /// The zone has so few nodes that each reads for itself.
    Independent,
    /// This node reads for its zone.
    Reader,
    /// Other nodes read; the preferred one is first.
    Follower(Vec<Arc<NodeEntry>>),
}

impl ReaderRole {
    /// Returns the name of the role in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Independent => "independent",
            Self::Reader => "reader",
            Self::Follower(_) => "follower",
        }
    }
}

/// The nodes that hold the data of a key for the whole fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolders {
    /// The holders other than this node, by rank.
    pub others: Vec<Arc<NodeEntry>>,
    /// This node's rank among the holders, 0 for the first; `None` if it is not one of them.
    pub own_rank: Option<usize>,
}

/// A live node chosen by rank.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RankedNode {
    /// This node.
    Own,
    /// Another node.
    Peer(Arc<NodeEntry>),
}

/// A live node that reaches targets.
#[derive(Clone, Copy, Debug)]
pub struct ReachingPeer<'a> {
    /// Its entry.
    pub entry: &'a Arc<NodeEntry>,
    /// Whether it is in this node's zone.
    pub is_same_zone: bool,
    /// Hash of its name.
    pub hash: u64,
    /// Requests that it receives per second.
    pub request_rate: f64,
}

#[derive(Clone, Debug)]
struct LiveMember {
    entry: Arc<NodeEntry>,
    hash: u64,
    request_rate: f64,
    is_same_zone: bool,
    reads_store: bool,
    is_partitioned: bool,
}

/// The live nodes at one moment, without this node.
#[derive(Clone, Debug, Default)]
pub struct LiveView {
    own: NodeEntry,
    own_hash: u64,
    is_partitioned: bool,
    live: Vec<LiveMember>,
    zone_peers: u32,
    known_hashes: Vec<u64>,
    composition: u64,
}

impl LiveView {
    /// Creates the view of a node that knows no other.
    ///
    /// ```
    /// use briarswitch_membership::{LiveView, NodeEntry};
    ///
    /// assert_eq!(LiveView::new(NodeEntry::default()).live_nodes(), 1);
    /// ```
    pub fn new(own: NodeEntry) -> Self {
        Self {
            own_hash: node_hash(&own.node),
            own,
            ..Self::default()
        }
    }

    /// Creates the view of the nodes that are live at `now`.
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
                is_partitioned: member.is_partitioned,
            })
            .collect();
        Self {
            composition: live.iter().fold(0, |sum, member| {
                let mixed = member.entry.incarnation.wrapping_mul(member.hash);
                let partitioned = u64::from(member.is_partitioned) * member.hash.rotate_left(1);
                sum ^ member.hash ^ mixed ^ partitioned
            }) ^ u64::from(membership.is_partitioned),
            is_partitioned: membership.is_partitioned,
            zone_peers: live.iter().filter(|member| member.is_same_zone).count() as u32,
            live,
            known_hashes: members.values().map(|member| member.hash).collect(),
            ..Self::new(own)
        }
    }

    /// Returns a checksum of the live nodes, their incarnations and whether they reach targets, which does not depend
    /// on request rates.
    pub fn composition(&self) -> u64 {
        self.composition
    }

    /// Returns the number of live nodes, including this one.
    pub fn live_nodes(&self) -> u32 {
        self.live.len() as u32 + 1
    }

    /// Returns the number of live nodes in this node's zone, including this one.
    pub fn zone_nodes(&self) -> u32 {
        self.zone_peers + 1
    }

    /// Returns the number of known nodes, live or not, including this one.
    pub fn known_nodes(&self) -> usize {
        self.known_hashes.len() + 1
    }

    /// Returns this node's rank for a key among the known nodes, live or not.
    ///
    /// Unlike a rank among the live nodes, it does not change while nodes cannot see each other.
    ///
    /// ```
    /// use briarswitch_membership::{LiveView, NodeEntry};
    ///
    /// assert_eq!(LiveView::new(NodeEntry::default()).known_rank("target"), 0);
    /// ```
    pub fn known_rank(&self, key: &str) -> usize {
        let key = RankKey::from(key);
        let own_rank = rank_of(self.own_hash, key);
        let hashes = self.known_hashes.iter();
        hashes
            .filter(|hash| rank_of(**hash, key) < own_rank)
            .count()
    }

    /// Returns the live node that ranks first for a key in `zone`; `None` if that is this node.
    ///
    /// Nodes that reach targets come first; of these, nodes of that zone, since a zone that is cut off must not depend
    /// on other zones; next come nodes with more bandwidth. All nodes with the same live nodes compute the same order.
    pub fn first_for(&self, key: &str, zone: &str) -> Option<&Arc<NodeEntry>> {
        let key = RankKey::from(key);
        let own = self.own_rank(key, zone);
        let ranked = self
            .live
            .iter()
            .map(|member| (member.rank(key, zone), member));
        let first = ranked.min_by_key(|(rank, _)| *rank)?;
        (first.0 < own).then_some(&first.1.entry)
    }

    fn own_rank(&self, key: RankKey, zone: &str) -> ZoneRank {
        let is_remote = self.own.zone != zone;
        let rank = bandwidth_rank(&self.own, self.own_hash, key);
        (self.is_partitioned, is_remote, rank)
    }

    /// Returns the live nodes that are not partitioned from all targets, without this node.
    ///
    /// ```
    /// use briarswitch_membership::{LiveView, NodeEntry};
    ///
    /// assert_eq!(LiveView::new(NodeEntry::default()).reaching().count(), 0);
    /// ```
    pub fn reaching(&self) -> impl Iterator<Item = ReachingPeer<'_>> {
        let reaching = self.live.iter().filter(|member| !member.is_partitioned);
        reaching.map(|member| ReachingPeer {
            entry: &member.entry,
            is_same_zone: member.is_same_zone,
            hash: member.hash,
            request_rate: member.request_rate,
        })
    }

    /// Returns the number of live nodes in this node's zone that are partitioned from all targets, this one included.
    pub fn partitioned_in_zone(&self) -> usize {
        let members = self.live.iter();
        let near = members.filter(|member| member.is_same_zone && member.is_partitioned);
        near.count() + usize::from(self.is_partitioned)
    }

    /// Returns whether the node whose name has this [hash](crate::node_hash) is live.
    pub fn is_live(&self, node_hash: u64) -> bool {
        self.live.iter().any(|member| member.hash == node_hash)
    }

    /// Returns whether this node ranks first for a key in `zone`, as [`first_for`](Self::first_for) defines it.
    ///
    /// For nearly all nodes one of the next few members decides that, so that the cost does not follow the number of
    /// nodes.
    ///
    /// ```
    /// use briarswitch_membership::{LiveView, NodeEntry};
    ///
    /// assert!(LiveView::new(NodeEntry::default()).is_first_for("domain", "z1"));
    /// ```
    pub fn is_first_for(&self, key: &str, zone: &str) -> bool {
        let key = RankKey::from(key);
        let own = self.own_rank(key, zone);
        !self.live.iter().any(|member| member.rank(key, zone) < own)
    }

    /// Returns the `count` live nodes that rank first for a key, in any zone.
    ///
    /// ```
    /// use briarswitch_membership::{LiveView, NodeEntry};
    ///
    /// let alone = LiveView::new(NodeEntry::default()).holders_of("key", 2);
    /// assert_eq!(alone.own_rank, Some(0));
    /// assert!(alone.others.is_empty());
    /// ```
    pub fn holders_of(&self, key: &str, count: usize) -> KeyHolders {
        let key = RankKey::from(key);
        let others = self.live.iter();
        let others = others.map(|member| (rank_of(member.hash, key), Some(&member.entry)));
        let mut ranked: Vec<_> = others.collect();
        ranked.push((rank_of(self.own_hash, key), None));
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

    /// Returns the node that coordinates the queue with this key: of all live nodes that reach targets, the one that
    /// ranks first by bandwidth, in any zone. `None` if no node reaches targets.
    ///
    /// ```
    /// use briarswitch_membership::{LiveView, NodeEntry, RankedNode};
    ///
    /// let alone = LiveView::new(NodeEntry::default());
    /// assert_eq!(alone.coordinator_for("queue/lm/m0"), Some(RankedNode::Own));
    /// ```
    pub fn coordinator_for(&self, key: &str) -> Option<RankedNode> {
        let key = RankKey::from(key);
        let reaching = self.live.iter().filter(|member| !member.is_partitioned);
        let peers = reaching.map(|member| {
            let rank = bandwidth_rank(&member.entry, member.hash, key);
            (rank, Some(&member.entry))
        });
        let own_rank = bandwidth_rank(&self.own, self.own_hash, key);
        let own = (!self.is_partitioned).then_some((own_rank, None));
        let (_, first) = peers.chain(own).min_by_key(|(rank, _)| *rank)?;
        Some(first.map_or(RankedNode::Own, |entry| RankedNode::Peer(Arc::clone(entry))))
    }

    /// Returns this node's request rate, that of all live nodes, and that of the nodes that rank before it for a
    /// key.
    pub fn weight_for(&self, key: &str, own_request_rate: f64) -> NodeWeight {
        let key = RankKey::from(key);
        let own_rank = rank_of(self.own_hash, key);
        let own = own_request_rate + MIN_REQUEST_RATE;
        let mut weight = NodeWeight {
            own,
            total: own,
            ..NodeWeight::default()
        };
        for member in &self.live {
            let request_rate = member.request_rate + MIN_REQUEST_RATE;
            weight.total += request_rate;
            if rank_of(member.hash, key) < own_rank {
                weight.before += request_rate;
            }
        }
        weight
    }

    /// Returns this node's role in reading the store; every node reads for itself in a zone with fewer than
    /// `min_nodes` live nodes.
    ///
    /// Nodes that recently received a response from the store come first, then those with more bandwidth. A follower gets
    /// the `count` first nodes, so that it can use another one when the first fails.
    pub fn reader_role(&self, count: usize, min_nodes: u32, own_reads: bool) -> ReaderRole {
        if self.zone_nodes() < min_nodes {
            return ReaderRole::Independent;
        }
        let key = RankKey::from(READER_RANK_KEY);
        let rank =
            |reads: bool, entry: &NodeEntry, hash| (!reads, bandwidth_rank(entry, hash, key));
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

/// Rank of a node for a task in a zone: whether it is partitioned from all targets, whether it is in another zone, and
/// its rank by bandwidth.
type ZoneRank = (bool, bool, (Reverse<u32>, u64));

impl LiveMember {
    fn rank(&self, key: RankKey, zone: &str) -> ZoneRank {
        let is_remote = self.entry.zone != zone;
        let rank = bandwidth_rank(&self.entry, self.hash, key);
        (self.is_partitioned, is_remote, rank)
    }
}
