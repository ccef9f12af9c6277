//! What one process may use of its machine, and how its listeners share it.

use nix::sys::resource::{getrlimit, Resource};

/// Bytes of a megabyte, as machines state their memory.
const MEGABYTE: usize = 1_000_000;
/// Memory of a process whose settings state none, in MB.
pub const DEFAULT_MEMORY_MB: usize = 1_024;
/// Open files of a process whose settings state none.
pub const DEFAULT_OPEN_FILES: usize = 16_384;
/// Memory that one connection takes beyond its claims, in bytes: read buffer, unread bytes, small
/// bodies and state.
const CONNECTION_BYTES: usize = 40 << 10;
/// Largest part of the memory for callers' bytes where bodies are large, as one in so many.
const LARGE_BODY_SHARE: usize = 3;
/// Part of the memory for responses that the process reads for itself, as one in so many.
const RESPONSE_SHARE: usize = 8;
/// Connections that a listener accepts on the smallest machine.
const MIN_CONNECTIONS: usize = 16;

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

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListenerKind {
    /// Callers, whose number is not known.
    Callers,
    /// Other nodes.
    Peers,
    /// Operators, health checks and scrapers of metrics.
    Admin,
}

/// Shares of a process's limits that one listener may use, each as one in so many.
struct ListenerShares {
    open_files: usize,
    connection_memory: usize,
    account: usize,
}

impl ListenerKind {
    /// Returns the name for logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Admin => "admin",
        }
    }

    /// Returns the listener's shares.
    ///
    /// Each running request needs a connection to its caller and one to its target, so callers get
    /// less than half of the files. All shares, with that of responses, leave a tenth of the memory to the rest of the
    /// process.
    const fn shares(self) -> ListenerShares {
        let (open_files, connection_memory, account) = match self {
            Self::Callers => (3, 4, 4),
            Self::Peers => (8, 8, 8),
            Self::Admin => (32, 64, 64),
        };
        ListenerShares {
            open_files,
            connection_memory,
            account,
        }
    }
}

impl ProcessLimits {
    /// Returns limits of a machine with `memory_mb` MB of a million bytes.
    ///
    /// ```
    /// use briarswitch_http::ProcessLimits;
    ///
    /// assert_eq!(ProcessLimits::new(112, 2_870).memory_bytes, 112_000_000);
    /// ```
    pub fn new(memory_mb: usize, open_files: usize) -> Self {
        Self {
            memory_bytes: memory_mb * MEGABYTE,
            open_files,
        }
    }

    /// Returns the limits, lowered to what the operating system lets the process open.
    #[must_use]
    pub fn within_system_limits(self) -> Self {
        let soft_limit = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft);
        let soft_limit = soft_limit.unwrap_or_else(|error| {
            log::warn!(error:% = error; "file_limit_unknown");
            u64::MAX
        });
        let soft_limit = usize::try_from(soft_limit).unwrap_or(usize::MAX);
        Self {
            open_files: self.open_files.min(soft_limit),
            ..self
        }
    }

    /// Returns the number of bytes that responses which the process reads for itself may hold.
    pub(crate) fn response_bytes(&self) -> usize {
        self.memory_bytes / RESPONSE_SHARE
    }

    /// Returns the number of connections that a listener may have open.
    pub(crate) fn connections(&self, kind: ListenerKind) -> usize {
        let shares = kind.shares();
        let by_files = self.open_files / shares.open_files;
        let by_memory = self.memory_bytes / shares.connection_memory / CONNECTION_BYTES;
        by_files.min(by_memory).max(MIN_CONNECTIONS)
    }

    /// Returns the number of bytes that a listener's connections may claim if a body has at most `body_bytes`.
    ///
    /// Where bodies are large, callers get more, so that one of them fits in beside others.
    pub(crate) fn account_bytes(&self, kind: ListenerKind, body_bytes: usize) -> usize {
        let share = self.memory_bytes / kind.shares().account;
        match kind {
            ListenerKind::Callers => {
                let most = self.memory_bytes / LARGE_BODY_SHARE;
                share.max(body_bytes.saturating_mul(2).min(most))
            }
            ListenerKind::Peers | ListenerKind::Admin => share,
        }
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self::new(DEFAULT_MEMORY_MB, DEFAULT_OPEN_FILES)
    }
}
