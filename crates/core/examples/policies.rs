//! Replays seeded sequences of faults against the planner and two baseline policies.
//!
//! Only decisions are replayed: machines are up or down, groups serve or load, and nothing else is
//! modelled. The rates are those of a fleet of 12,000 machines of which 210 fail and 4,100 are
//! restarted per day, and in which one fabric domain per week goes down.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use briarswitch_core::group::GroupMember;
use briarswitch_core::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DAY: u64 = 24 * 3600;
const FAILURES_PER_DAY: f64 = 210.0 / 12_000.0;
const RESTARTS_PER_DAY: f64 = 4_100.0 / 12_000.0;
/// One of the domains of 12,000 machines per week.
const DOMAIN_LOSSES_PER_DAY: f64 = 1.0 / 7.0 / 667.0;
/// Seconds to load weights.
const LOAD: u64 = 120;
/// Seconds to form a group from machines that hold the weights.
const REGROUP: u64 = 3;
/// Seconds until a failed machine is replaced under the same name.
const REPLACEMENT_TIME: u64 = 4 * 3600;
/// Seconds until a failed fabric domain is up again.
const DOMAIN_OUTAGE: u64 = 3600;
/// Mean downtime of a machine in hours per day, from the rates and times above; restarts take 237 s
/// on average.
const DOWN_HOURS_PER_DAY: f64 = RESTARTS_PER_DAY * 237.0 / 3600.0 + FAILURES_PER_DAY * 4.0;
const DOMAIN_VMS: usize = 18;
const DEPLOYMENT: &str = "model";
const POOL: &str = "pool";

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Planner,
    Await,
    Rebuild,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Down { vm: usize, until: u64 },
    Up { vm: usize },
    Check,
}

struct Machine {
    incarnation: u64,
    is_up: bool,
    has_weights: bool,
    /// Time at which weights being loaded outside a group are complete.
    loading: Option<u64>,
}

struct Scale {
    name: &'static str,
    zones: usize,
    vms: usize,
    days: u64,
}

struct Replay {
    policy: Policy,
    planner: GroupPlanner,
    fleet: FleetState,
    machines: Vec<Machine>,
    /// Time from which each group serves if it is complete.
    ready: BTreeMap<GroupId, u64>,
    wanted: u32,
    formed: u64,
    now: u64,
    wake: Option<u64>,
    downtime: u64,
    stranded: u64,
}

fn main() {
    let scales = [
        Scale {
            name: "today, 54 VMs, 60 days",
            zones: 1,
            vms: 54,
            days: 60,
        },
        Scale {
            name: "34 zones x 353 VMs, 1 day",
            zones: 34,
            vms: 353,
            days: 1,
        },
    ];
    println!("group downtime in group-hours / stranded accelerators in VM-hours");
    for (user, weights) in [("kayal", weights(3, 1)), ("kalahari", weights(1, 3))] {
        for scale in &scales {
            for size in [2, 4, 16] {
                print_row(user, weights, scale, size);
            }
        }
    }
    print_planner_times();
}

fn weights(downtime: u32, stranded: u32) -> PlanWeights {
    PlanWeights { downtime, stranded }
}

fn print_row(user: &str, weights: PlanWeights, scale: &Scale, size: usize) {
    let mut cells = Vec::new();
    for policy in [Policy::Planner, Policy::Await, Policy::Rebuild] {
        let (mut downtime, mut stranded) = (0, 0);
        for zone in 0..scale.zones {
            let replay = run(policy, weights, scale, size, zone as u64);
            downtime += replay.downtime;
            stranded += replay.stranded;
        }
        cells.push(format!(
            "{policy:?} {:.1} / {:.0}",
            hours(downtime),
            hours(stranded)
        ));
    }
    let (down, unused) = lower_bounds(weights, scale, size);
    println!(
        "{user:<9}{:<26} size {size:<2} | {} | bound {down:.1} / {unused:.0}",
        scale.name,
        cells.join(" | "),
    );
}

fn hours(seconds: u64) -> f64 {
    seconds as f64 / 3600.0
}

/// Returns lower bounds that no policy can beat. Each loss of a member of a wanted group costs at
/// least one regrouping, and machines that do not fit into any permitted group are always stranded.
/// The time for which such machines can replace machines that are down is subtracted.
fn lower_bounds(weights: PlanWeights, scale: &Scale, size: usize) -> (f64, f64) {
    let wanted = wanted(scale.vms, size) as usize;
    let span = (scale.days * scale.zones as u64) as f64;
    let losses = (FAILURES_PER_DAY + RESTARTS_PER_DAY) * (wanted * size) as f64 * span;
    let down = losses * REGROUP as f64 / 3600.0;
    let used = if weights.stranded > weights.downtime {
        fitting(scale.vms, size) * size
    } else {
        wanted * size
    };
    let unused = (scale.vms - used) as f64 * 24.0 * span;
    let absent = scale.vms as f64 * span * DOWN_HOURS_PER_DAY;
    (down, (unused - absent).max(0.0))
}

/// Returns the number of groups that fit into the fabric domains.
fn fitting(vms: usize, size: usize) -> usize {
    vms / DOMAIN_VMS * (DOMAIN_VMS / size) + vms % DOMAIN_VMS / size
}

/// Returns nine tenths of the groups that fit, which leaves a tenth as spares.
fn wanted(vms: usize, size: usize) -> u32 {
    (fitting(vms, size) * 9 / 10) as u32
}

fn run(policy: Policy, weights: PlanWeights, scale: &Scale, size: usize, seed: u64) -> Replay {
    let mut replay = Replay::new(policy, weights, scale.vms, size);
    let end = scale.days * DAY;
    let mut events = faults(scale, seed);
    replay.run_policy();
    for ready in replay.ready.values_mut() {
        *ready = 0;
    }
    while let Some((at, event)) = next_event(&mut events, replay.wake) {
        if at >= end {
            break;
        }
        replay.advance(at);
        match event {
            Event::Down { vm, until } if replay.machines[vm].is_up => {
                replay.lose(vm);
                events.push(Reverse((until, Event::Up { vm })));
            }
            Event::Up { vm } => replay.restore(vm),
            _ => {}
        }
        replay.run_policy();
    }
    replay.advance(end);
    replay
}

type Events = BinaryHeap<Reverse<(u64, Event)>>;

fn next_event(events: &mut Events, wake: Option<u64>) -> Option<(u64, Event)> {
    let first = events.peek().map(|Reverse((at, _))| *at);
    if let Some(wake) = wake.filter(|wake| first.is_none_or(|first| *wake <= first)) {
        return Some((wake, Event::Check));
    }
    events.pop().map(|Reverse(event)| event)
}

/// Draws the faults of one run, which are the same for every policy.
fn faults(scale: &Scale, seed: u64) -> Events {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Events::new();
    let vms = scale.vms as f64;
    for at in times(RESTARTS_PER_DAY * vms, scale, &mut random) {
        let vm = random.random_range(0..scale.vms);
        // Most restarts take one to four minutes; one in ten takes up to half an hour.
        let duration = if random.random_bool(0.9) {
            random.random_range(60..240)
        } else {
            random.random_range(240..1800)
        };
        let until = at + duration;
        events.push(Reverse((at, Event::Down { vm, until })));
    }
    for at in times(FAILURES_PER_DAY * vms, scale, &mut random) {
        let vm = random.random_range(0..scale.vms);
        let until = at + REPLACEMENT_TIME;
        events.push(Reverse((at, Event::Down { vm, until })));
    }
    let domains = scale.vms / DOMAIN_VMS;
    for at in times(DOMAIN_LOSSES_PER_DAY * domains as f64, scale, &mut random) {
        let domain = random.random_range(0..domains);
        let until = at + DOMAIN_OUTAGE;
        for vm in domain * DOMAIN_VMS..(domain + 1) * DOMAIN_VMS {
            events.push(Reverse((at, Event::Down { vm, until })));
        }
    }
    events
}

fn times(per_day: f64, scale: &Scale, random: &mut StdRng) -> Vec<u64> {
    let mean = per_day * scale.days as f64;
    let count = mean.floor() as u64 + u64::from(random.random_bool(mean.fract()));
    let span = scale.days * DAY;
    (0..count).map(|_| random.random_range(0..span)).collect()
}

impl Replay {
    fn new(policy: Policy, weights: PlanWeights, vms: usize, size: usize) -> Self {
        let wanted = wanted(vms, size);
        let mut fleet = FleetState {
            load_budget: usize::MAX,
            ..FleetState::default()
        };
        let deployment = Deployment {
            id: DEPLOYMENT.to_owned(),
            pool: POOL.to_owned(),
            kind: DeploymentKind::Model {
                vms_per_replica: size as u32,
                replicas_per_zone: wanted,
                checks_fencing: true,
                spans_domains: false,
                weights,
            },
            target_in_flight: 1,
            priority: 0,
        };
        fleet.deployments.insert(DEPLOYMENT.to_owned(), deployment);
        for index in 0..vms {
            let facts = machine_facts(index);
            fleet.vms.insert(facts.vm.id.clone(), facts);
        }
        let machine = || Machine {
            incarnation: 1,
            is_up: true,
            has_weights: true,
            loading: None,
        };
        Self {
            policy,
            planner: GroupPlanner::new(Duration::from_secs(LOAD), Duration::from_secs(2)),
            fleet,
            machines: std::iter::repeat_with(machine).take(vms).collect(),
            ready: BTreeMap::new(),
            wanted,
            formed: 0,
            now: 0,
            wake: None,
            downtime: 0,
            stranded: 0,
        }
    }

    /// Accumulates downtime and stranded time until `at`.
    fn advance(&mut self, at: u64) {
        while self.now < at {
            let (mut serving, mut working, mut next) = (0, 0, at);
            for group in self
                .fleet
                .groups
                .values()
                .filter(|group| self.is_complete(group))
            {
                let ready = self.ready.get(&group.id).copied().unwrap_or(u64::MAX);
                if ready <= self.now {
                    serving += 1;
                    working += group.members.len() as u64;
                } else {
                    next = next.min(ready);
                }
            }
            let up = self.machines.iter().filter(|machine| machine.is_up).count() as u64;
            let elapsed = next - self.now;
            self.downtime += u64::from(self.wanted.saturating_sub(serving)) * elapsed;
            self.stranded += (up - working) * elapsed;
            self.now = next;
        }
    }

    fn is_complete(&self, group: &GroupRecord) -> bool {
        group.members.iter().all(|member| {
            let machine = &self.machines[index_of(&member.vm)];
            machine.is_up && machine.incarnation == member.incarnation
        })
    }

    fn lose(&mut self, vm: usize) {
        let machine = &mut self.machines[vm];
        machine.is_up = false;
        machine.loading = None;
        machine.has_weights = false;
        let now = Duration::from_secs(self.now);
        if let Some(facts) = self.fleet.vms.get_mut(&name_of(vm)) {
            facts.report = None;
            facts.lost_since = Some(now);
        }
    }

    fn restore(&mut self, vm: usize) {
        let machine = &mut self.machines[vm];
        machine.is_up = true;
        let Some(facts) = self.fleet.vms.get_mut(&name_of(vm)) else {
            return;
        };
        let since = facts.lost_since.take().unwrap_or_default();
        let absence = Duration::from_secs(self.now).saturating_sub(since);
        if absence.as_secs() >= REPLACEMENT_TIME {
            machine.incarnation += 1;
            facts.vm.incarnation = machine.incarnation;
            facts.claimed = None;
        }
        // A restored member serves only after it has loaded its weights again.
        let outage = absence + Duration::from_secs(LOAD);
        self.planner.history.record(outage);
        machine.has_weights = facts.claimed.is_some();
        if let Some(group) = &facts.claimed {
            let ready = self.ready.entry(group.clone()).or_default();
            *ready = (*ready).max(self.now + LOAD);
        }
        self.refresh(vm);
    }

    /// Updates a machine's report to its current state.
    fn refresh(&mut self, vm: usize) {
        let machine = &self.machines[vm];
        if let Some(facts) = self.fleet.vms.get_mut(&name_of(vm)) {
            let is_seen = machine.is_up && machine.loading.is_none();
            facts.report = is_seen
                .then(|| report(vm, machine.incarnation, &facts.claimed, machine.has_weights));
        }
    }

    /// Runs the policy until it returns no more steps.
    fn run_policy(&mut self) {
        for vm in 0..self.machines.len() {
            if self.machines[vm].loading.is_some_and(|at| at <= self.now) {
                self.machines[vm].loading = None;
                self.machines[vm].has_weights = true;
                self.refresh(vm);
            }
        }
        loop {
            let steps = self.decide();
            if steps.is_empty() {
                break;
            }
            for step in steps {
                self.apply(step);
            }
        }
        self.set_wake();
    }

    fn decide(&self) -> Vec<PlanStep> {
        match self.policy {
            Policy::Planner => self
                .planner
                .plan(&self.fleet, Duration::from_secs(self.now)),
            Policy::Await => self.decide_await(),
            Policy::Rebuild => self.decide_rebuild(),
        }
    }

    /// Forms the wanted groups at the start; afterwards only updates the incarnations of replaced
    /// machines.
    fn decide_await(&self) -> Vec<PlanStep> {
        if self.fleet.groups.is_empty() {
            return self.formation_steps();
        }
        let groups = self.fleet.groups.values();
        let replaced = groups.filter_map(|group| {
            let renew = |member: &GroupMember| GroupMember {
                incarnation: self.fleet.vms[&member.vm].vm.incarnation,
                ..member.clone()
            };
            let members: Vec<GroupMember> = group.members.iter().map(renew).collect();
            (members != group.members).then(|| PlanStep::Repair {
                group: group.id.clone(),
                members,
                reason: String::new(),
            })
        });
        replaced.collect()
    }

    /// Dissolves a group as soon as a member is lost, and forms new groups from free machines.
    fn decide_rebuild(&self) -> Vec<PlanStep> {
        let mut groups = self.fleet.groups.values();
        match groups.find(|group| !self.is_complete(group)) {
            Some(group) => vec![PlanStep::Dissolve {
                group: group.id.clone(),
                reason: String::new(),
            }],
            None => self.formation_steps(),
        }
    }

    fn formation_steps(&self) -> Vec<PlanStep> {
        let steps = self
            .planner
            .plan(&self.fleet, Duration::from_secs(self.now));
        let steps = steps.into_iter();
        steps
            .filter(|step| matches!(step, PlanStep::Form { .. }))
            .collect()
    }

    fn apply(&mut self, step: PlanStep) {
        match step {
            PlanStep::Form { members, .. } => {
                self.formed += 1;
                let id = format!("group-{}", self.formed);
                self.claim(&id, &members);
                let group = GroupRecord::forming(id.clone(), DEPLOYMENT.to_owned(), members, 1);
                self.fleet.groups.insert(id, group);
            }
            PlanStep::Repair { group, members, .. } => {
                self.release(&group);
                self.claim(&group, &members);
                if let Some(record) = self.fleet.groups.get_mut(&group) {
                    record.members = members;
                    record.generation += 1;
                }
            }
            PlanStep::Dissolve { group, .. } => {
                self.release(&group);
                self.fleet.groups.shift_remove(&group);
                self.ready.remove(&group);
            }
            PlanStep::Preload { vm, .. } => {
                let vm = index_of(&vm);
                self.machines[vm].loading = Some(self.now + LOAD);
                self.refresh(vm);
            }
        }
    }

    fn claim(&mut self, group: &str, members: &[GroupMember]) {
        let reloads_weights = self.policy == Policy::Rebuild;
        let mut duration = REGROUP;
        for member in members {
            let vm = index_of(&member.vm);
            if !self.machines[vm].has_weights || reloads_weights {
                duration = LOAD + REGROUP;
            }
            self.machines[vm].has_weights = true;
            if let Some(facts) = self.fleet.vms.get_mut(&member.vm) {
                facts.claimed = Some(group.to_owned());
            }
            self.refresh(vm);
        }
        self.ready.insert(group.to_owned(), self.now + duration);
    }

    fn release(&mut self, group: &str) {
        let members: Vec<VmId> = self.fleet.groups[group]
            .members
            .iter()
            .map(|member| member.vm.clone())
            .collect();
        for vm in members {
            if let Some(facts) = self.fleet.vms.get_mut(&vm) {
                if facts.claimed.as_deref() == Some(group) {
                    facts.claimed = None;
                }
            }
            self.refresh(index_of(&vm));
        }
    }

    /// Schedules the next check for when a load ends or the waiting time for a lost member expires.
    fn set_wake(&mut self) {
        let delay = self
            .planner
            .history
            .replacement_delay(self.planner.load_time);
        let delay = delay.max(self.planner.grace).as_secs();
        let loads = self.machines.iter().filter_map(|machine| machine.loading);
        let claimed = self
            .fleet
            .vms
            .values()
            .filter(|facts| facts.claimed.is_some());
        let lost = claimed.filter_map(|facts| Some(facts.lost_since?.as_secs()));
        let overdue = lost.flat_map(|lost| [lost + 2, lost + delay]);
        self.wake = loads.chain(overdue).filter(|at| *at > self.now).min();
    }
}

fn name_of(index: usize) -> VmId {
    format!("vm-{index:05}")
}

fn index_of(vm: &str) -> usize {
    vm.trim_start_matches("vm-").parse().unwrap_or(0)
}

fn machine_facts(index: usize) -> VmFacts {
    VmFacts {
        vm: Vm {
            id: name_of(index),
            zone: "zone".to_owned(),
            domain: format!("domain-{}", index / DOMAIN_VMS),
            pool: POOL.to_owned(),
            address: String::new(),
            incarnation: 1,
            accelerators: 2,
            status: VmStatus::Live,
        },
        claimed: None,
        report: Some(report(index, 1, &None, true)),
        lost_since: None,
    }
}

fn report(
    index: usize,
    incarnation: u64,
    group: &Option<GroupId>,
    has_weights: bool,
) -> MemberReport {
    MemberReport {
        vm: name_of(index),
        incarnation,
        state: match group {
            Some(_) => MemberState::Ready,
            None => MemberState::Idle,
        },
        group: group.clone(),
        generation: 1,
        fence: 1,
        weights: has_weights.then(|| DEPLOYMENT.to_owned()),
        running: 0,
        queued: 0,
    }
}

/// Prints the duration of one planning round for growing fleets in which one machine in 400 was
/// just lost.
fn print_planner_times() {
    println!("\nplanner time for one round");
    for vms in [108, 1_008, 4_014, 12_006] {
        let mut replay = Replay::new(Policy::Planner, weights(3, 1), vms, 4);
        replay.run_policy();
        replay.now = 1_000;
        for vm in (9..vms).step_by(400) {
            replay.lose(vm);
        }
        replay.now += 10;
        let mut times: Vec<Duration> = (0..21)
            .map(|_| {
                let start = Instant::now();
                let steps = replay.decide();
                assert!(!steps.is_empty(), "the plan must not be empty");
                start.elapsed()
            })
            .collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        let each = median.as_secs_f64() * 1e6 / vms as f64;
        println!("{vms:>6} VMs: median {median:?}, {each:.2} us a VM");
    }
}
