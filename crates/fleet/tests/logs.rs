//! Checks the table of log events in the operators' documentation against the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
/// Source folders whose log events the table lists.
const SOURCES: [&str; 4] = ["src", "../http/src", "../kernel/src", "../../platform/src"];
/// Single source files whose log events the table lists.
const FILES: [&str; 1] = ["../node/src/exit.rs"];

/// Returns the name and the keys of every event that a source file logs.
fn events_of(text: &str) -> Vec<(String, Vec<String>)> {
    let calls = text.split("log::").skip(1).filter_map(|rest| {
        let (level, body) = rest.split_once("!(")?;
        let is_call = ["info", "warn", "error", "debug"].contains(&level);
        is_call.then_some(body)
    });
    calls.filter_map(event_of).collect()
}

fn event_of(body: &str) -> Option<(String, Vec<String>)> {
    // A call ends at the first closing parenthesis that follows the event's name; arguments may contain others.
    let ends = body
        .match_indices(')')
        .map(|(end, _)| body[..end].trim_end());
    let mut named = ends.filter_map(|call| Some((call, last_literal(call)?)));
    let (call, name) = named.find(|(_, name)| !name.is_empty())?;
    let fields = call.split(" = ").filter_map(|part| {
        let last = part
            .rsplit(|letter: char| " \n(,;".contains(letter))
            .next()?;
        let field = last.trim_end_matches(":%");
        let is_name = field
            .chars()
            .all(|letter| letter.is_ascii_lowercase() || letter == '_');
        (is_name && !field.is_empty()).then(|| field.to_owned())
    });
    Some((name.to_owned(), fields.collect()))
}

/// Returns the content of the string literal at the end of a text.
fn last_literal(text: &str) -> Option<&str> {
    let inner = text.strip_suffix('"')?;
    inner.rsplit('"').next()
}

/// Returns the events of all source files in a folder and in those below it.
fn events_below(folder: &Path) -> Vec<(String, Vec<String>)> {
    let mut events = Vec::new();
    for entry in fs::read_dir(folder)
        .expect("readable source folder")
        .flatten()
    {
        let path = entry.path();
        if path.is_dir() {
            events.extend(events_below(&path));
        } else {
            let text = fs::read_to_string(path).expect("readable source file");
            events.extend(events_of(&text));
        }
    }
    events
}

fn logged() -> Vec<(String, Vec<String>)> {
    let mut events = Vec::new();
    for source in SOURCES {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(source);
        events.extend(events_below(&folder));
    }
    for file in FILES {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
        let text = fs::read_to_string(path).expect("readable source file");
        events.extend(events_of(&text));
    }
    events
}

fn documented() -> Vec<(String, Vec<String>)> {
    let rows = PAGE.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| `")?.split(" |");
        let name = cells.next()?.strip_suffix('`')?;
        let fields = cells
            .next()?
            .split(',')
            .map(|field| field.trim().to_owned());
        let is_event =
            name.contains('_') && name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
        is_event.then(|| {
            (
                name.to_owned(),
                fields.filter(|field| !field.is_empty()).collect(),
            )
        })
    });
    rows.collect()
}

#[gtest]
fn every_event_is_in_the_table_and_every_row_is_logged() {
    let names = |events: &[(String, Vec<String>)]| -> BTreeSet<String> {
        events.iter().map(|(name, _)| name.clone()).collect()
    };
    expect_that!(names(&documented()), eq(&names(&logged())));
}

#[gtest]
fn the_table_names_every_field_of_an_event() {
    let documented = documented();
    for (name, fields) in logged() {
        let row = documented.iter().find(|(other, _)| *other == name);
        let Some((_, listed)) = row else {
            continue;
        };
        for field in fields {
            expect_that!(listed, contains(eq(&field)), "{name}");
        }
    }
}
