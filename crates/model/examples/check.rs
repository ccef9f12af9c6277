//! Checks every specification, and that every seeded defect is detected.
//!
//! Exits with 0 only if every property holds in every reachable state, no state is stuck, and every
//! defect yields a counterexample.

use std::process::ExitCode;

use briarswitch_model::{
    search, stuck_states, ConfigDefect, ConfigSpec, CrashDefect, CrashPartDefect, CrashPartSpec,
    CrashSpec, DepartureDefect, DepartureSpec, ForwardDefect, ForwardSpec, GateDefect, GateSpec,
    GroupFormationDefect, GroupFormationSpec, KeyDefect, KeySpec, LeaseDefect, LeaseSpec,
    OrderDefect, OrderSpec, RelayDefect, RelaySpec, RestartDefect, RestartSpec, SharedQueueDefect,
    SharedQueueSpec, Specification, StatedLimitDefect, StatedLimitSpec, WarmupDefect,
    WarmupLimitSpec,
};

/// Prints the results of the checks and counts failures.
#[derive(Default)]
struct CheckSummary {
    failures: usize,
}

impl CheckSummary {
    fn check_properties<S: Specification>(&mut self, name: &str, spec: &S) {
        let report = search(spec);
        let is_sound = report.violation.is_none() && report.is_exhausted;
        println!(
            "{} {name}: {} states, exhausted {}",
            if is_sound { "holds  " } else { "BROKEN " },
            report.states,
            report.is_exhausted,
        );
        if let Some(violation) = report.violation {
            println!("    {}: {}", violation.property, violation.trace.join("; "));
        }
        self.failures += usize::from(!is_sound);
    }

    fn check_liveness<S: Specification>(&mut self, name: &str, spec: &S) {
        let stuck = stuck_states(spec);
        let label = if stuck == 0 { "live   " } else { "STUCK  " };
        println!("{label} {name}: {stuck} states from which no goal is reachable");
        self.failures += usize::from(stuck > 0);
    }

    fn check_defect<S: Specification>(&mut self, name: &str, spec: &S) {
        let report = search(spec);
        match report.violation {
            Some(violation) => {
                println!(
                    "caught  {name}: {} steps violate \"{}\"",
                    violation.trace.len(),
                    violation.property
                );
                println!("    {}", violation.trace.join("; "));
            }
            None => {
                println!("MISSED  {name}: {} states", report.states);
                self.failures += 1;
            }
        }
    }
}

fn main() -> ExitCode {
    let mut summary = CheckSummary::default();
    summary.check_properties("lease without orders", &LeaseSpec::without_orders());
    summary.check_properties("lease, engines that check fencing", &LeaseSpec::sound(true));
    summary.check_properties(
        "lease, engines that ignore fencing",
        &LeaseSpec::sound(false),
    );
    summary.check_properties(
        "orders, engines that check fencing",
        &OrderSpec::sound(true),
    );
    summary.check_properties(
        "orders, engines that ignore fencing",
        &OrderSpec::sound(false),
    );
    summary.check_properties(
        "group formation by conditional orders",
        &GroupFormationSpec::sound(),
    );
    summary.check_properties("join orders across a restart", &RestartSpec::sound());
    summary.check_properties("configuration through readers", &RelaySpec::sound());
    summary.check_properties("serving gate", &GateSpec::sound());
    summary.check_properties("configuration edits", &ConfigSpec::sound());
    summary.check_properties("at-most-once execution by key", &KeySpec::sound());
    summary.check_properties("requests that crash targets", &CrashSpec::sound());
    summary.check_properties("parts that crash targets", &CrashPartSpec::sound());
    summary.check_properties("targets that leave", &DepartureSpec::sound());
    summary.check_properties("limit of a target that warms up", &WarmupLimitSpec::sound());
    summary.check_properties("limit that a target states", &StatedLimitSpec::sound());
    summary.check_properties("queue that nodes share", &SharedQueueSpec::sound());
    summary.check_properties("forwarding, at-most-once", &ForwardSpec::sound(false));
    summary.check_properties("forwarding, repeatable", &ForwardSpec::sound(true));
    summary.check_liveness("lease", &LeaseSpec::short());
    summary.check_liveness(
        "orders, engines that check fencing",
        &OrderSpec::sound(true),
    );
    summary.check_liveness(
        "orders, engines that ignore fencing",
        &OrderSpec::sound(false),
    );
    summary.check_liveness("serving gate", &GateSpec::sound());
    summary.check_liveness("configuration edits", &ConfigSpec::sound());
    summary.check_liveness("at-most-once execution by key", &KeySpec::sound());
    summary.check_liveness("forwarding", &ForwardSpec::sound(true));
    for (checks, defect) in [
        (true, LeaseDefect::CountedFromResponse),
        (true, LeaseDefect::EarlyChallenger),
        (true, LeaseDefect::FencingIgnored),
        (false, LeaseDefect::NoOrderWait),
        (false, LeaseDefect::UncheckedOrder),
    ] {
        let name = format!("lease with {defect:?}");
        summary.check_defect(&name, &LeaseSpec::defective(checks, defect));
    }
    for defect in [
        OrderDefect::FencingIgnored,
        OrderDefect::ClaimedWithoutReport,
        OrderDefect::UnacknowledgedLeave,
        OrderDefect::SameFence,
    ] {
        let name = format!("orders with {defect:?}");
        summary.check_defect(&name, &OrderSpec::defective(defect));
    }
    for defect in [
        GroupFormationDefect::SequenceIgnored,
        GroupFormationDefect::IncarnationIgnored,
        GroupFormationDefect::ReusedBeforeStop,
        GroupFormationDefect::OpenedBeforeReady,
        GroupFormationDefect::UnknownTakenAsDone,
    ] {
        let name = format!("groups with {defect:?}");
        summary.check_defect(&name, &GroupFormationSpec::defective(defect));
    }
    for defect in [
        RestartDefect::EpochFromReport,
        RestartDefect::EpochIgnored,
        RestartDefect::ChosenByStaleReport,
        RestartDefect::OpenedOtherIncarnation,
        RestartDefect::SequenceIgnored,
    ] {
        let name = format!("restart with {defect:?}");
        summary.check_defect(&name, &RestartSpec::defective(defect));
    }
    for defect in [
        RelayDefect::AgeIgnored,
        RelayDefect::PartialConfirms,
        RelayDefect::OlderAdopted,
        RelayDefect::DatedByResponse,
    ] {
        let name = format!("readers with {defect:?}");
        summary.check_defect(&name, &RelaySpec::defective(defect));
    }
    for defect in [
        GateDefect::NeverExpires,
        GateDefect::CountedFromResponse,
        GateDefect::OlderUndoesRevocation,
        GateDefect::GenerationIgnored,
    ] {
        let name = format!("gate with {defect:?}");
        summary.check_defect(&name, &GateSpec::defective(defect));
    }
    for defect in [
        ConfigDefect::LowerAccepted,
        ConfigDefect::BlindRetry,
        ConfigDefect::SettleWithoutVoid,
        ConfigDefect::UnconditionalHead,
    ] {
        let name = format!("configuration with {defect:?}");
        summary.check_defect(&name, &ConfigSpec::defective(defect));
    }
    for defect in [
        KeyDefect::SentBeforeClaimKnown,
        KeyDefect::RetriedUnknown,
        KeyDefect::ReleasedUnknown,
        KeyDefect::UnconditionalClaim,
        KeyDefect::BrokenReportedNotRun,
    ] {
        let name = format!("keys with {defect:?}");
        summary.check_defect(&name, &KeySpec::defective(defect));
    }
    for defect in [
        CrashDefect::NeverWritten,
        CrashDefect::Summed,
        CrashDefect::DeletedEarly,
        CrashDefect::SingleRow,
        CrashDefect::NoInitialRead,
        CrashDefect::EraIgnored,
    ] {
        let name = format!("requests that crash targets with {defect:?}");
        summary.check_defect(&name, &CrashSpec::defective(defect));
    }
    for defect in [
        CrashPartDefect::ClearsAll,
        CrashPartDefect::ClearUntold,
        CrashPartDefect::SharedPartBlamed,
        CrashPartDefect::FirstPartOnly,
        CrashPartDefect::NoObjection,
    ] {
        let name = format!("parts that crash targets with {defect:?}");
        summary.check_defect(&name, &CrashPartSpec::defective(defect));
    }
    for defect in [
        DepartureDefect::OwnFailureIsOutage,
        DepartureDefect::NothingKept,
        DepartureDefect::KeptForGood,
    ] {
        let name = format!("targets that leave with {defect:?}");
        summary.check_defect(&name, &DepartureSpec::defective(defect));
    }
    for defect in [
        WarmupDefect::RoundedUp,
        WarmupDefect::RankedAmongLive,
        WarmupDefect::SentAfterRestart,
        WarmupDefect::CountedForASecond,
    ] {
        let name = format!("limit of a target that warms up with {defect:?}");
        summary.check_defect(&name, &WarmupLimitSpec::defective(defect));
    }
    for defect in [
        StatedLimitDefect::EndedByOvertaken,
        StatedLimitDefect::ReportedOn,
        StatedLimitDefect::AgeLost,
        StatedLimitDefect::TrustedAtOnce,
    ] {
        let name = format!("limit that a target states with {defect:?}");
        summary.check_defect(&name, &StatedLimitSpec::defective(defect));
    }
    for defect in [
        SharedQueueDefect::OlderReplaces,
        SharedQueueDefect::GrantUncounted,
        SharedQueueDefect::NeverExpires,
        SharedQueueDefect::FallbackKeepsGrant,
    ] {
        let name = format!("queue that nodes share with {defect:?}");
        summary.check_defect(&name, &SharedQueueSpec::defective(defect));
    }
    for (is_repeatable, defect) in [
        (true, ForwardDefect::SecondHop),
        (false, ForwardDefect::RepeatAfterBrokenHop),
        (false, ForwardDefect::NotRunAfterBrokenHop),
        (true, ForwardDefect::TwoResume),
        (true, ForwardDefect::PeerRetries),
    ] {
        let name = format!("forwarding with {defect:?}");
        summary.check_defect(&name, &ForwardSpec::defective(is_repeatable, defect));
    }
    println!("{} checks failed", summary.failures);
    ExitCode::from(u8::from(summary.failures > 0))
}
