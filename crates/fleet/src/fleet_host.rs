//! The memory of requests under which targets have ended, where targets are found through the platform.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::print::RequestPrint;
use briarswitch_membership::ThingHolders;
use futures::future::BoxFuture;

use crate::costs::CostKind;
use crate::ports::{FeedAnswer, FeedMark, ReportError, SourceFuture, SuspectRegistry};
use crate::run_facts::{RunFacts, TargetLife};
use crate::shared::FleetShared;
use crate::suspect_host::{CrashCount, Liveness, SuspectEvent, SuspectHost};
use crate::suspect_ledger::SuspectLedger;

impl SuspectHost for FleetShared {
    fn suspects(&self) -> &SuspectLedger {
        &self.suspects
    }

    fn registry(&self) -> &dyn SuspectRegistry {
        self.platform.suspects.as_ref()
    }

    fn changes(
        self: Arc<Self>,
        mark: Option<FeedMark>,
        wait: Duration,
    ) -> SourceFuture<'static, FeedAnswer> {
        Box::pin(async move {
            let table = self.platform.suspects.table();
            Self::changes(&self, table, mark, wait).await
        })
    }

    fn holders_of(&self, print: &RequestPrint, count: usize) -> ThingHolders {
        self.live.read().holders_of(&print.to_string(), count)
    }

    fn probe<'a>(
        &'a self,
        facts: &'a RunFacts,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Liveness, ReportError>> {
        Box::pin(async move {
            let targets = &self.platform.targets;
            let (target, address) = (&facts.life.target, &facts.address);
            // A single target has nothing to say of itself, but it listens or not.
            if facts.group.is_empty() {
                let reached = targets.reach(address, limit).await;
                return reached.map(|()| Liveness::Listening);
            }
            let report = targets.report(target, address, limit).await?;
            let is_same = report.incarnation == facts.life.incarnation;
            is_same.then_some(Liveness::Alive).ok_or(ReportError::Gone)
        })
    }

    fn is_listed(&self, life: &TargetLife) -> bool {
        let directory = self.directory.load();
        let record = directory.book.targets().get(&life.target);
        record.is_some_and(|record| record.incarnation == life.incarnation)
    }

    fn crash_count(&self) -> CrashCount {
        let directory = self.directory.load();
        CrashCount {
            crashes: directory.book.ended(),
            targets: directory.book.targets().len(),
        }
    }

    fn exclude_target(&self, target: &TargetId, until: Moment) {
        self.gauges.of(target).suspect(until);
    }

    fn count(&self, event: SuspectEvent) {
        match event {
            SuspectEvent::TargetProbed => self.costs.count(CostKind::EndChecked),
            SuspectEvent::CrashReported => self.costs.count(CostKind::EndTold),
            SuspectEvent::RowsWritten => self.costs.count(CostKind::SuspectWrite),
            SuspectEvent::TargetCrashed(proof) => self.metrics.count_target_end(proof.name()),
            SuspectEvent::QuarantineStarted => self.metrics.count_quarantine(),
        }
    }
}
