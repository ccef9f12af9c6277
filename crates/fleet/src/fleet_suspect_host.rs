//! Connects the tracking of requests that crash targets to a node that finds its targets through the platform.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::fingerprint::SuspectFingerprint;
use briarswitch_core::id::*;
use briarswitch_kernel::BootClock;
use briarswitch_membership::KeyHolders;
use futures::future::BoxFuture;

use crate::costs::CostKind;
use crate::ports::{FeedMark, FeedResponse, ReportError, SourceFuture, SuspectRegistry};
use crate::run_info::{RunInfo, TargetIncarnation};
use crate::shared::FleetShared;
use crate::suspect_host::{CrashCount, Liveness, SuspectEvent, SuspectHost};
use crate::suspect_ledger::SuspectLedger;

/// Time after a refused connection within which other targets are heard if this node reaches them.
const REFUSAL_DOUBT_TIME: Duration = Duration::from_millis(120);

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
    ) -> SourceFuture<'static, FeedResponse> {
        Box::pin(async move {
            let table = self.platform.suspects.table();
            Self::changes(&self, table, mark, wait).await
        })
    }

    fn holders_of(&self, fingerprint: &SuspectFingerprint, count: usize) -> KeyHolders {
        self.live_view
            .read()
            .holders_of(&fingerprint.to_string(), count)
    }

    fn probe_once<'a>(
        &'a self,
        run: &'a RunInfo,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Liveness, ReportError>> {
        Box::pin(self.probe_target(run, timeout))
    }

    fn probe<'a>(
        &'a self,
        run: &'a RunInfo,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Liveness, ReportError>> {
        Box::pin(async move {
            let liveness = self.probe_target(run, timeout).await;
            if liveness == Err(ReportError::Refused) && self.is_refused_everywhere().await {
                return Err(ReportError::NoResponse);
            }
            liveness
        })
    }

    fn is_listed(&self, target: &TargetIncarnation) -> bool {
        let directory = self.directory.load();
        let record = directory.cache.targets().get(&target.id);
        record.is_some_and(|record| record.incarnation == target.incarnation)
    }

    fn crash_count(&self) -> CrashCount {
        let directory = self.directory.load();
        CrashCount {
            crashes: directory.cache.unexpected_exits(),
            targets: directory.cache.targets().len(),
        }
    }

    fn exclude_target(&self, target: &TargetId, until: Moment) {
        self.gauges.get(target).suspect(until);
    }

    fn count(&self, event: SuspectEvent) {
        match event {
            SuspectEvent::TargetProbed => self.costs.count(CostKind::EndChecked),
            SuspectEvent::CrashReported => self.costs.count(CostKind::EndTold),
            SuspectEvent::RowsWritten => self.costs.count(CostKind::SuspectWrite),
            SuspectEvent::TargetCrashed(evidence) => {
                self.metrics.count_target_crash(evidence.name());
            }
            SuspectEvent::QuarantineStarted => self.metrics.count_quarantine(),
        }
    }
}

impl FleetShared {
    async fn probe_target(
        &self,
        run: &RunInfo,
        timeout: Duration,
    ) -> Result<Liveness, ReportError> {
        let targets = &self.platform.targets;
        let (target, address) = (&run.target.id, &run.address);
        // A target without a group does not report its incarnation; only its port can be probed.
        if run.group.is_empty() {
            let reached = targets.probe(address, timeout).await;
            return reached.map(|()| Liveness::Listening);
        }
        let report = targets.report(target, address, timeout).await?;
        let is_same = report.incarnation == run.target.incarnation;
        is_same
            .then_some(Liveness::Alive)
            .ok_or(ReportError::OtherIncarnation)
    }

    /// Returns whether this node reaches no target, so that the refusal of one does not prove its end.
    async fn is_refused_everywhere(&self) -> bool {
        let refused_at = BootClock::now();
        tokio::time::sleep(REFUSAL_DOUBT_TIME).await;
        let now = BootClock::now();
        let is_other_heard = self.gauges.silence(now) < now.saturating_sub(refused_at);
        !is_other_heard && self.reach.verify(refused_at).await
    }
}
