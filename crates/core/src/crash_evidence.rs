//! Weighs the crashes put down to one request or part of prompts.

use std::time::Duration;

use crate::crash_report::{CrashReport, StoreMillis};

/// Minimum number of crashes for a quarantine.
pub const MIN_CRASHES: usize = 3;
/// Number of crashes after which a request is quarantined regardless of the crash rate of targets.
const CERTAIN_CRASHES: usize = 5;
/// Probability of coincidence below which a request is quarantined; this is the expected share of
/// harmless requests, among those present at as many crashes, that are quarantined wrongly.
const QUARANTINE_CHANCE: f64 = 1e-3;
/// Probability of coincidence below which two crashes are reported to all nodes.
const SUSPECT_CHANCE: f64 = 1e-2;
/// Time for which a crash is remembered; within it, a request that is not quarantined can crash at
/// most `MIN_CRASHES` less one targets.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Crashes in one domain within this time have the same cause.
const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Crashes within this time have the same cause for a part of prompts, wherever they are: a part runs at many targets, and
/// many targets can be lost at once.
const SAME_PART_CAUSE_WINDOW: Duration = Duration::from_millis(50);
/// Time from the crash that decides against a part until it is quarantined, in which any node can object that requests
/// with it were served.
const OBJECTION_TIME: Duration = Duration::from_secs(1);

/// Merges crashes that have the same cause; `crashes` must be in order of time.
pub(crate) fn merge_same_cause(crashes: &[CrashReport]) -> Vec<CrashReport> {
    let mut causes: Vec<CrashReport> = Vec::new();
    for crash in crashes {
        let near = |known: &&mut CrashReport| {
            let gap = Duration::from_millis(crash.at.saturating_sub(known.at));
            if crash.fingerprint.is_part() {
                return gap < SAME_PART_CAUSE_WINDOW;
            }
            known.domain == crash.domain && gap < SAME_CAUSE_WINDOW
        };
        match causes.iter_mut().find(near) {
            Some(known) => known.chance_permille = known.chance_permille.max(crash.chance_permille),
            None => causes.push(*crash),
        }
    }
    causes
}

/// Returns the probability that all of these crashes are coincidences, by Fisher's method.
///
/// Among many requests, some are present by chance at several crashes early in their runs. The
/// plain product of the probabilities falls below a threshold far more often than the threshold
/// says; the combined significance does not.
fn coincidence_probability(causes: &[CrashReport]) -> f64 {
    let product: f64 = causes.iter().map(CrashReport::probability).product();
    let surprise = -product.ln();
    let mut term = 1.0;
    let mut sum = 0.0;
    for count in 1..=causes.len() {
        sum += term;
        term *= surprise / count as f64;
    }
    product * sum
}

/// Returns whether crashes are more than a coincidence.
pub(crate) fn is_quarantined(crashes: &[CrashReport]) -> bool {
    let causes = merge_same_cause(crashes);
    causes.len() >= CERTAIN_CRASHES
        || (causes.len() >= MIN_CRASHES && coincidence_probability(&causes) <= QUARANTINE_CHANCE)
}

/// Returns whether crashes are more than coincidence explains well.
pub(crate) fn is_suspect(crashes: &[CrashReport]) -> bool {
    let causes = merge_same_cause(crashes);
    causes.len() >= 2 && coincidence_probability(&causes) <= SUSPECT_CHANCE
}

/// Returns how long a request or part with these crashes stays quarantined: until enough of them have expired.
pub(crate) fn quarantine_remaining(crashes: &[CrashReport], now: StoreMillis) -> Option<Duration> {
    if !is_quarantined(crashes) || is_open_to_objection(crashes, now) {
        return None;
    }
    let last = (0..crashes.len()).take_while(|first| is_quarantined(&crashes[*first..]));
    let at = crashes[last.last()?].at;
    let until = at + CRASH_RETENTION.as_millis() as StoreMillis;
    Some(Duration::from_millis(until.saturating_sub(now)))
}

/// Returns whether nodes may still object to the quarantine of a part.
fn is_open_to_objection(crashes: &[CrashReport], now: StoreMillis) -> bool {
    if !crashes.iter().any(|crash| crash.fingerprint.is_part()) {
        return false;
    }
    let mut prefixes = (1..=crashes.len()).map(|count| &crashes[..count]);
    let decisive = prefixes.find(|prefix| is_quarantined(prefix));
    let decisive = decisive.and_then(<[CrashReport]>::last);
    decisive.is_some_and(|crash| now < crash.at + OBJECTION_TIME.as_millis() as StoreMillis)
}

/// Returns whether a report made at `at` no longer counts at `now`.
///
/// ```
/// use briarswitch_core::crash::is_expired;
///
/// assert!(!is_expired(1_000, 2_000));
/// assert!(is_expired(1_000, 601_000));
/// ```
pub fn is_expired(at: StoreMillis, now: StoreMillis) -> bool {
    now >= at + CRASH_RETENTION.as_millis() as StoreMillis
}
