//! Gathers the log lines of one request or one group from all nodes and names what decided.

use std::io::{self, Read};

use indexmap::IndexMap;

/// One log line as its pairs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    fields: IndexMap<String, String>,
}

/// What a reason in the logs means, and where to look next.
///
/// The codes are those of `request_ended` and `attempt_failed`.
const REASONS: &[(&str, &str)] = &[
    (
        "no_target",
        "no target had a free place in time; look at domain_state for the groups that were open",
    ),
    (
        "queue_deadline",
        "its time was over before a place came free",
    ),
    (
        "connect",
        "the target could not be reached; nothing was sent",
    ),
    (
        "closed_before_send",
        "a kept connection was found closed; nothing was sent",
    ),
    ("target_refused", "the target said that it did not run it"),
    (
        "broken_before_head",
        "the connection broke, or the target fell silent, after the request was sent",
    ),
    ("answer_deadline", "the target did not answer in time"),
    ("foreign_answer", "the answer carried another attempt's id"),
    (
        "truncated",
        "the answer ended too early or was not as the target made it",
    ),
    ("target_error", "the target failed"),
    (
        "stream_silent",
        "the whole group fell silent; look for target_suspected and target_silent",
    ),
    (
        "stream_broken",
        "the stream broke off and could not go on elsewhere",
    ),
    (
        "the key is not known",
        "no configuration in force has the key; compare config with the version that holds it",
    ),
    (
        "no rule takes this host and path",
        "no rule of the configuration in force matches; compare config",
    ),
    (
        "nobody can say whether the key still holds",
        "the node had not reached the store for too long; look for dependency_lost",
    ),
    ("no configuration is known yet", "the node had just started"),
    (
        "this node is shutting down",
        "the node was told to end; look for shutdown_begun",
    ),
];

impl LogLine {
    /// Parses a line; `None` if it is no line of the logs.
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

    /// Returns a field's value, empty where there is none.
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
    for (index, letter) in quoted.char_indices() {
        match letter {
            _ if is_escaped => {
                value.push(letter);
                is_escaped = false;
            }
            '\\' => is_escaped = true,
            '"' => return (value, &quoted[index + 1..]),
            _ => value.push(letter),
        }
    }
    (value, "")
}

/// Reads log files, or standard input where none is named.
///
/// # Errors
///
/// Returns the first file that can not be read, and why.
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

/// Returns the story of one request, or `None` if no line names it.
pub fn explain(lines: &[LogLine], request: &str) -> Option<String> {
    let story = told(lines, "request", request)?;
    let last = story
        .iter()
        .rfind(|line| line.get("event") == "request_ended");
    let cause = last.map_or_else(
        || "the request has not ended in these logs".to_owned(),
        |line| cause_of(line),
    );
    Some(format!("{}\n\n{cause}", print(&story)))
}

/// Returns the story of one group, or `None` if no line names it.
pub fn timeline(lines: &[LogLine], group: &str) -> Option<String> {
    Some(print(&told(lines, "group", group)?))
}

fn told<'a>(lines: &'a [LogLine], field: &str, value: &str) -> Option<Vec<&'a LogLine>> {
    let mut story: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.get(field) == value)
        .collect();
    story.sort_by(|left, right| left.time().total_cmp(&right.time()));
    (!story.is_empty()).then_some(story)
}

fn print(story: &[&LogLine]) -> String {
    let start = story.first().map_or(0.0, |line| line.time());
    let lines = story
        .iter()
        .map(|line| format!("{:>+9.3} s  {}", line.time() - start, line.text()));
    lines.collect::<Vec<_>>().join("\n")
}

fn cause_of(line: &LogLine) -> String {
    let reason = line.get("reason");
    let outcome = line.get("outcome");
    let meaning = REASONS.iter().find(|(code, _)| *code == reason);
    match (meaning, reason) {
        (Some((_, meaning)), _) => format!("{outcome}, because of {reason}: {meaning}"),
        (None, "") => outcome.to_owned(),
        (None, reason) => format!("{outcome}, because of {reason}"),
    }
}
