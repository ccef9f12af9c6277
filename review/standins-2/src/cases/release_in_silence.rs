//! The servers of a service are replaced one after the other while the connections to the store have fallen silent.
//!
//! Rule DRAIN: a request reaches a server later than `drain_timeout_ms` after the store acknowledged that the server is
//! gone, taken from the client and sent on by machines in touch.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::deployment::{config, plain_services, route, start_nodes, start_store};
use crate::node::loopback_ip;
use crate::observed::{Observed, CONTACT_S};
use crate::plain_server::PlainServer;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::{CaseError, Verdict};

/// Zones of the servers; the first [`REPLACED`] of the six are replaced, that is a share of 0.5.
const SERVER_ZONES: [&str; 6] = [
    "kakkanad",
    "kakkanad",
    "kakkanad",
    "edappally",
    "edappally",
    "vyttila",
];
const REPLACED: usize = 3;
/// Time from one replacement to the next.
const REPLACEMENT_GAP: Duration = Duration::from_millis(800);
/// Time from the start of the first new server to the silence.
const SILENCE_DELAY: Duration = Duration::from_millis(400);
/// Time from the start of a new server to the removal of the old one's entry.
const OVERLAP: Duration = Duration::from_millis(100);
/// Time for which requests are sent after the last removal; the old servers serve for so long.
const OBSERVED_TIME: Duration = Duration::from_secs(5);
const PROXY_INDEX: u8 = 2;
const OLD_INDEX: u8 = 41;
const NEW_INDEX: u8 = 51;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let routes = vec![route("/confirm/", "unsafe", 1_500, 2)];
    let store = start_store(&config(1, routes, plain_services()))?;
    let proxy = Proxy::start(&loopback_ip(PROXY_INDEX), store.address())?;
    let observed = Observed::new(record);
    let handler = observed.run_handler();
    let mut old = Vec::new();
    for (index, zone) in SERVER_ZONES.iter().enumerate() {
        let index = OLD_INDEX + index as u8;
        old.push(PlainServer::start(
            index,
            zone,
            &store,
            Arc::clone(&handler),
        )?);
    }
    let nodes = start_nodes(6, &proxy.address())?;
    let fronts: Vec<String> = nodes.iter().map(|node| node.front.clone()).collect();
    let clients = observed.start_clients(&fronts, "/confirm/2f");
    thread::sleep(Duration::from_secs(2));
    let start = |index: usize| {
        let own = Arc::clone(&handler);
        PlainServer::start(NEW_INDEX + index as u8, SERVER_ZONES[index], &store, own)
    };
    let mut new = vec![start(0)?];
    thread::sleep(SILENCE_DELAY);
    if has_trouble {
        proxy.silence();
        record.write("the open connections between the nodes and the store fall silent");
    }
    let silent_at = record.seconds();
    let mut gone_at = HashMap::new();
    for (index, server) in old.iter().take(REPLACED).enumerate() {
        if index > 0 {
            new.push(start(index)?);
        }
        thread::sleep(OVERLAP);
        server.leave();
        gone_at.insert(server.id.clone(), record.seconds());
        record.write(format!(
            "server {} has started, the entry of {} is removed",
            new[index].id, server.id
        ));
        thread::sleep(REPLACEMENT_GAP - OVERLAP);
    }
    thread::sleep(OBSERVED_TIME);
    drop(clients);
    for node in &nodes {
        for line in node.log_lines("entries_missing") {
            record.write(format!("log of a node: {line}"));
        }
    }
    observed.judge(&gone_at, silent_at + CONTACT_S, record)
}
