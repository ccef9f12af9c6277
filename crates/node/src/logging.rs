//! Logger that writes one line of `key=value` pairs for each event.

use std::fmt::Write as _;
use std::io::Write;

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::log_writer::LogWriter;

/// Appends a record's key-value pairs to a line.
struct PairWriter<'a> {
    line: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let _ = write!(self.line, " {key}={}", quoted(&value.to_string()));
        Ok(())
    }
}

/// Installs the logger, which writes to standard output from a thread of its own.
///
/// Only records of this project's crates are written.
///
/// # Errors
///
/// Returns an error when a logger is installed already.
pub fn start(level: LevelFilter, node: &str) -> Result<(), log::SetLoggerError> {
    let node = node.to_owned();
    fern::Dispatch::new()
        .format(move |out, _, record| out.finish(format_args!("{}", format_line(record, &node))))
        .level(LevelFilter::Trace)
        .level_for("tracing", LevelFilter::Warn)
        .filter(|metadata| metadata.target().starts_with("briarswitch"))
        .chain(Box::new(LogWriter::spawn(std::io::stdout())) as Box<dyn Write + Send>)
        .apply()?;
    log::set_max_level(level);
    Ok(())
}

/// Formats a record as a line.
///
/// ```
/// use briarswitch_node::logging::format_line;
///
/// let record = log::Record::builder()
///     .args(format_args!("node_started"))
///     .level(log::Level::Info)
///     .build();
/// assert!(format_line(&record, "n1").ends_with("level=info node=n1 event=node_started"));
/// ```
pub fn format_line(record: &Record<'_>, node: &str) -> String {
    let timestamp = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let mut line = format!(
        "ts={}.{:03} level={} node={} event={}",
        timestamp.as_secs(),
        timestamp.subsec_millis(),
        record.level().as_str().to_lowercase(),
        quoted(node),
        quoted(&record.args().to_string()),
    );
    let _ = record
        .key_values()
        .visit(&mut PairWriter { line: &mut line });
    line
}

/// Quotes a value unless it consists of printable ASCII characters other than `"` and `=`, so that
/// a record is always one line and its pairs can be told apart.
fn quoted(text: &str) -> String {
    let is_plain = !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'"' && byte != b'=');
    if is_plain {
        text.to_owned()
    } else {
        format!("{text:?}")
    }
}
