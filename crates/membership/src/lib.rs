//! Membership of a fleet by gossip: which nodes are live, and how much work each target has.
//!
//! Nothing here opens a socket, reads a clock or depends on callers' requests. [`Membership`] merges
//! messages, responds to them and returns the messages that are due; its owner sends and receives them.
//!
//! The live nodes of a zone that rank first are its *hubs*. Every other node reports to one hub, which
//! responds with the sum over all nodes. The hubs of a zone exchange digests with each other, and for each
//! other zone one of them exchanges digests with a hub there. The cost of a node therefore does not grow with
//! the number of nodes. No agreement on the hubs is needed: a node that receives reports acts as a hub.

mod digest;
mod gossip;
mod membership;
mod node;
mod rank;
mod roster;
mod schedule;
mod sums;
mod view;
mod wire;
mod work;

pub use digest::{Digest, DigestOrigin, Heartbeat, MAX_LIMIT_REPORTS, MAX_SPEED_REPORTS};
pub use gossip::{Gossip, GossipTarget, NodeStatus};
pub use membership::Membership;
pub use node::NodeEntry;
pub use rank::{node_hash, rank_of, RankKey};
pub use roster::{Roster, RosterDelta, RosterMember, RosterStatus, RosterVersion, MEMBER_TIMEOUT};
pub use view::{KeyHolders, LiveView, RankedNode, ReachingPeer, ReaderRole};
pub use wire::GossipDoc;
pub use work::{target_key, RequestCounts, TargetKey, WorkSum};
