//! Ordered routing rules: the first rule that matches decides what happens to a request.

use crate::finding::Finding;
use crate::id::{DeploymentId, OrganisationId, ZoneId};

/// Highest value of a percentage.
const FULL_PERCENT: u8 = 100;

/// Properties of a request that rules can match on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestFacts {
    /// Organisation that the credential belongs to.
    pub organisation: OrganisationId,
    /// Deployment the caller asked for.
    pub asked: DeploymentId,
    /// Request headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Bytes in the request's body.
    pub body_bytes: u64,
    /// Zone of the node that took the request.
    pub zone: ZoneId,
    /// Minute of the day in UTC, 0 to 1439.
    pub minute_of_day: u16,
    /// Number from 0 to 99 derived from the caller's key, so that a caller always falls on the same
    /// side of a percentage split.
    pub draw: u8,
}

/// Conditions of a rule; all that are set must hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RuleMatch {
    /// Organisation of the caller.
    pub organisation: Option<OrganisationId>,
    /// Deployment that the caller asked for.
    pub asked: Option<DeploymentId>,
    /// Header that must have this value.
    pub header: Option<(String, String)>,
    /// Minimum size of the body in bytes.
    pub min_body_bytes: Option<u64>,
    /// Zone of the node that received the request.
    pub zone: Option<ZoneId>,
    /// Minutes of the day, from the first (inclusive) to the second (exclusive); may wrap over
    /// midnight.
    pub minutes: Option<(u16, u16)>,
    /// Percentage of callers, 0 to 100.
    pub percent: Option<u8>,
}

impl RuleMatch {
    /// Returns the first condition that does not hold, or `None` when all hold.
    pub fn first_mismatch(&self, facts: &RequestFacts) -> Option<&'static str> {
        let is_match = |wanted: &Option<String>, found: &str| {
            wanted.as_deref().is_none_or(|value| value == found)
        };
        if !is_match(&self.organisation, &facts.organisation) {
            return Some("organisation");
        }
        if !is_match(&self.asked, &facts.asked) {
            return Some("asked");
        }
        if !is_match(&self.zone, &facts.zone) {
            return Some("zone");
        }
        if let Some((name, value)) = &self.header {
            let has_header = facts
                .headers
                .iter()
                .any(|(found, text)| found.eq_ignore_ascii_case(name) && text == value);
            if !has_header {
                return Some("header");
            }
        }
        if self
            .min_body_bytes
            .is_some_and(|min| facts.body_bytes < min)
        {
            return Some("min_body_bytes");
        }
        if let Some((from, to)) = self.minutes {
            if !is_within(facts.minute_of_day, from, to) {
                return Some("minutes");
            }
        }
        if self.percent.is_some_and(|percent| facts.draw >= percent) {
            return Some("percent");
        }
        None
    }
}

fn is_within(minute: u16, from: u16, to: u16) -> bool {
    if from <= to {
        (from..to).contains(&minute)
    } else {
        minute >= from || minute < to
    }
}

/// What a rule does with a request that matches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RuleAction {
    /// Sends it to a deployment.
    Route {
        /// Deployment that serves it.
        deployment: DeploymentId,
        /// Priority that replaces the deployment's own.
        priority: Option<u8>,
    },
    /// Refuses it.
    Reject {
        /// Message for the caller.
        message: String,
    },
}

/// A rule of the ordered list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Name used in logs and by `briarctl rules try`.
    pub name: String,
    /// Conditions.
    pub when: RuleMatch,
    /// Action.
    pub then: RuleAction,
}

impl Rule {
    /// Validates the rule on its own and returns all errors, with paths below `path`.
    pub fn check(&self, path: &str) -> Vec<Finding> {
        let mut findings = Vec::new();
        if self.name.is_empty() {
            findings.push(Finding::new(format!("{path}.name"), "expected a name"));
        }
        if self
            .when
            .percent
            .is_some_and(|percent| percent > FULL_PERCENT)
        {
            findings.push(Finding::new(
                format!("{path}.when.percent"),
                "expected 0 to 100",
            ));
        }
        findings
    }
}

/// Returns the first rule that matches.
///
/// ```
/// use briarswitch_core::rule::{first_match, RequestFacts};
///
/// assert!(first_match(&[], &RequestFacts::default()).is_none());
/// ```
pub fn first_match<'a>(rules: &'a [Rule], facts: &RequestFacts) -> Option<&'a Rule> {
    rules
        .iter()
        .find(|rule| rule.when.first_mismatch(facts).is_none())
}
