//! DRAIN: a server leaves without having reported `draining`, just after the open connections to
//! the store have gone silent.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{loopback, put_config, Setting, Verdict, SERVICE};
use crate::client::{Client, Exchange};
use crate::node::{keep_logs, temporary_folder, Deployment, Node, KLL_KOCHI};
use crate::proxy::Path;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;

const ZONES: [&str; 3] = ["kakkanad", "edappally", "vyttila"];
/// `drain_timeout_ms` of the deployment.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// `contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_millis(3_000);
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time from the silence to the removal of the server's entry.
const REMOVAL_DELAY: Duration = Duration::from_millis(500);
/// Time from the removal of its entry for which the server goes on serving, then it exits: longer
/// than `drain_timeout_ms`, which is all that it owes.
const LINGER: Duration = Duration::from_millis(3_200);
/// Time from the silence to the end of the run.
const OBSERVED: Duration = Duration::from_millis(6_000);
/// Clients of each node, one of which sends safe requests and the others unsafe ones.
const CLIENTS: usize = 5;
const CALM: Duration = Duration::from_millis(4_000);
const INTERVAL: Duration = Duration::from_millis(40);

pub fn run(setting: &Setting) -> Verdict {
    let record = Arc::new(Record::begin());
    let folder = temporary_folder("review-removed-server");
    let store = Store::start(&loopback(0));
    put_config(&store, 800);
    let servers: Vec<Arc<Server>> = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let id = format!("i-{index}a3f91c2");
            Server::start(&store, &loopback(10 + index as u32), &id, SERVICE, zone)
        })
        .collect();
    let deployment = Deployment {
        site: KLL_KOCHI,
        root: setting.root.clone(),
        folder: folder.clone(),
    };
    let paths: Vec<Path> = (0..3)
        .map(|i| Path::start(&loopback(20 + i), store.address))
        .collect();
    let nodes: Vec<Node> = ZONES
        .iter()
        .zip(&paths)
        .enumerate()
        .map(|(index, (zone, path))| {
            let name = format!("front-{zone}-1");
            deployment.start(&name, zone, &loopback(1 + index as u32), path.address)
        })
        .collect();
    if !nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(20)))
    {
        record.now("a node did not become ready");
        record.write(&setting.folder);
        return Verdict::CouldNotRun;
    }
    record.now("all nodes are ready; clients start");
    let is_over = Arc::new(AtomicBool::new(false));
    let exchanges: Arc<Mutex<Vec<(String, Exchange)>>> = Arc::default();
    let clients = nodes.iter().flat_map(|node| {
        (0..CLIENTS).map(|index| {
            let (method, path) = match index {
                0 => ("GET", "/look/price"),
                _ => ("POST", "/bill/stock"),
            };
            let (front, name) = (node.front, node.name.clone());
            let (is_over, exchanges) = (Arc::clone(&is_over), Arc::clone(&exchanges));
            thread::spawn(move || {
                let mut client = Client::new(front);
                while !is_over.load(Ordering::SeqCst) {
                    let exchange = client.send(method, path, DEADLINE, b"");
                    exchanges.lock().unwrap().push((name.clone(), exchange));
                    thread::sleep(INTERVAL);
                }
            })
        })
    });
    let clients: Vec<thread::JoinHandle<()>> = clients.collect();
    thread::sleep(CALM);

    let silent_at = Instant::now();
    if setting.has_trouble {
        paths.iter().for_each(Path::silence_open_connections);
        record.now("the nodes' open connections to the store go silent; new ones work");
    }
    thread::sleep(REMOVAL_DELAY);
    let leaving = &servers[0];
    let removed_at = leaving.remove_entry();
    record.now(format!(
        "the store has acknowledged that {} is gone; it goes on serving",
        leaving.id
    ));
    thread::sleep((removed_at + LINGER).saturating_duration_since(Instant::now()));
    leaving.exit();
    record.now(format!("{} exits", leaving.id));
    thread::sleep((silent_at + OBSERVED).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let exchanges = exchanges.lock().unwrap();
    let sent: HashMap<&str, (&str, Instant)> = exchanges
        .iter()
        .map(|(node, exchange)| (exchange.attempt.as_str(), (node.as_str(), exchange.sent)))
        .collect();
    let mut late = 0;
    for server in &servers {
        for arrival in server.arrivals.lock().unwrap().iter() {
            let (node, sent_at) = sent[arrival.attempt.as_str()];
            let is_in_touch = sent_at >= silent_at + CONTACT;
            let is_late =
                server.id == leaving.id && arrival.at > removed_at + DRAIN_TIMEOUT && is_in_touch;
            late += usize::from(is_late);
            let after = arrival
                .at
                .saturating_duration_since(removed_at)
                .as_secs_f64();
            let remark = if is_late {
                format!("  <- {after:.3} s after its removal was acknowledged, by a node in touch")
            } else {
                String::new()
            };
            let text = format!(
                "run      {} {} by {} from {node}{remark}",
                arrival.attempt, arrival.path, server.id
            );
            record.note(arrival.at, text);
        }
    }
    let mut failed = 0;
    for (node, exchange) in exchanges.iter() {
        record.note(
            exchange.sent,
            format!("sent     {} to {node}", exchange.attempt),
        );
        let outcome = exchange.outcome();
        failed += usize::from(outcome != "200");
        record.note(
            exchange.ended,
            format!("answered {} {outcome}", exchange.attempt),
        );
    }
    record.now(format!(
        "{} requests, {failed} of them not answered with 200; {late} reached {} later than {} ms \
         after its removal was acknowledged, sent by nodes in touch",
        exchanges.len(),
        leaving.id,
        DRAIN_TIMEOUT.as_millis()
    ));
    record.write(&setting.folder);
    drop(nodes);
    keep_logs(&folder);
    if exchanges.len() - failed < exchanges.len() / 2 {
        return Verdict::CouldNotRun;
    }
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
