//! Watch service: collects evidence on VMs, keeps the zones' views and publishes the routes.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_core::reachability::{ProbeHistory, Reachability};
use briarswitch_core::watch::watchers;
use briarswitch_http::{ApiClient, CallError, Codec};
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use briarswitch_platform::StoreError;
use briarswitch_wire::engine::ReportDoc;
use briarswitch_wire::peer::EvidenceDoc;
use http::Method;
use indexmap::{IndexMap, IndexSet};
use serde_json::{json, Value};

use crate::evidence_feed::EvidenceFeed;
use crate::routes::RouteTable;
use crate::shared::{FleetView, NodeShared, ZoneViews};

/// Name under which the service is registered in the kernel.
pub const WATCH_SERVICE: &str = "watch";
/// Interval at which renewed but otherwise unchanged evidence is published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Messages handled by [`FleetWatcher`].
#[derive(Debug)]
pub enum WatchMessage {
    /// Reads the VM list.
    List,
    /// Result of reading the VM list.
    Listed(Result<Vec<Vm>, StoreError>),
    /// Starts a probe round of the VMs that this node watches.
    ProbeRound,
    /// Result of a probe.
    Probed(ProbeResult),
    /// Evidence received from a peer.
    PeerEvidence {
        /// Peer that sent it.
        node: NodeId,
        /// Changes of the peer's evidence feed.
        evidence: EvidenceDoc,
        /// Local time before the request to the peer was sent.
        requested_at: Moment,
    },
    /// A zone's view, from its controller or a peer.
    View(ZoneView),
    /// A request found that a VM is gone.
    Failed {
        /// VM that is gone.
        vm: VmId,
        /// Local time before the request was sent.
        at: Moment,
    },
    /// Publishes renewed evidence; scheduled at a fixed interval.
    Publish,
    /// A target announced that it is leaving.
    Leaving {
        /// VM of the target.
        vm: VmId,
        /// Incarnation of the VM.
        incarnation: Incarnation,
    },
}

/// Result of a probe, or of an order that returned a report.
#[derive(Debug)]
pub struct ProbeResult {
    /// VM that was probed.
    pub vm: VmId,
    /// Report of the VM, or the error.
    pub report: Result<ReportDoc, CallError>,
    /// Local time before the request was sent.
    pub requested_at: Moment,
}

/// Reports last received from one peer.
#[derive(Default)]
struct PeerReports {
    reports: IndexMap<VmId, MemberReport>,
}

/// Watches VMs and publishes the route table.
pub struct FleetWatcher {
    shared: Arc<NodeShared>,
    client: ApiClient,
    evidence: EvidenceCache,
    fleet: FleetView,
    /// Latest view of each zone. VMs of other zones are routed to only through these.
    views: ZoneViews,
    own_feed: EvidenceFeed,
    zone_feed: EvidenceFeed,
    peers: IndexMap<NodeId, PeerReports>,
    leaving: IndexSet<(VmId, Incarnation)>,
    probing: IndexSet<VmId>,
    history: ProbeHistory,
    pending_update: PendingUpdate,
}

/// Urgency of the next publication.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum PendingUpdate {
    None,
    /// Evidence was renewed; published at the next interval. A publication processes all VMs, so
    /// one per report would cost quadratic time in the number of VMs.
    Renewed,
    /// Evidence or a view changed, or a VM was lost or marked as leaving; published immediately.
    Changed,
}

impl FleetWatcher {
    /// Creates a watcher without evidence or views.
    pub fn new(shared: Arc<NodeShared>) -> Self {
        let incarnation = shared.incarnation;
        Self {
            evidence: EvidenceCache::new(shared.settings.gate.evidence_ttl),
            client: ApiClient::new(Codec::Json, None),
            fleet: FleetView::default(),
            views: ZoneViews::default(),
            own_feed: EvidenceFeed::new(incarnation),
            zone_feed: EvidenceFeed::new(incarnation),
            peers: IndexMap::new(),
            leaving: IndexSet::new(),
            probing: IndexSet::new(),
            history: ProbeHistory::default(),
            pending_update: PendingUpdate::None,
            shared,
        }
    }

    fn list(&self, link: &ServiceLink<WatchMessage>) {
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let list = shared.platform.vms.list(&shared.settings.zone).await;
            WatchMessage::Listed(list)
        });
    }

    fn apply_list(&mut self, vms: Vec<Vm>) {
        for vm in &vms {
            if vm.status == VmStatus::Leaving {
                self.mark_leaving(&vm.id, vm.incarnation);
            }
        }
        self.fleet.vms = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        self.fleet.is_loaded = true;
        let zone = &self.shared.settings.zone;
        let fleet = &self.fleet;
        let view = self.views.get(zone);
        let is_member = |vm: &VmId| {
            view.is_some_and(|view| view.groups.values().any(|group| group.member(vm).is_some()))
        };
        self.leaving
            .retain(|(vm, _)| fleet.vms.contains_key(vm) || is_member(vm));
        self.mark_pending(PendingUpdate::Changed);
    }

    /// Marks an incarnation of a VM as leaving. The mark stays as long as the VM is in the VM list
    /// or in the zone's view.
    ///
    /// The platform's VM list lags, and nodes read it at different times. If an older list could
    /// remove the mark, new requests would be routed to the VM again.
    fn mark_leaving(&mut self, vm: &str, incarnation: Incarnation) {
        if self.leaving.insert((vm.to_owned(), incarnation)) {
            log::info!(vm = vm, incarnation = incarnation; "vm_leaving");
            self.mark_pending(PendingUpdate::Changed);
        }
    }

    /// Returns the VMs in the VM list or the zone's view that this node watches, with their
    /// addresses.
    fn watched(&self, now: Moment) -> Vec<(VmId, String)> {
        let zone = &self.shared.settings.zone;
        let mut addresses: IndexMap<&VmId, &String> = IndexMap::new();
        if let Some(view) = self.views.get(zone) {
            for member in view.groups.values().flat_map(|group| &group.members) {
                addresses.insert(&member.vm, &member.address);
            }
        }
        for vm in self.fleet.vms.values() {
            addresses.insert(&vm.id, &vm.address);
        }
        let nodes = self.shared.watchers(now);
        let own = &self.shared.settings.node;
        addresses
            .into_iter()
            .filter(|(vm, _)| watchers(vm, &nodes).contains(&own))
            .map(|(vm, address)| (vm.clone(), address.clone()))
            .collect()
    }

    fn start_probe_round(&mut self, link: &ServiceLink<WatchMessage>) {
        let now = link.now();
        let watched = self.watched(now);
        self.own_feed
            .retain(|vm| watched.iter().any(|(other, _)| other == vm));
        self.history
            .retain(|vm| watched.iter().any(|(other, _)| other == vm));
        let interval = self.shared.settings.gate.probe_interval;
        let timeout = self.shared.settings.gate.probe_timeout;
        let count = watched.len().max(1) as u32;
        for (index, (vm, address)) in watched.into_iter().enumerate() {
            if !self.probing.insert(vm.clone()) {
                continue;
            }
            // Probes are spread over the interval to avoid bursts of requests, and of evidence that
            // expires at the same time.
            let delay = interval * index as u32 / count;
            let client = self.client.clone();
            link.spawn(async move {
                tokio::time::sleep(delay).await;
                probe(client, vm, address, timeout).await
            });
        }
        self.expire(now);
        link.send_after(interval, WatchMessage::ProbeRound);
    }

    fn expire(&mut self, now: Moment) {
        let ttl = self.shared.settings.gate.evidence_ttl;
        self.evidence.prune(now);
        self.own_feed.expire(now, ttl);
        self.zone_feed.expire(now, ttl);
        self.mark_pending(PendingUpdate::Renewed);
    }

    fn handle_probe(&mut self, result: ProbeResult) {
        self.probing.swap_remove(&result.vm);
        self.history.record(&result.vm, result.report.is_ok());
        self.publish_reach();
        match result.report {
            Ok(doc) if doc.vm == result.vm => {
                let report = MemberReport::from(doc);
                self.own_feed.record(&report, result.requested_at);
                self.record_report(report, result.requested_at);
            }
            // Another VM has the address now, so the probed VM is gone.
            Ok(_) => self.mark_lost(&result.vm, result.requested_at),
            Err(CallError::NoResponse(text)) if is_refusal(&text) => {
                self.mark_lost(&result.vm, result.requested_at);
            }
            Err(_) => {}
        }
    }

    /// Publishes whether this node reaches any of the VMs that it watches.
    fn publish_reach(&self) {
        let reach = &self.shared.reach;
        let is_partitioned = self.history.is_partitioned();
        if is_partitioned != reach.is_partitioned() {
            log::warn!(partitioned = is_partitioned; "reach_changed");
        }
        let state = if is_partitioned {
            Reachability::Partitioned
        } else {
            Reachability::Reachable
        };
        reach.publish(state, None);
    }

    fn record_report(&mut self, report: MemberReport, requested_at: Moment) {
        let now = BootClock::now();
        let known = self
            .evidence
            .fresh(&report.vm, now)
            .map(|entry| &entry.report);
        let is_same = known.is_some_and(|known| known.has_same_state(&report));
        self.mark_pending(if is_same {
            PendingUpdate::Renewed
        } else {
            PendingUpdate::Changed
        });
        let is_local = self.fleet.vms.contains_key(&report.vm);
        if is_local {
            self.zone_feed.record(&report, requested_at);
        }
        self.evidence.record(report, requested_at);
    }

    fn mark_pending(&mut self, update: PendingUpdate) {
        self.pending_update = self.pending_update.max(update);
    }

    fn mark_lost(&mut self, vm: &str, at: Moment) {
        log::debug!(vm = vm; "evidence_lost");
        self.own_feed.mark_lost(vm);
        self.zone_feed.mark_lost(vm);
        self.evidence.revoke(vm, at);
        self.mark_pending(PendingUpdate::Changed);
    }

    fn apply_peer_evidence(&mut self, node: NodeId, evidence: EvidenceDoc, requested_at: Moment) {
        let age = Duration::from_millis(u64::from(evidence.age_ms));
        let evidence_at = requested_at.saturating_sub(age);
        let known = self.peers.entry(node).or_default();
        if evidence.is_whole {
            known.reports.clear();
        }
        for vm in evidence.lost.iter().chain(&evidence.dropped) {
            known.reports.swap_remove(vm);
        }
        for doc in evidence.changed {
            let report = MemberReport::from(doc);
            known.reports.insert(report.vm.clone(), report);
        }
        let reports: Vec<MemberReport> = known.reports.values().cloned().collect();
        for vm in evidence.lost {
            // The peer found the VM gone before it responded, possibly after `requested_at`. Only
            // evidence requested later than that remains valid.
            self.evidence.revoke(&vm, requested_at);
        }
        for report in reports {
            self.record_report(report, evidence_at);
        }
    }

    fn apply_view(&mut self, view: ZoneView) {
        let current = self.views.entry(view.zone.clone()).or_default();
        if !current.adopt(view) {
            return;
        }
        self.mark_pending(PendingUpdate::Changed);
        self.shared.views.publish(self.views.clone());
    }

    fn publish(&mut self, now: Moment) {
        self.pending_update = PendingUpdate::None;
        let config = self.shared.config.load();
        let leaving = &self.leaving;
        let is_leaving =
            |vm: &str, incarnation: Incarnation| leaving.contains(&(vm.to_owned(), incarnation));
        let routes = RouteTable::build(
            &config.config,
            &self.views,
            &self.fleet.vms,
            &self.evidence,
            &is_leaving,
            now,
        );
        self.shared.routes.publish(routes);
        self.fleet.reports = self
            .evidence
            .fresh_entries(now)
            .map(|entry| {
                (
                    entry.report.vm.clone(),
                    (entry.report.clone(), entry.requested_at),
                )
            })
            .collect();
        let mut fleet = self.fleet.clone();
        for (vm, _) in leaving {
            if let Some(vm) = fleet.vms.get_mut(vm) {
                vm.status = VmStatus::Leaving;
            }
        }
        self.shared.fleet.publish(fleet);
        self.shared.own_evidence.publish(self.own_feed.clone());
        self.shared.zone_evidence.publish(self.zone_feed.clone());
    }
}

impl Service for FleetWatcher {
    type Message = WatchMessage;

    fn name(&self) -> &'static str {
        WATCH_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<WatchMessage>) {
        self.list(link);
        link.send_after(Duration::ZERO, WatchMessage::ProbeRound);
        link.send_after(PUBLISH_INTERVAL, WatchMessage::Publish);
    }

    fn handle(&mut self, message: WatchMessage, link: &ServiceLink<WatchMessage>) {
        match message {
            WatchMessage::List => self.list(link),
            WatchMessage::Listed(result) => {
                if let Ok(vms) = result {
                    self.apply_list(vms);
                }
                link.send_after(self.shared.settings.control.list_poll, WatchMessage::List);
            }
            WatchMessage::ProbeRound => self.start_probe_round(link),
            WatchMessage::Probed(result) => self.handle_probe(result),
            WatchMessage::PeerEvidence {
                node,
                evidence,
                requested_at,
            } => self.apply_peer_evidence(node, evidence, requested_at),
            WatchMessage::View(view) => self.apply_view(view),
            WatchMessage::Failed { vm, at } => self.mark_lost(&vm, at),
            WatchMessage::Leaving { vm, incarnation } => self.mark_leaving(&vm, incarnation),
            WatchMessage::Publish => {
                if self.pending_update > PendingUpdate::None {
                    self.publish(link.now());
                }
                link.send_after(PUBLISH_INTERVAL, WatchMessage::Publish);
            }
        }
        if self.pending_update == PendingUpdate::Changed {
            self.publish(link.now());
        }
    }

    fn dump(&self) -> Value {
        let now = BootClock::now();
        let evidence: IndexMap<&VmId, u128> = self
            .evidence
            .fresh_entries(now)
            .map(|entry| (&entry.report.vm, (now - entry.requested_at).as_millis()))
            .collect();
        let groups: Vec<Value> = self
            .views
            .values()
            .flat_map(|view| view.groups.values().map(move |group| (view, group)))
            .map(|(view, group)| dump_group(view, group, &self.evidence, now))
            .collect();
        json!({
            "listed": self.fleet.is_loaded,
            "vms": self.fleet.vms.len(),
            "evidence_age_ms": evidence,
            "groups": groups,
            "leaving": self.leaving.iter().map(|(vm, _)| vm).collect::<Vec<_>>(),
        })
    }

    fn renew(&self) -> Self {
        Self {
            own_feed: self.own_feed.clone(),
            zone_feed: self.zone_feed.clone(),
            leaving: self.leaving.clone(),
            ..Self::new(Arc::clone(&self.shared))
        }
    }
}

fn dump_group(
    view: &ZoneView,
    group: &GroupRecord,
    evidence: &EvidenceCache,
    now: Moment,
) -> Value {
    json!({
        "group": group.id,
        "zone": view.zone,
        "deployment": group.deployment,
        "generation": group.generation,
        "epoch": group.epoch,
        "state": format!("{:?}", group.state).to_lowercase(),
        "members": group.members.iter().map(|member| &member.vm).collect::<Vec<_>>(),
        "whole": evidence.complete_until(group, now).is_some(),
    })
}

async fn probe(client: ApiClient, vm: VmId, address: String, timeout: Duration) -> WatchMessage {
    let requested_at = BootClock::now();
    let url = format!("http://{address}/report");
    let report = client.call(Method::GET, &url, None::<&()>, timeout).await;
    WatchMessage::Probed(ProbeResult {
        vm,
        report,
        requested_at,
    })
}

/// Returns whether an error text shows that the connection was refused or reset, as opposed to a
/// time-out.
fn is_refusal(text: &str) -> bool {
    text.contains("refused") || text.contains("reset")
}
