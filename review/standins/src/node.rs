//! Starts the node with the command of the deploy file, and settings made from its template.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, Connection};

pub const SIGTERM: i32 = 15;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// What the settings take from a site file, beside the bounds that all sites used here share.
pub struct Site {
    /// Zones as a JSON object.
    pub zones: &'static str,
    pub link_mbps: &'static str,
    pub memory_mb: u32,
    pub open_files: u32,
    pub budget_slack: u32,
}

pub const KLL_KOCHI: Site = Site {
    zones: "{\"kakkanad\":\"kochi\",\"edappally\":\"kochi\",\"vyttila\":\"kochi\"}",
    link_mbps: "1000.0",
    memory_mb: 260,
    open_files: 4_200,
    budget_slack: 130,
};

pub const TASDID_RABAT: Site = Site {
    zones: "{\"casa-a\":\"casa-rabat\",\"casa-b\":\"casa-rabat\",\"rabat-c\":\"casa-rabat\"}",
    link_mbps: "14.0",
    memory_mb: 112,
    open_files: 2_870,
    budget_slack: 518,
};

pub const CADWALADR: Site = Site {
    zones: "{\"cymru-a\":\"cymru\",\"cymru-b\":\"cymru\",\"cymru-c\":\"cymru\"}",
    link_mbps: "200.0",
    memory_mb: 512,
    open_files: 8_192,
    budget_slack: 258,
};

/// Where nodes run, and with which settings.
pub struct Deployment {
    pub site: Site,
    /// Repository.
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
}

impl Deployment {
    /// Starts a node on a loopback address of its own, since its metrics port is fixed.
    pub fn start(&self, name: &str, zone: &str, ip: &str, store: SocketAddr) -> Node {
        let [front, ready, inner] = free_ports(ip);
        let fields = [
            ("node_name", format!("\"{name}\"")),
            ("zone", format!("\"{zone}\"")),
            ("zones", self.site.zones.to_owned()),
            ("listen.front", format!("\"{ip}:{front}\"")),
            ("listen.ready", format!("\"{ip}:{ready}\"")),
            ("ip", format!("\"{ip}\"")),
            ("internal_port_range.0", inner.to_string()),
            ("platform.address", format!("\"{store}\"")),
            ("limits.link_mbps", self.site.link_mbps.to_owned()),
            ("limits.memory_mb", self.site.memory_mb.to_string()),
            ("limits.max_open_files", self.site.open_files.to_string()),
            ("bootstrap", "true".to_owned()),
            ("bounds.fail_closed", "true".to_owned()),
            ("bounds.revoke_ms", "5000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", self.site.budget_slack.to_string()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_period_s", "8".to_owned()),
        ];
        let template = fs::read_to_string(self.root.join("deploy/node.json.template"));
        let mut settings = template.expect("the template of the deploy file");
        for (field, value) in &fields {
            settings = settings.replace(&format!("{{{{{field}|json}}}}"), value);
            settings = settings.replace(&format!("{{{{{field}}}}}"), value.trim_matches('"'));
        }
        let file = self.folder.join(format!("{name}.conf"));
        fs::write(&file, settings).expect("a settings file");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log file");
        let mut command = Command::new(self.root.join("target/release/briarswitch-node"));
        // SAFETY: the call only sets a property of the new process. Nodes are started by the main
        // thread, so they end with this program even if it is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .arg("--fleet")
            .arg(&file)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/")
            .env("LANG", "C")
            .env("BRIARSWITCH_NODE_FILE", &file)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file");
        Node {
            name: name.to_owned(),
            front: SocketAddr::new(ip.parse().unwrap(), front),
            ready: SocketAddr::new(ip.parse().unwrap(), ready),
            child,
        }
    }
}

impl Node {
    /// Asks the node whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let Ok(mut connection) = Connection::new(stream) else {
            return false;
        };
        let request = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        if std::io::Write::write_all(&mut connection.stream, request.as_bytes()).is_err() {
            return false;
        }
        let reply = read_message(&mut connection.reader);
        reply.is_ok_and(|reply| reply.is_some_and(|reply| reply.status() == 200))
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for, so its id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits for the process to end; returns a description of how it did, or `None`.
    pub fn wait(&mut self, limit: Duration) -> Option<String> {
        let end = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(match (status.code(), status.signal()) {
                    (Some(code), _) => format!("exit code {code}"),
                    (_, signal) => format!("signal {}", signal.unwrap_or(0)),
                });
            }
            if Instant::now() >= end {
                return None;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_ports(ip: &str) -> [u16; 3] {
    let listeners = [0; 3].map(|_| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

/// Creates a temporary folder.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// Copies the nodes' logs, for whoever wants to read them, if asked to.
pub fn keep_logs(folder: &Path) {
    match std::env::var("KEEP_LOGS") {
        Ok(_) => eprintln!("logs are in {}", folder.display()),
        Err(_) => {
            let _ = fs::remove_dir_all(folder);
        }
    }
}
