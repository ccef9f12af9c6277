//! A process of the system, started with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

/// Program and first argument of the deploy file's `run`; the path of the settings follows.
const PROGRAM: &str = "target/release/briarswitch-node";
const PLATFORM_FLAG: &str = "--fleet";
/// Template of the settings that the deploy file names.
const TEMPLATE: &str = include_str!("../../../deploy/node.json.template");
/// Time within which a node has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

const SIGKILL: i32 = 9;

/// Processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Place of a node: its name, its loopback address and its zone.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub ip: String,
    pub zone: String,
}

/// What the platform states in the settings beside the place.
#[derive(Clone, Debug)]
pub struct Platform {
    pub store: String,
    pub zones: Vec<String>,
    pub is_first_start: bool,
}

/// A running node; its process is killed when this is dropped.
pub struct Node {
    pub place: Place,
    /// Address for clients.
    pub front: String,
    ready: String,
    child: Child,
    folder: PathBuf,
}

impl Node {
    pub fn start(place: Place, platform: &Platform) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!(
            "briarswitch-review-{}-{}",
            std::process::id(),
            place.name
        ));
        fs::create_dir_all(&folder)?;
        let settings = folder.join("node.json");
        let front = free_address(&place.ip)?;
        let ready = free_address(&place.ip)?;
        fs::write(&settings, render(&place, platform, &front, &ready)?)?;
        let log = File::create(folder.join("log"))?;
        let mut command = Command::new(PROGRAM);
        command.arg(PLATFORM_FLAG).arg(&settings).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("BRIARSWITCH_NODE_FILE", &settings);
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        running(|pids| pids.push(child.id()));
        Ok(Self {
            place,
            front,
            ready,
            child,
            folder,
        })
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nhost: health\r\nconnection: close\r\n\r\n";
        call(&self.ready, request).is_ok_and(|(head, _)| head.status == 200)
    }

    /// Waits until the node is ready; returns whether it is.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        running(|pids| pids.retain(|pid| *pid != self.child.id()));
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns an address with a port that is free at present.
fn free_address(ip: &str) -> io::Result<String> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.to_string())
}

/// Fills in the template as the platform does, with the bounds of the small deployments.
fn render(place: &Place, platform: &Platform, front: &str, ready: &str) -> io::Result<String> {
    let peers = free_address(&place.ip)?;
    let peer_port = peers.rsplit(':').next().unwrap_or_default();
    let quoted = |text: &str| format!("\"{text}\"");
    let zones = platform.zones.iter();
    let zones: Vec<String> = zones.map(|zone| format!("\"{zone}\":\"region\"")).collect();
    let values = [
        ("{{node_name|json}}", quoted(&place.name)),
        ("{{zone|json}}", quoted(&place.zone)),
        ("{{zones|json}}", format!("{{{}}}", zones.join(","))),
        ("{{listen.front|json}}", quoted(front)),
        ("{{listen.ready|json}}", quoted(ready)),
        ("{{ip}}", place.ip.clone()),
        ("{{internal_port_range.0}}", peer_port.to_owned()),
        ("{{platform.address|json}}", quoted(&platform.store)),
        ("{{limits.link_mbps|json}}", "1000.0".to_owned()),
        ("{{limits.memory_mb|json}}", "260".to_owned()),
        ("{{limits.max_open_files|json}}", "4200".to_owned()),
        ("{{bootstrap|json}}", platform.is_first_start.to_string()),
        ("{{bounds.fail_closed|json}}", "true".to_owned()),
        ("{{bounds.revoke_ms|json}}", "5000".to_owned()),
        ("{{bounds.retry_budget_ratio|json}}", "0.2".to_owned()),
        ("{{bounds.budget_slack|json}}", "130".to_owned()),
        ("{{bounds.budget_window_s|json}}", "10".to_owned()),
        ("{{bounds.grace_period_s|json}}", "8".to_owned()),
    ];
    let filled = values
        .iter()
        .fold(TEMPLATE.to_owned(), |text, (name, value)| {
            text.replace(name, value)
        });
    if filled.contains("{{") {
        return Err(io::Error::other("the template has an unknown field"));
    }
    Ok(filled)
}

/// Returns whether the program of the deploy file has been built.
pub fn is_built() -> bool {
    Path::new(PROGRAM).exists()
}

fn running<R>(act: impl FnOnce(&mut Vec<u32>) -> R) -> R {
    act(&mut RUNNING.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Kills the processes that still run; for the end of a run that took too long.
pub fn kill_all() {
    for pid in running(std::mem::take) {
        // SAFETY: the call takes two numbers; the process is a child that has not been waited for.
        unsafe {
            kill(pid as i32, SIGKILL);
        }
    }
}

/// Returns a loopback address of this run; no other run on the machine uses it at the same time.
pub fn loopback_ip(index: u8) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{index}", 64 + pid % 64, 1 + pid / 64 % 250)
}
