//! Settings files, which may still be written while the process starts.

use std::fs;
use std::io;
use std::time::{Duration, Instant};

use serde::de::IgnoredAny;

/// Longest wait for a file that can't be read or is not whole.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which such a file is read again.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Reads a settings file, and waits a while for one that can't be read or ends too early.
///
/// # Errors
///
/// Returns the last error if the file still can't be read; a file that is not whole is returned as it is.
pub fn read_when_whole(name: &str) -> io::Result<String> {
    let deadline = Instant::now() + WRITE_TIMEOUT;
    let mut is_reported = false;
    loop {
        let result = fs::read_to_string(name);
        if result.as_ref().is_ok_and(|text| is_whole(text)) || Instant::now() >= deadline {
            return result;
        }
        if !is_reported {
            eprintln!(
                "{name}: can't be read or ends too early; it is read again for {WRITE_TIMEOUT:?}"
            );
            is_reported = true;
        }
        std::thread::sleep(READ_INTERVAL);
    }
}

/// Returns whether a text doesn't end in the middle of a JSON document.
///
/// ```
/// use briarswitch_node::settings_file::is_whole;
///
/// assert!(is_whole("{\"zone\": \"z1\"}"));
/// assert!(!is_whole("{\"zone\": \"z"));
/// ```
pub fn is_whole(text: &str) -> bool {
    let parsed = serde_json::from_str::<IgnoredAny>(text);
    !parsed.is_err_and(|error| error.is_eof())
}
