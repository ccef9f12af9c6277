//! What a process uses of its machine, as the system reports it.

use std::collections::HashSet;
use std::fs;

/// What a machine has.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub memory_bytes: usize,
    pub open_files: usize,
}

/// What a process uses.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// The most that was resident at any time, with the bytes received but unread now.
    pub memory_bytes: usize,
    pub open_files: usize,
}

impl Usage {
    pub fn of(process: u32) -> Self {
        let sockets = sockets(process);
        Self {
            memory_bytes: resident_peak(process) + unread(process, &sockets),
            open_files: fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count),
        }
    }

    pub fn max(self, other: Self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            open_files: self.open_files.max(other.open_files),
        }
    }
}

pub fn is_alive(process: u32) -> bool {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let mut lines = status.lines();
    let state = lines.find_map(|line| line.strip_prefix("State:"));
    state.is_some_and(|state| !state.trim_start().starts_with(['Z', 'X']))
}

fn resident_peak(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|text| text.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Returns the inodes of a process's sockets.
fn sockets(process: u32) -> HashSet<String> {
    let files = fs::read_dir(format!("/proc/{process}/fd"));
    let files = files.into_iter().flatten().flatten();
    let links = files.filter_map(|file| fs::read_link(file.path()).ok());
    let names = links.filter_map(|link| {
        let name = link.to_str()?.strip_prefix("socket:[")?;
        Some(name.strip_suffix(']')?.to_owned())
    });
    names.collect()
}

/// Returns the bytes that a process's sockets have received and that it has not read.
fn unread(process: u32, sockets: &HashSet<String>) -> usize {
    let table = fs::read_to_string(format!("/proc/{process}/net/tcp")).unwrap_or_default();
    let queues = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let inode = fields.get(9)?;
        // A listener's queue counts connections.
        let is_listener = fields.get(3) == Some(&"0A");
        if is_listener || !sockets.contains(*inode) {
            return None;
        }
        let (_, received) = fields.get(4)?.split_once(':')?;
        usize::from_str_radix(received, 16).ok()
    });
    queues.sum()
}
