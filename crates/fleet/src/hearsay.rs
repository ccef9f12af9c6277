//! What other nodes told, near ones each for itself and far ones in digests of their zones.
//!
//! Every node hears every node of its own zone. Of another zone it hears one node, which tells what it
//! knows of all of that zone; were all pairs to talk, the exchange of 71 nodes would carry ten times
//! the bytes between zones.

use std::time::Duration;

use briarswitch_core::id::*;
use indexmap::{IndexMap, IndexSet};

use crate::note::{NodeWork, PeerNote, ZoneDigest};
use crate::shared::PEER_SILENCE;

/// Notes and digests with the moment from which they are at the latest.
#[derive(Debug, Default)]
pub struct HearsayBook {
    near: IndexMap<NodeId, (PeerNote, Moment)>,
    far: IndexMap<ZoneId, (ZoneDigest, Moment)>,
}

impl HearsayBook {
    /// Takes in the note of a node of the own zone.
    pub fn hear_near(&mut self, note: PeerNote, at: Moment) {
        self.near.insert(note.node.clone(), (note, at));
    }

    /// Takes in the digest of another zone; an older one than is held changes nothing.
    pub fn hear_zone(&mut self, digest: ZoneDigest, at: Moment) {
        let held = self.far.get(&digest.zone);
        if held.is_none_or(|(_, before)| *before <= at) {
            self.far.insert(digest.zone.clone(), (digest, at));
        }
    }

    /// Returns the work of all other nodes that was told lately.
    pub fn work(&self, now: Moment) -> NodeWork {
        let mut sum = NodeWork::default();
        for note in self.fresh_notes(now) {
            sum.add(&note.work);
        }
        let far = self
            .far
            .values()
            .filter(|(_, at)| now <= *at + PEER_SILENCE);
        for (digest, _) in far {
            sum.add(&digest.work);
        }
        sum
    }

    /// Returns what is known of the own zone, whose node `own` speaks.
    pub fn digest(&self, zone: &str, own: &PeerNote, now: Moment) -> ZoneDigest {
        let mut digest = ZoneDigest {
            zone: zone.to_owned(),
            members: vec![own.sign(Duration::ZERO)],
            work: own.work.clone(),
            suspects: Vec::new(),
        };
        let mut suspects: IndexSet<&TargetId> = own.suspects.iter().collect();
        for (note, at) in self
            .near
            .values()
            .filter(|(_, at)| now <= *at + PEER_SILENCE)
        {
            digest.members.push(note.sign(now.saturating_sub(*at)));
            digest.work.add(&note.work);
            suspects.extend(&note.suspects);
        }
        digest.suspects = suspects.into_iter().cloned().collect();
        digest
    }

    fn fresh_notes(&self, now: Moment) -> impl Iterator<Item = &PeerNote> {
        let fresh = self.near.values();
        fresh
            .filter(move |(_, at)| now <= *at + PEER_SILENCE)
            .map(|(note, _)| note)
    }
}
