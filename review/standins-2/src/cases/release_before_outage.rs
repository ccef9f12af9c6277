//! A server is replaced just before an outage of the store in which all entries expire.
//!
//! Rule DRAIN: a request reaches a server later than `drain_timeout_ms` after the store acknowledged that the server is
//! gone, taken from the client and sent on by machines in touch.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use crate::deployment::{config, plain_services, route, start_nodes, start_store};
use crate::observed::{Observed, CONTACT_S};
use crate::plain_server::PlainServer;
use crate::record::Record;
use crate::{CaseError, Verdict};

const SERVER_ZONES: [&str; 6] = [
    "kakkanad",
    "kakkanad",
    "kakkanad",
    "edappally",
    "edappally",
    "vyttila",
];
/// Time from the start of the new server to the removal of the old one's entry, and from there to the outage.
const STEP: Duration = Duration::from_millis(80);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_millis(3_750);
/// Time from the beginning of the outage until the entries have expired: three heartbeats after the last one.
const EXPIRY: Duration = Duration::from_millis(3_500);
/// Time after the outage until the first server has written its entry again, and in which the others follow.
const RENEWAL_DELAY: Duration = Duration::from_millis(1_000);
const RENEWAL: Duration = Duration::from_millis(800);
/// Time from the last renewal to the end.
const OBSERVED_TIME: Duration = Duration::from_millis(2_700);
const OLD_INDEX: u8 = 41;
const NEW_INDEX: u8 = 51;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let routes = vec![route("/confirm/", "unsafe", 1_500, 2)];
    let store = start_store(&config(1, routes, plain_services()))?;
    let observed = Observed::new(record);
    let start =
        |index: u8, zone: &str| PlainServer::start(index, zone, &store, observed.run_handler());
    let mut servers = Vec::new();
    for (index, zone) in SERVER_ZONES.iter().enumerate() {
        servers.push(start(OLD_INDEX + index as u8, zone)?);
    }
    let nodes = start_nodes(6, &store.address())?;
    let fronts: Vec<String> = nodes.iter().map(|node| node.front.clone()).collect();
    let clients = observed.start_clients(&fronts, "/confirm/2f");
    thread::sleep(Duration::from_secs(2));
    let new = start(NEW_INDEX, SERVER_ZONES[0])?;
    thread::sleep(STEP);
    let old = servers.remove(0);
    old.leave();
    let gone_at = HashMap::from([(old.id.clone(), record.seconds())]);
    record.write(format!(
        "{} has started, the entry of {} is removed",
        new.id, old.id
    ));
    servers.push(new);
    thread::sleep(STEP);
    if has_trouble {
        store.set_silent(true);
        record.write("the store is silent");
    }
    thread::sleep(EXPIRY);
    if has_trouble {
        servers.iter().for_each(PlainServer::leave);
        record.write("all entries have expired");
    }
    thread::sleep(OUTAGE - EXPIRY);
    store.set_silent(false);
    let returned_at = record.seconds();
    record.write("the store answers");
    thread::sleep(RENEWAL_DELAY);
    for server in &servers {
        thread::sleep(RENEWAL / servers.len() as u32);
        if has_trouble {
            server.register();
        }
    }
    record.write("all servers but the removed one have written their entries again");
    thread::sleep(OBSERVED_TIME);
    drop(clients);
    for node in &nodes {
        for line in node.log_lines("entries_missing") {
            record.write(format!("log of a node: {line}"));
        }
    }
    observed.judge(&gone_at, returned_at + CONTACT_S, record)
}
