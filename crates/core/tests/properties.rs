//! Properties of the decision logic over random sequences of events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use briarswitch_core::lease::{LeaseWrite, LeaseWriteResult};
use briarswitch_core::prelude::*;
use briarswitch_core::stream::EventScanner;
use briarswitch_core::watch::watchers;
use indexmap::IndexMap;
use proptest::prelude::*;

const POOL: &str = "pool";
const SIZE: usize = 2;

/// One event in a contest of two nodes for a lease.
#[derive(Clone, Copy, Debug)]
enum LeaseEvent {
    Read(usize),
    Propose(usize),
    Apply(usize),
    Respond(usize),
    Lose(usize),
    ApplyLate,
    Pass(u64),
}

fn lease_event() -> impl Strategy<Value = LeaseEvent> {
    prop_oneof![
        (0..2_usize).prop_map(LeaseEvent::Read),
        (0..2_usize).prop_map(LeaseEvent::Propose),
        (0..2_usize).prop_map(LeaseEvent::Apply),
        (0..2_usize).prop_map(LeaseEvent::Respond),
        (0..2_usize).prop_map(LeaseEvent::Lose),
        Just(LeaseEvent::ApplyLate),
        (1..2500_u64).prop_map(LeaseEvent::Pass),
    ]
}

#[derive(Default)]
struct LeaseTable {
    row: Option<LeaseRecord>,
    version: u64,
}

impl LeaseTable {
    fn apply(&mut self, write: &LeaseWrite) -> LeaseWriteResult {
        if write.expected != self.version {
            return LeaseWriteResult::Conflict;
        }
        self.version += 1;
        self.row = Some(write.record.clone());
        LeaseWriteResult::Written(self.version)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..Default::default() })]

    /// Two nodes never hold the lease at once, in any order of reads, writes, responses and delays.
    #[test]
    fn lease_has_one_holder(events in prop::collection::vec(lease_event(), 1..120)) {
        let timing = LeaseTiming {
            duration: Duration::from_millis(6000),
            margin: Duration::from_millis(1000),
            renew: Duration::from_millis(1500),
        };
        let mut clients = [
            LeaseClient::new("a".to_owned(), 1, timing),
            LeaseClient::new("b".to_owned(), 1, timing),
        ];
        let mut table = LeaseTable::default();
        let mut sent: [Option<LeaseWrite>; 2] = [None, None];
        let mut results: [Option<LeaseWriteResult>; 2] = [None, None];
        let mut late: Vec<LeaseWrite> = Vec::new();
        let mut now = Duration::from_secs(100);
        let mut writes = 0;
        for event in events {
            match event {
                LeaseEvent::Read(node) => clients[node].observe(table.row.clone(), table.version, now),
                LeaseEvent::Propose(node) if sent[node].is_none() && results[node].is_none() => {
                    writes += 1;
                    sent[node] = clients[node].propose(format!("w{writes}"), now);
                }
                LeaseEvent::Apply(node) => {
                    if let Some(write) = sent[node].take() {
                        results[node] = Some(table.apply(&write));
                    }
                }
                LeaseEvent::Respond(node) => {
                    if let Some(result) = results[node].take() {
                        clients[node].record_result(result, now);
                    }
                }
                LeaseEvent::Lose(node) => {
                    let was_sent = sent[node].take();
                    if was_sent.is_some() || results[node].take().is_some() {
                        clients[node].record_result(LeaseWriteResult::Lost, now);
                    }
                    late.extend(was_sent);
                }
                LeaseEvent::ApplyLate => {
                    if let Some(write) = late.pop() {
                        table.apply(&write);
                    }
                }
                LeaseEvent::Pass(millis) => now += Duration::from_millis(millis),
                LeaseEvent::Propose(_) => {}
            }
            let holders: Vec<_> = clients.iter().filter_map(|client| client.epoch(now)).collect();
            prop_assert!(holders.len() < 2, "both hold: {holders:?}");
        }
    }

    /// Whatever the order in which entries arrive, the version only increases and no entry is
    /// skipped.
    #[test]
    fn configuration_never_goes_back(versions in prop::collection::vec(1..12_u64, 1..60)) {
        let mut config = VersionedConfig::default();
        for version in versions {
            let before = config.version();
            let key = EntityKey { kind: EntityKind::Rules, id: "main".to_owned() };
            let is_taken = config.apply(ConfigEntry { version, key, value: ConfigValue::Deleted });
            prop_assert_eq!(is_taken, version == before + 1);
            prop_assert_eq!(config.version(), before + u64::from(is_taken));
        }
    }

    /// However a stream is cut into chunks, the same bytes and events are passed on.
    #[test]
    fn scanner_passes_complete_events(cuts in prop::collection::vec(1..20_usize, 1..40), count in 0..12_usize) {
        let mut text: String = (0..count).map(|index| format!("data: token {index}\n\n")).collect();
        text.push_str("data: [DONE]\n\n");
        let mut scanner = EventScanner::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let size = cuts.next().unwrap_or(1).min(rest.len());
            let (chunk, after) = rest.split_at(size);
            let (buffered, scanned) = scanner.scan(chunk);
            passed.extend_from_slice(&buffered);
            passed.extend_from_slice(&chunk[..scanned.complete_bytes]);
            prop_assert!(passed.is_empty() || passed.ends_with(b"\n\n"));
            rest = after;
        }
        prop_assert!(scanner.is_ended());
        prop_assert_eq!(scanner.events(), count);
        prop_assert_eq!(passed, text.as_bytes());
    }

    /// Retries never exceed the configured share of successes plus the initial balance.
    #[test]
    fn retries_stay_within_their_share(outcomes in prop::collection::vec(any::<bool>(), 1..500)) {
        let mut budget = RetryBudget::new(100, 5);
        let (mut successes, mut retries) = (0_u64, 0_u64);
        for is_success in outcomes {
            if is_success {
                successes += 1;
                budget.deposit();
            } else {
                retries += u64::from(budget.withdraw());
            }
            prop_assert!(retries <= 5 + successes / 10);
        }
    }

    /// While all organisations have waiting requests, they are served in proportion to their
    /// weights.
    #[test]
    fn queue_is_fair(weights in prop::collection::vec(1..6_u32, 2..5)) {
        let mut queue = FairQueue::default();
        for (index, weight) in weights.iter().enumerate() {
            for _ in 0..400 {
                queue.push(0, &index.to_string(), *weight, 100, index);
            }
        }
        let total: u32 = weights.iter().sum();
        let mut served = vec![0_u32; weights.len()];
        for _ in 0..200 {
            if let Some(index) = queue.pop() {
                served[index] += 1;
            }
        }
        for (index, weight) in weights.iter().enumerate() {
            let due = 200 * weight / total;
            prop_assert!(served[index].abs_diff(due) <= 3, "{served:?} for {weights:?}");
        }
    }

    /// When a node is removed, only the machines it watched are reassigned.
    #[test]
    fn few_watchers_change(count in 3..20_usize, vm in "[a-z]{1,8}") {
        let nodes: Vec<NodeId> = (0..count).map(|index| format!("n{index}")).collect();
        let before: Vec<NodeId> = watchers(&vm, &nodes).into_iter().cloned().collect();
        let rest: Vec<NodeId> = nodes.iter().filter(|node| **node != before[0]).cloned().collect();
        let after = watchers(&vm, &rest);
        prop_assert!(after.contains(&&before[1]));
    }

    /// Every plan is safe for any state of the fleet.
    #[test]
    fn plans_are_safe(fleet in fleets(), millis in 0..10_000_u64) {
        let planner = GroupPlanner::new(Duration::from_secs(60), Duration::from_secs(1));
        let steps = planner.plan(&fleet, Duration::from_millis(millis) + Duration::from_secs(100));
        check_plan(&fleet, &steps)?;
    }
}

fn fleets() -> impl Strategy<Value = FleetState> {
    let machine = (0..3_u8, 0..4_u8, any::<bool>(), 0..12_u8);
    (
        prop::collection::vec(machine, 1..24),
        0..4_u32,
        any::<bool>(),
        any::<bool>(),
        0..20_usize,
    )
        .prop_map(|(machines, wanted, spans, extra, budget)| {
            build_fleet(&machines, wanted, spans, extra, budget)
        })
}

fn build_fleet(
    machines: &[(u8, u8, bool, u8)],
    wanted: u32,
    spans: bool,
    extra: bool,
    budget: usize,
) -> FleetState {
    let mut fleet = FleetState {
        load_budget: budget,
        ..FleetState::default()
    };
    let kind = DeploymentKind::Model {
        vms_per_replica: SIZE as u32,
        replicas_per_zone: wanted,
        checks_fencing: true,
        spans_domains: spans,
        weights: PlanWeights {
            downtime: 1,
            stranded: if extra { 2 } else { 1 },
        },
    };
    for (priority, id) in ["low", "high"].into_iter().enumerate() {
        let deployment = Deployment {
            id: id.to_owned(),
            pool: POOL.to_owned(),
            kind: kind.clone(),
            target_in_flight: 1,
            priority: priority as u8,
        };
        fleet.deployments.insert(id.to_owned(), deployment);
    }
    for (index, (domain, condition, is_leaving, group)) in machines.iter().enumerate() {
        add_machine(&mut fleet, index, *domain, *condition, *is_leaving, *group);
    }
    let short: Vec<GroupId> = fleet
        .groups
        .values()
        .filter(|group| group.members.len() != SIZE)
        .map(|group| group.id.clone())
        .collect();
    for id in short {
        fleet.groups.shift_remove(&id);
        for facts in fleet.vms.values_mut() {
            if facts.claimed.as_ref() == Some(&id) {
                facts.claimed = None;
            }
        }
    }
    fleet
}

/// Adds a machine, which is claimed if `group` is below four.
///
/// With `condition` 1 `is_leaving` applies, with 2 another incarnation was claimed, and with 3 the
/// machine is unreachable.
fn add_machine(
    fleet: &mut FleetState,
    index: usize,
    domain: u8,
    condition: u8,
    is_leaving: bool,
    group: u8,
) {
    let id = format!("vm-{index}");
    let vm = Vm {
        id: id.clone(),
        zone: "zone".to_owned(),
        domain: format!("domain-{domain}"),
        pool: POOL.to_owned(),
        address: String::new(),
        incarnation: 1,
        accelerators: 2,
        status: if is_leaving && condition == 1 {
            VmStatus::Leaving
        } else {
            VmStatus::Live
        },
    };
    let group_id = format!("group-{domain}-{group}");
    let is_claimed = group < 4
        && fleet
            .groups
            .get(&group_id)
            .is_none_or(|found| found.members.len() < SIZE);
    if is_claimed {
        let record = fleet.groups.entry(group_id.clone()).or_insert_with(|| {
            let deployment = if group % 2 == 0 { "low" } else { "high" };
            GroupRecord::forming(group_id.clone(), deployment.to_owned(), Vec::new(), 1)
        });
        record.members.push(briarswitch_core::group::GroupMember {
            vm: id.clone(),
            incarnation: if condition == 2 { 9 } else { 1 },
            address: String::new(),
        });
    }
    let is_seen = condition != 3;
    let report = MemberReport {
        vm: id.clone(),
        incarnation: 1,
        state: if is_claimed {
            MemberState::Ready
        } else {
            MemberState::Idle
        },
        group: is_claimed.then(|| group_id.clone()),
        generation: 1,
        fence: 1,
        weights: None,
        running: 0,
        queued: 0,
    };
    let facts = VmFacts {
        vm,
        claimed: is_claimed.then_some(group_id),
        report: is_seen.then_some(report),
        lost_since: (!is_seen).then_some(Duration::from_secs(99)),
    };
    fleet.vms.insert(id, facts);
}

fn check_plan(fleet: &FleetState, steps: &[PlanStep]) -> Result<(), TestCaseError> {
    let mut taken = BTreeSet::new();
    let mut loads = 0;
    let mut touched = BTreeMap::new();
    for step in steps {
        let (members, old, spans) = match step {
            PlanStep::Form {
                members,
                spans_domains,
                ..
            } => (members, Vec::new(), *spans_domains),
            PlanStep::Repair { group, members, .. } => {
                *touched.entry(group.clone()).or_insert(0) += 1;
                (members, fleet.groups[group].members.clone(), false)
            }
            PlanStep::Preload { vm, .. } => {
                prop_assert!(taken.insert(vm.clone()), "{vm} is used twice");
                prop_assert!(fleet.vms[vm].is_free(), "{vm} is not free");
                loads += 1;
                continue;
            }
            PlanStep::Dissolve { group, .. } => {
                *touched.entry(group.clone()).or_insert(0) += 1;
                prop_assert!(fleet.groups.contains_key(group));
                continue;
            }
        };
        prop_assert_eq!(members.len(), SIZE);
        let mut domains = BTreeSet::new();
        for member in members {
            prop_assert!(
                taken.insert(member.vm.clone()),
                "{} is used twice",
                member.vm
            );
            let facts = &fleet.vms[&member.vm];
            domains.insert(facts.vm.domain.clone());
            if !old.contains(member) {
                loads += 1;
                prop_assert!(facts.is_free(), "{} is not free", member.vm);
            }
        }
        let may_span = matches!(
            fleet.deployments["low"].kind,
            DeploymentKind::Model {
                spans_domains: true,
                ..
            }
        );
        prop_assert!(domains.len() == 1 || may_span);
        prop_assert!(!spans || may_span);
    }
    prop_assert!(loads <= fleet.load_budget);
    prop_assert!(
        touched.values().all(|count| *count == 1),
        "a group is changed twice"
    );
    Ok(())
}

/// The planner makes the same choices for the same input, because machines are kept in insertion
/// order.
#[test]
fn plans_are_repeatable() {
    let machines = [
        (0, 0, false, 9),
        (0, 0, false, 9),
        (1, 0, false, 9),
        (1, 0, false, 9),
    ];
    let fleet = build_fleet(&machines, 1, false, false, 10);
    let planner = GroupPlanner::new(Duration::from_secs(60), Duration::from_secs(1));
    let first = planner.plan(&fleet, Duration::from_secs(100));
    assert_eq!(first, planner.plan(&fleet, Duration::from_secs(100)));
    assert_eq!(first.len(), 2);
    let _: IndexMap<VmId, VmFacts> = fleet.vms;
}
