//! Human-readable output.

use std::cmp::Reverse;
use std::fmt::Write as _;

use briarswitch_wire::config::{EntryDoc, KindDoc, ValueDoc};
use briarswitch_wire::operator::{CostLine, StatusReply, TryReply, UsageRow};
use serde_json::Value;

/// Formats rows as a table; each column is as wide as its widest cell.
///
/// ```
/// use briarswitch_ctl::show::table;
///
/// let text = table(&["a", "b"], &[vec!["1".into(), "22".into()]]);
/// assert_eq!(text, "a  b\n1  22");
/// ```
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells
            .max()
            .unwrap_or(0)
            .max(headings[column].chars().count())
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let mut line = String::new();
        for (cell, width) in cells.iter().zip(&widths) {
            let _ = write!(line, "{cell:<width$}  ");
        }
        line.trim_end().to_owned()
    };
    let mut lines = vec![line(headings.to_vec())];
    lines.extend(
        rows.iter()
            .map(|row| line(row.iter().map(String::as_str).collect())),
    );
    lines.join("\n")
}

/// Formats the entities of one kind as a table.
pub fn entities(kind: KindDoc, entries: &[EntryDoc]) -> String {
    let rows: Vec<Vec<String>> = entries
        .iter()
        .filter(|entry| entry.kind == kind)
        .map(|entry| {
            let text = value_text(&entry.value);
            vec![entry.id.clone(), entry.version.to_string(), text]
        })
        .collect();
    table(&["name", "version", "text"], &rows)
}

/// Formats the value of an entity as JSON.
pub fn value_text(value: &ValueDoc) -> String {
    let text = match value {
        ValueDoc::Organisation(doc) => serde_json::to_string(doc),
        ValueDoc::Deployment(doc) => serde_json::to_string(doc),
        ValueDoc::Rules(rules) => serde_json::to_string(rules),
        ValueDoc::Deleted => Ok("deleted".to_owned()),
    };
    text.unwrap_or_default()
}

/// Formats an entity with its version.
pub fn entry_text(entry: &EntryDoc) -> String {
    format!("version {}\n{}", entry.version, value_text(&entry.value))
}

/// Formats the status of the system as reported by one node.
pub fn status(status: &StatusReply) -> String {
    let controller = status.controller.as_ref();
    let mut text = format!(
        "node {} in zone {}; controller {} at epoch {}\n",
        status.node,
        status.zone,
        controller.map_or("nobody", |lease| lease.holder.as_str()),
        controller.map_or(0, |lease| lease.epoch),
    );
    let _ = writeln!(
        text,
        "group downtime {:.1} s, stranded accelerators {}\n",
        status.group_downtime_s, status.stranded_accelerators
    );
    let groups: Vec<Vec<String>> = status
        .groups
        .iter()
        .map(|group| {
            vec![
                group.zone.clone(),
                group.deployment.clone(),
                group.group.clone(),
                group.generation.to_string(),
                group.state.clone(),
                if group.is_routable { "yes" } else { "no" }.to_owned(),
                group.members.join(","),
            ]
        })
        .collect();
    let headings = [
        "zone",
        "deployment",
        "group",
        "generation",
        "state",
        "routable",
        "members",
    ];
    text.push_str(&table(&headings, &groups));
    text.push_str("\n\n");
    let versions: Vec<Vec<String>> = status
        .versions
        .iter()
        .map(|node| {
            vec![
                node.node.clone(),
                node.version.to_string(),
                format!("{} ms", node.heard_ms),
            ]
        })
        .collect();
    text.push_str(&table(&["node", "config version", "heard"], &versions));
    text
}

/// Formats metered usage.
pub fn usage(rows: &[UsageRow]) -> String {
    let rows: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            vec![
                row.organisation.clone(),
                row.requests.to_string(),
                row.tokens.to_string(),
            ]
        })
        .collect();
    table(&["organisation", "requests", "tokens"], &rows)
}

/// Formats the costs of a node's activities, the most frequent first.
pub fn costs(lines: &[CostLine]) -> String {
    let mut lines: Vec<&CostLine> = lines.iter().collect();
    lines.sort_by_key(|line| Reverse(line.count));
    let rows: Vec<Vec<String>> = lines
        .into_iter()
        .map(|line| {
            let numbers = [line.count, line.bytes, line.micros];
            let numbers = numbers.iter().map(u64::to_string);
            std::iter::once(line.name.clone()).chain(numbers).collect()
        })
        .collect();
    table(&["cause", "count", "bytes", "microseconds"], &rows)
}

/// Formats which rule matches a request, and why the earlier ones do not.
pub fn rule_match(reply: &TryReply) -> String {
    let mut text = String::new();
    for passed in &reply.passed_over {
        let _ = writeln!(
            text,
            "{}: does not match on {}",
            passed.rule, passed.failing
        );
    }
    match (&reply.rule, &reply.then) {
        (Some(rule), Some(then)) => {
            let then = serde_json::to_string(then).unwrap_or_default();
            let _ = write!(text, "{rule}: matches; {then}");
        }
        _ => text.push_str("no rule matches; the request would be refused with code no_rule"),
    }
    text
}

/// Formats the plan of a zone's controller.
pub fn plan(plan: &Value) -> String {
    let holder = plan["controller"].as_str().unwrap_or("nobody");
    if plan["is_controller"] != true {
        return format!("this node does not control its zone; query {holder}");
    }
    let steps = plan["steps"].as_array().cloned().unwrap_or_default();
    if steps.is_empty() {
        return "nothing to do: all desired groups exist, or no machines are free".to_owned();
    }
    let lines: Vec<&str> = steps.iter().filter_map(Value::as_str).collect();
    lines.join("\n")
}
