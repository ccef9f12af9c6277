//! What one process may use of its machine.

/// Bytes of a megabyte, as machines state their memory.
pub const MEGABYTE: usize = 1_000_000;
/// Memory of a process whose settings state none, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 1_024 * MEGABYTE;
/// Open files of a process whose settings state none.
const DEFAULT_OPEN_FILES: usize = 16_384;

/// Limits of one process, as stated by its settings.
///
/// ```
/// use briarswitch_http::ProcessLimits;
///
/// assert_eq!(ProcessLimits::default().memory_bytes, 1_024_000_000);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessLimits {
    /// Memory in bytes, with the bytes that were received but not read yet.
    pub memory_bytes: usize,
    /// Number of files and sockets that may be open.
    pub open_files: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_bytes: DEFAULT_MEMORY_BYTES,
            open_files: DEFAULT_OPEN_FILES,
        }
    }
}
