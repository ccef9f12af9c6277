//! Collects the log lines of one request or group from the logs of all nodes and explains the outcome
//! of requests.

use std::io::{self, Read};

use indexmap::IndexMap;

/// One log line, parsed into key-value pairs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    fields: IndexMap<String, String>,
}

/// Reason codes of `request_ended` and `attempt_failed`, each with an explanation and, where useful,
/// the log events to check next.
const REASONS: &[(&str, &str)] = &[
    (
        "no_target",
        "no target had a free slot in time; check limited, backing_off and leaving for targets that were passed over, and domain_state for the groups that were open",
    ),
    (
        "quarantined",
        "targets crashed under the request, or under others with the same part in their prompts; check quarantine_refused for which, and release it if the cause is gone",
    ),
    (
        "queue_deadline",
        "the request timed out before a slot became free",
    ),
    (
        "connect",
        "the connection to the target could not be opened; nothing was sent",
    ),
    (
        "closed_before_send",
        "a pooled connection was found closed; nothing was sent",
    ),
    (
        "target_refused",
        "the target reported that it did not run the request",
    ),
    (
        "broken_before_head",
        "the connection failed, or the target stopped responding, after the request was sent",
    ),
    (
        "invalid_head",
        "the target sent something that is no response, or a status that no final response has",
    ),
    ("answer_deadline", "the target did not respond in time"),
    (
        "foreign_answer",
        "the response has the id of another attempt",
    ),
    (
        "truncated",
        "the response was incomplete or was altered on the way",
    ),
    ("target_error", "the target responded with an error"),
    (
        "stream_silent",
        "the whole group stopped responding; check target_suspected and target_silent",
    ),
    (
        "stream_broken",
        "the stream was interrupted and could not be resumed on another target",
    ),
    (
        "the key is not known",
        "the key is not in the configuration in force; compare config with the version that has it",
    ),
    (
        "no rule takes this host and path",
        "no rule of the configuration in force matches; compare config with the latest version",
    ),
    (
        "nobody can say whether the key still holds",
        "the node had no contact with the store for too long; check dependency_lost",
    ),
    (
        "no configuration is known yet",
        "the node had just started and had not received a configuration",
    ),
    (
        "partitioned",
        "the node reached no target; check reach_lost, and request_ended of the same request on another node",
    ),
    (
        "older configuration",
        "another node forwarded the request under a newer configuration than this one had; check config_adopted",
    ),
    (
        "this node is shutting down",
        "the node received a termination signal; check shutdown_begun",
    ),
];

/// Events in which a node learns that a target has a reason to be passed over.
const STATEMENT_EVENTS: [&str; 3] = [
    "target_limit_changed",
    "target_backoff_begun",
    "target_leaving",
];
/// Events with evidence for or against the quarantine of a request or of a part of prompts.
const QUARANTINE_EVENTS: [&str; 4] = [
    "end_counted",
    "quarantine_begun",
    "quarantine_ended",
    "request_cleared",
];
/// Fields of `request_ended` that count targets which were passed over.
const PASSED_OVER_FIELDS: [&str; 3] = ["limited", "backing_off", "leaving"];
/// Value of `forecast_ms` if no slot could be expected.
const NO_EXPECTED_WAIT: &str = "-1";
/// Time in seconds before a request within which statements of targets are listed.
const STATEMENT_TIME: f64 = 60.0;

impl LogLine {
    /// Parses a line; returns `None` if it is not a log line with an event.
    ///
    /// ```
    /// use briarswitch_ctl::explain::LogLine;
    ///
    /// let line = LogLine::parse("ts=1.5 node=a event=order_sent reason=\"all ready\"").unwrap();
    /// assert_eq!(line.get("reason"), "all ready");
    /// assert!(LogLine::parse("no pairs here").is_none());
    /// ```
    pub fn parse(line: &str) -> Option<Self> {
        let mut fields = IndexMap::new();
        let mut rest = line.trim();
        while let Some((key, tail)) = rest.split_once('=') {
            let key = key.trim().rsplit(' ').next().unwrap_or_default();
            let (value, after) = split_value(tail);
            fields.insert(key.to_owned(), value);
            rest = after;
        }
        fields.contains_key("event").then_some(Self { fields })
    }

    /// Returns the value of a field, or an empty string if it is absent.
    pub fn get(&self, field: &str) -> &str {
        self.fields.get(field).map_or("", String::as_str)
    }

    fn time(&self) -> f64 {
        self.get("ts").parse().unwrap_or(0.0)
    }

    fn text(&self) -> String {
        let skipped = ["ts", "level", "node", "event"];
        let fields = self
            .fields
            .iter()
            .filter(|(key, value)| !skipped.contains(&key.as_str()) && !value.is_empty());
        let fields: Vec<String> = fields
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        format!(
            "{:<18} {:<20} {}",
            self.get("node"),
            self.get("event"),
            fields.join(" ")
        )
    }
}

fn split_value(tail: &str) -> (String, &str) {
    let Some(quoted) = tail.strip_prefix('"') else {
        let end = tail.find(' ').unwrap_or(tail.len());
        return (tail[..end].to_owned(), &tail[end..]);
    };
    let mut value = String::new();
    let mut is_escaped = false;
    for (index, character) in quoted.char_indices() {
        match character {
            _ if is_escaped => {
                value.push(character);
                is_escaped = false;
            }
            '\\' => is_escaped = true,
            '"' => return (value, &quoted[index + 1..]),
            _ => value.push(character),
        }
    }
    (value, "")
}

/// Reads log files, or standard input if `files` is empty.
///
/// # Errors
///
/// Returns a message with the first file that cannot be read and the cause.
pub fn read_logs(files: &[String]) -> Result<Vec<LogLine>, String> {
    let mut texts = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
        texts.push(text);
    }
    if files.is_empty() {
        let mut text = String::new();
        let read = io::stdin().read_to_string(&mut text);
        read.map_err(|error| format!("standard input: {error}"))?;
        texts.push(text);
    }
    let lines = texts.iter().flat_map(|text| text.lines());
    Ok(lines.filter_map(LogLine::parse).collect())
}

/// Returns the log lines of a request and its outcome, or `None` if no line mentions it.
pub fn explain(lines: &[LogLine], request: &str) -> Option<String> {
    let found = lines_of(lines, "request", request)?;
    // The node that got the request from its caller knows the outcome, not the one that it was forwarded to.
    let last = found
        .iter()
        .rfind(|line| line.get("event") == "request_ended" && line.get("forwarded_by").is_empty());
    let outcome = last.map_or_else(
        || "the logs contain no end of the request".to_owned(),
        |line| explain_outcome(line),
    );
    let forecast = last.and_then(|line| explain_forecast(line));
    let passed_over = last.and_then(|line| explain_passed_over(lines, line));
    let parts = [format_lines(&found), outcome];
    let speed = explain_speed(&found);
    let quarantine = explain_quarantine(lines, &found);
    let parts = parts.into_iter().chain(forecast).chain(speed);
    let parts = parts.chain(passed_over).chain(quarantine);
    let parts: Vec<String> = parts.collect();
    Some(parts.join("\n\n"))
}

/// Returns by how much the chosen target was slower than others of its kind; `None` if it was not.
///
/// Of a forwarded request, the node that sent it to the target knows.
fn explain_speed(found: &[&LogLine]) -> Option<String> {
    let mut ends = found.iter().rev();
    let end = ends
        .find(|line| line.get("event") == "request_ended" && line.get("forwarded_to").is_empty())?;
    let ratio: f64 = end.get("speed_ratio").parse().ok()?;
    let (kind, name) = match end.get("group") {
        "" => ("target", end.get("target_id")),
        group => ("group", group),
    };
    (ratio > 1.0).then(|| {
        format!("the chosen {kind} {name} took {ratio} times as long as the median of its kind, as far as the node knew; check target_slow")
    })
}

/// Returns the forecast because of which a request was refused, or `None` if it was not refused by forecast.
fn explain_forecast(end: &LogLine) -> Option<String> {
    let expected = match end.get("forecast_ms") {
        "" | "0" => return None,
        NO_EXPECTED_WAIT => "no slot was expected as things stood".to_owned(),
        millis => format!("a slot was expected only after {millis} ms"),
    };
    Some(format!(
        "refused by forecast: {expected}; check model_supply for the slots in use, and forecast_checked of {} for how far \
         its forecasts were off",
        end.get("node")
    ))
}

/// Returns what targets had said to the node that passed some of them over, or `None` if it passed none over.
fn explain_passed_over(lines: &[LogLine], end: &LogLine) -> Option<String> {
    let counts = PASSED_OVER_FIELDS.map(|field| (field, end.get(field)));
    counts
        .iter()
        .find(|(_, count)| !matches!(*count, "" | "0"))?;
    let node = end.get("node");
    let mut latest: IndexMap<(&str, &str), &LogLine> = IndexMap::new();
    for line in sorted(lines) {
        let age = end.time() - line.time();
        let is_statement = STATEMENT_EVENTS.contains(&line.get("event"));
        if is_statement && line.get("node") == node && (0.0..STATEMENT_TIME).contains(&age) {
            latest.insert((line.get("event"), line.get("target_id")), line);
        }
    }
    let counts = counts.map(|(field, count)| format!("{field}={count}"));
    let statements: Vec<&LogLine> = latest.into_values().collect();
    Some(format!(
        "targets that were passed over ({}) had said at {node}:\n{}",
        counts.join(", "),
        format_relative(&statements, end.time())
    ))
}

/// Returns what all nodes know of the request or part whose quarantine kept a request from running; `None` if none did.
fn explain_quarantine(lines: &[LogLine], found: &[&LogLine]) -> Option<String> {
    let refusal = found
        .iter()
        .rfind(|line| line.get("event") == "quarantine_refused")?;
    let print = refusal.get("print");
    let mut evidence = sorted(lines);
    evidence.retain(|line| {
        line.get("print") == print && QUARANTINE_EVENTS.contains(&line.get("event"))
    });
    Some(format!(
        "the {} {print} is quarantined:\n{}",
        refusal.get("kind"),
        format_relative(&evidence, refusal.time())
    ))
}

fn sorted(lines: &[LogLine]) -> Vec<&LogLine> {
    let mut sorted: Vec<&LogLine> = lines.iter().collect();
    sorted.sort_by(|left, right| left.time().total_cmp(&right.time()));
    sorted
}

/// Returns the log lines of a group, or `None` if no line mentions it.
pub fn timeline(lines: &[LogLine], group: &str) -> Option<String> {
    Some(format_lines(&lines_of(lines, "group", group)?))
}

fn lines_of<'a>(lines: &'a [LogLine], field: &str, value: &str) -> Option<Vec<&'a LogLine>> {
    let mut found = sorted(lines);
    found.retain(|line| line.get(field) == value);
    (!found.is_empty()).then_some(found)
}

fn format_lines(lines: &[&LogLine]) -> String {
    format_relative(lines, lines.first().map_or(0.0, |line| line.time()))
}

/// Returns lines with their times in seconds after `start`.
fn format_relative(lines: &[&LogLine], start: f64) -> String {
    let formatted = lines
        .iter()
        .map(|line| format!("{:>+9.3} s  {}", line.time() - start, line.text()));
    formatted.collect::<Vec<_>>().join("\n")
}

fn explain_outcome(line: &LogLine) -> String {
    let reason = line.get("reason");
    let outcome = line.get("outcome");
    let meaning = REASONS.iter().find(|(code, _)| *code == reason);
    match (meaning, reason) {
        (Some((_, meaning)), _) => format!("{outcome}, because of {reason}: {meaning}"),
        (None, "") => outcome.to_owned(),
        (None, reason) => format!("{outcome}, because of {reason}"),
    }
}
