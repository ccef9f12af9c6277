//! Searches every specification, and shows that every seeded defect is caught.
//!
//! Exits 0 only if every property holds in every state, no state is stuck, and every defect yields
//! a counterexample.

use std::process::ExitCode;

use briarswitch_model::{
    search, stuck_states, ConfigDefect, ConfigSpec, CrashDefect, CrashSpec, GateDefect, GateSpec,
    GroupFormationDefect, GroupFormationSpec, KeyDefect, KeySpec, LeaseDefect, LeaseSpec,
    OrderDefect, OrderSpec, RelayDefect, RelaySpec, RestartDefect, RestartSpec, Specification,
};

/// Counts what was not as it should be.
#[derive(Default)]
struct CheckTally {
    failures: usize,
}

impl CheckTally {
    fn holds<S: Specification>(&mut self, name: &str, spec: &S) {
        let report = search(spec);
        let is_sound = report.violation.is_none() && report.is_exhausted;
        println!(
            "{} {name}: {} states, exhausted {}",
            if is_sound { "holds " } else { "BROKEN" },
            report.states,
            report.is_exhausted,
        );
        if let Some(violation) = report.violation {
            println!("    {}: {}", violation.property, violation.trace.join("; "));
        }
        self.failures += usize::from(!is_sound);
    }

    fn progresses<S: Specification>(&mut self, name: &str, spec: &S) {
        let stuck = stuck_states(spec);
        let word = if stuck == 0 { "lives " } else { "STUCK " };
        println!("{word} {name}: {stuck} states from which nothing good is reached");
        self.failures += usize::from(stuck > 0);
    }

    fn catches<S: Specification>(&mut self, name: &str, spec: &S) {
        let report = search(spec);
        match report.violation {
            Some(violation) => {
                println!(
                    "caught {name}: {} steps break \"{}\"",
                    violation.trace.len(),
                    violation.property
                );
                println!("    {}", violation.trace.join("; "));
            }
            None => {
                println!("MISSED {name}: {} states", report.states);
                self.failures += 1;
            }
        }
    }
}

fn main() -> ExitCode {
    let mut tally = CheckTally::default();
    tally.holds("lease, contest alone", &LeaseSpec::contest());
    tally.holds("lease, engines that check fencing", &LeaseSpec::sound(true));
    tally.holds(
        "lease, engines that ignore fencing",
        &LeaseSpec::sound(false),
    );
    tally.holds(
        "orders, engines that check fencing",
        &OrderSpec::sound(true),
    );
    tally.holds(
        "orders, engines that ignore fencing",
        &OrderSpec::sound(false),
    );
    tally.holds("groups by conditional orders", &GroupFormationSpec::sound());
    tally.holds("a member that restarts", &RestartSpec::sound());
    tally.holds("configuration through readers", &RelaySpec::sound());
    tally.holds("serving gate", &GateSpec::sound());
    tally.holds("accepted configuration", &ConfigSpec::sound());
    tally.holds("at most once by key", &KeySpec::sound());
    tally.holds("requests that end targets", &CrashSpec::sound());
    tally.progresses("lease", &LeaseSpec::short());
    tally.progresses(
        "orders, engines that check fencing",
        &OrderSpec::sound(true),
    );
    tally.progresses(
        "orders, engines that ignore fencing",
        &OrderSpec::sound(false),
    );
    tally.progresses("serving gate", &GateSpec::sound());
    tally.progresses("accepted configuration", &ConfigSpec::sound());
    tally.progresses("at most once by key", &KeySpec::sound());
    for (checks, defect) in [
        (true, LeaseDefect::CountedFromResponse),
        (true, LeaseDefect::EarlyChallenger),
        (true, LeaseDefect::FencingIgnored),
        (false, LeaseDefect::NoOrderWait),
        (false, LeaseDefect::UncheckedOrder),
    ] {
        let name = format!("lease with {defect:?}");
        tally.catches(&name, &LeaseSpec::defective(checks, defect));
    }
    for defect in [
        OrderDefect::FencingIgnored,
        OrderDefect::ClaimedWithoutReport,
        OrderDefect::UnacknowledgedLeave,
        OrderDefect::SameFence,
    ] {
        let name = format!("orders with {defect:?}");
        tally.catches(&name, &OrderSpec::defective(defect));
    }
    for defect in [
        GroupFormationDefect::SequenceIgnored,
        GroupFormationDefect::IncarnationIgnored,
        GroupFormationDefect::ReusedBeforeStop,
        GroupFormationDefect::OpenedBeforeReady,
        GroupFormationDefect::UnknownTakenAsDone,
    ] {
        let name = format!("groups with {defect:?}");
        tally.catches(&name, &GroupFormationSpec::defective(defect));
    }
    for defect in [
        RestartDefect::EpochFromReport,
        RestartDefect::EpochIgnored,
        RestartDefect::ChosenByStaleReport,
        RestartDefect::OpenedOtherIncarnation,
        RestartDefect::SequenceIgnored,
    ] {
        let name = format!("restart with {defect:?}");
        tally.catches(&name, &RestartSpec::defective(defect));
    }
    for defect in [
        RelayDefect::AgeIgnored,
        RelayDefect::PartialConfirms,
        RelayDefect::OlderAdopted,
        RelayDefect::DatedByResponse,
    ] {
        let name = format!("readers with {defect:?}");
        tally.catches(&name, &RelaySpec::defective(defect));
    }
    for defect in [
        GateDefect::NeverExpires,
        GateDefect::CountedFromResponse,
        GateDefect::OlderUndoesRevocation,
        GateDefect::GenerationIgnored,
    ] {
        let name = format!("gate with {defect:?}");
        tally.catches(&name, &GateSpec::defective(defect));
    }
    for defect in [
        ConfigDefect::LowerAccepted,
        ConfigDefect::BlindRetry,
        ConfigDefect::SettleWithoutVoid,
        ConfigDefect::UnconditionalHead,
    ] {
        let name = format!("configuration with {defect:?}");
        tally.catches(&name, &ConfigSpec::defective(defect));
    }
    for defect in [
        KeyDefect::SentBeforeClaimKnown,
        KeyDefect::RetriedUnknown,
        KeyDefect::ReleasedUnknown,
        KeyDefect::UnconditionalClaim,
        KeyDefect::BrokenReportedNotRun,
    ] {
        let name = format!("keys with {defect:?}");
        tally.catches(&name, &KeySpec::defective(defect));
    }
    for defect in [
        CrashDefect::NeverWritten,
        CrashDefect::Summed,
        CrashDefect::DeletedEarly,
        CrashDefect::SingleRow,
        CrashDefect::NoInitialRead,
        CrashDefect::EraIgnored,
    ] {
        let name = format!("requests that end targets with {defect:?}");
        tally.catches(&name, &CrashSpec::defective(defect));
    }
    println!("{} not as it should be", tally.failures);
    ExitCode::from(u8::from(tally.failures > 0))
}
