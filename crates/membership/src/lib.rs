//! What the nodes of a fleet know of each other: who lives, and how much work is where.
//!
//! Nothing here opens a socket or reads a clock, and nothing knows of callers' requests. [`Membership`]
//! takes messages in, answers them and says whom to ask next; whoever holds it carries the messages.
//!
//! A few nodes of each zone are its *hubs*, by rank among those that live. Every other node reports to one
//! hub and gets back the sum of what all nodes told. Hubs of a zone tell each other, and one hub of a zone
//! speaks to one of each other zone. So a node's cost does not grow with the number of nodes, and no
//! agreement is needed: whoever is reported to acts as a hub.

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

pub use digest::{Digest, DigestOrigin, Heartbeat};
pub use gossip::{Gossip, GossipTarget, NodeStatus};
pub use membership::Membership;
pub use node::NodeEntry;
pub use rank::{node_hash, rank_of, RankKey};
pub use roster::{Roster, RosterDelta, RosterMember, RosterStatus, RosterVersion, MEMBER_TIMEOUT};
pub use view::{KeyHolders, LiveView, ReaderRole};
pub use wire::GossipDoc;
pub use work::{target_key, RequestCounts, TargetKey, WorkSum};
