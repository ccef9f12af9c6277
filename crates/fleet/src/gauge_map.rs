//! The gauges of all targets, and how well this node hears them together.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use briarswitch_core::id::{Moment, TargetId};
use briarswitch_core::speed::SpeedReport;
use briarswitch_core::stated_limit::LimitReport;
use briarswitch_membership::RequestCounts;
use indexmap::IndexSet;

use crate::gauge::TargetGauge;
use crate::micros::micros;

/// Time since the last bytes within which a target counts as heard.
const RECENTLY_HEARD_TIME: Duration = Duration::from_secs(1);

/// How well a node hears the targets, which tells failures of single targets from a partition of the node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetContact {
    /// Time since bytes last arrived from any target; `None` if none have.
    pub silence: Option<Duration>,
    /// Number of targets heard within the last second.
    pub heard: u32,
    /// Number of targets at which this node has requests.
    pub awaited: u32,
}

/// The gauges of all targets, shared by the control thread and the traffic threads.
#[derive(Debug, Default)]
pub struct GaugeMap {
    gauges: RwLock<HashMap<TargetId, Arc<TargetGauge>>>,
    any_heard_at: Arc<AtomicU64>,
}

impl GaugeMap {
    /// Returns a target's gauge, which is created if it does not exist.
    pub fn get(&self, target: &str) -> Arc<TargetGauge> {
        if let Some(gauge) = self.read().get(target) {
            return Arc::clone(gauge);
        }
        let mut gauges = self.gauges.write().unwrap_or_else(PoisonError::into_inner);
        let gauge = gauges.entry(target.to_owned());
        let new = || TargetGauge::new(target, Arc::clone(&self.any_heard_at));
        Arc::clone(gauge.or_insert_with(|| Arc::new(new())))
    }

    /// Returns the number of this node's requests by target, without targets that have none.
    pub fn local_loads(&self) -> RequestCounts {
        let gauges = self.read();
        let loads = gauges
            .values()
            .map(|gauge| (gauge.key(), gauge.local_requests()));
        loads.filter(|(_, requests)| *requests > 0).collect()
    }

    /// Returns the targets that this node itself suspects.
    pub fn local_suspects(&self, now: Moment) -> Vec<TargetId> {
        let gauges = self.read();
        let suspects = gauges
            .iter()
            .filter(|(_, gauge)| gauge.is_locally_suspect(now));
        suspects.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the targets that this or another node suspects.
    pub fn all_suspects(&self, now: Moment) -> IndexSet<TargetId> {
        let gauges = self.read();
        let suspects = gauges.iter().filter(|(_, gauge)| gauge.is_suspect(now));
        suspects.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the time since bytes last arrived from any target.
    pub fn silence(&self, now: Moment) -> Duration {
        let heard_at = self.any_heard_at.load(Ordering::Relaxed);
        Duration::from_micros(micros(now).saturating_sub(heard_at))
    }

    fn is_any_heard(&self) -> bool {
        self.any_heard_at.load(Ordering::Relaxed) > 0
    }

    /// Returns the number of targets that have requests of this node and have been silent for `time`.
    pub fn silent_targets(&self, time: Duration, now: Moment) -> usize {
        let gauges = self.read();
        let awaited = gauges.values().filter(|gauge| gauge.local_requests() > 0);
        awaited.filter(|gauge| gauge.silence(now) >= time).count()
    }

    /// Returns how well this node hears the targets.
    pub fn contact(&self, now: Moment) -> TargetContact {
        let mut contact = TargetContact {
            silence: self.is_any_heard().then(|| self.silence(now)),
            ..TargetContact::default()
        };
        for gauge in self.read().values() {
            contact.awaited += u32::from(gauge.local_requests() > 0);
            let silence = gauge.time_since_heard(now);
            let is_heard = silence.is_some_and(|silence| silence < RECENTLY_HEARD_TIME);
            contact.heard += u32::from(is_heard);
        }
        contact
    }

    /// Returns what this node has recently heard itself about the limits of targets.
    pub fn limit_reports(&self, now: Moment) -> Vec<LimitReport> {
        let gauges = self.read();
        let reports = gauges.iter().filter_map(|(target, gauge)| {
            let (limit, age) = gauge.statements().limit_report(now)?;
            Some(LimitReport {
                target: target.clone(),
                limit,
                age,
            })
        });
        reports.collect()
    }

    /// Returns what this node reports about the speed of targets.
    pub fn speed_reports(&self, now: Moment) -> Vec<SpeedReport> {
        let gauges = self.read();
        let reports = gauges.iter().filter_map(|(target, gauge)| {
            let (ratio, age) = gauge.speed().report(now)?;
            Some(SpeedReport {
                target: target.clone(),
                ratio,
                age,
            })
        });
        reports.collect()
    }

    /// Calls `visit` for each gauge.
    pub fn for_each(&self, mut visit: impl FnMut(&TargetGauge)) {
        for gauge in self.read().values() {
            visit(gauge);
        }
    }

    /// Removes the gauges that `keep` rejects, except those with requests of this node and those of targets that said
    /// something of themselves, whose entries may be back before that ends.
    pub fn retain(&self, now: Moment, keep: impl Fn(&str) -> bool) {
        let mut gauges = self.gauges.write().unwrap_or_else(PoisonError::into_inner);
        gauges.retain(|id, gauge| {
            gauge.local_requests() > 0 || gauge.statements().is_any_in_force(now) || keep(id)
        });
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, HashMap<TargetId, Arc<TargetGauge>>> {
        self.gauges.read().unwrap_or_else(PoisonError::into_inner)
    }
}
