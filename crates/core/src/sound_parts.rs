//! Parts of prompts with which requests were served a short while ago.

use std::time::Duration;

use indexmap::IndexSet;

use crate::fingerprint::SuspectFingerprint;
use crate::id::Moment;
use crate::run_suspects::RunSuspects;

/// Time for which a part counts as sound at least; at most twice as long.
const GENERATION_TIME: Duration = Duration::from_secs(5);
/// Maximum number of parts in one of the two generations.
const MAX_GENERATION_PARTS: usize = 4_096;

/// Parts with which runs ended with a complete response.
///
/// A part that crashes each target which responds to it is never among them, unlike parts that all requests share.
#[derive(Clone, Debug, Default)]
pub struct SoundParts {
    current: IndexSet<SuspectFingerprint>,
    previous: IndexSet<SuspectFingerprint>,
    rotated_at: Moment,
    has_completed: bool,
}

impl SoundParts {
    /// Records a run that ended with a complete response.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    /// use briarswitch_core::run_suspects::RunSuspects;
    /// use briarswitch_core::sound_parts::SoundParts;
    ///
    /// let part = SuspectFingerprint::of_part("a");
    /// let run = RunSuspects::new(SuspectFingerprint::from([1; 16]), [part].into_iter());
    /// let mut parts = SoundParts::default();
    /// parts.record(&run, Duration::from_secs(1));
    /// assert!(parts.contains(&part, Duration::from_secs(2)));
    /// assert!(!parts.contains(&part, Duration::from_secs(20)));
    /// ```
    pub fn record(&mut self, run: &RunSuspects, now: Moment) {
        self.has_completed = true;
        self.rotate(now);
        self.current.extend(run.parts());
    }

    /// Returns whether a run with the part ended with a complete response a short while ago.
    pub fn contains(&mut self, part: &SuspectFingerprint, now: Moment) -> bool {
        self.rotate(now);
        self.current.contains(part) || self.previous.contains(part)
    }

    /// Returns to which of a run's suspects the crash of its target can be put down.
    ///
    /// Not to a part with which another run ended with a complete response a short while ago, and to no part before any
    /// run has: until then, nothing tells a part that crashes targets from those that all requests share.
    pub fn blamed(&mut self, run: &RunSuspects, now: Moment) -> Vec<SuspectFingerprint> {
        let has_completed = self.has_completed;
        let parts = run.parts().iter();
        let parts = parts.filter(|part| has_completed && !self.contains(part, now));
        std::iter::once(run.request())
            .chain(parts)
            .copied()
            .collect()
    }

    fn rotate(&mut self, now: Moment) {
        let age = now.saturating_sub(self.rotated_at);
        if age >= GENERATION_TIME * 2 {
            self.current.clear();
        }
        if age >= GENERATION_TIME || self.current.len() >= MAX_GENERATION_PARTS {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
    }
}
