//! MIXED: a server is cut off for half a second, crashes behind the cut in the middle of an answer
//! without a length, and starts again.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{loopback, put_config, Setting, Verdict, SERVICE};
use crate::client::Client;
use crate::node::{keep_logs, temporary_folder, Deployment, CADWALADR};
use crate::proxy::Path;
use crate::record::Record;
use crate::server::{body_for, Server};
use crate::store::Store;

/// Servers, of which one at a time is cut off.
const SERVERS: u32 = 10;
/// Requests, each of which meets the disruption once.
const REQUESTS: usize = 5;
const TIMEOUT_MS: u32 = 1_200;
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Time from the first half of an answer to the second one.
const HALF_DELAY: Duration = Duration::from_millis(350);
/// Moments after a request has reached its server.
const CUT_AT: Duration = Duration::from_millis(50);
const CRASH_AT: Duration = Duration::from_millis(100);
const START_AT: Duration = Duration::from_millis(400);
const HEAL_AT: Duration = Duration::from_millis(550);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_secs(4);
const PATH: &str = "/bill/stock";

pub fn run(setting: &Setting) -> Verdict {
    let record = Record::begin();
    let folder = temporary_folder("review-reborn-server");
    let store = Store::start(&loopback(0));
    put_config(&store, TIMEOUT_MS);
    let servers: Vec<(Arc<Server>, Path)> = (0..SERVERS)
        .map(|index| {
            let id = format!("i-{index}a3f91c2");
            let ip = loopback(10 + index);
            let server = Server::start_unlisted(&store, &ip, &id, SERVICE, "cymru-a");
            *server.half_delay.lock().unwrap() = Some(HALF_DELAY);
            let path = Path::start(&loopback(40 + index), server.address);
            server.list(Some(path.address));
            (server, path)
        })
        .collect();
    let deployment = Deployment {
        site: CADWALADR,
        root: setting.root.clone(),
        folder: folder.clone(),
    };
    let node = deployment.start("front-cymru-a-1", "cymru-a", &loopback(1), store.address);
    if !node.wait_until_ready(Duration::from_secs(20)) {
        record.now("the node did not become ready");
        record.write(&setting.folder);
        return Verdict::CouldNotRun;
    }
    record.now("the node is ready");
    let (mut spoilt, mut whole) = (0, 0);
    for _ in 0..REQUESTS {
        let front = node.front;
        let before: Vec<usize> = servers.iter().map(|(server, _)| runs(server)).collect();
        let asked = thread::spawn(move || Client::new(front).send("POST", PATH, DEADLINE, b""));
        let Some(index) = wait_for_run(&servers, &before) else {
            record.now("a request reached no server");
            record.write(&setting.folder);
            return Verdict::CouldNotRun;
        };
        let (server, path) = &servers[index];
        if setting.has_trouble {
            disturb(server, path, &record);
        }
        let exchange = asked.join().expect("the client ends");
        record.note(
            exchange.sent,
            format!("sent     {} POST {PATH}", exchange.attempt),
        );
        for arrival in server.arrivals.lock().unwrap().iter().skip(before[index]) {
            let text = format!(
                "run      {} {} by {}",
                arrival.attempt, arrival.path, server.id
            );
            record.note(arrival.at, text);
        }
        let outcome = exchange.outcome();
        let answer = exchange.answer.as_ref().ok().and_then(Option::as_ref);
        let bytes = answer.map_or(0, |answer| answer.body.len());
        let is_success = outcome == "200";
        let is_whole = answer.is_some_and(|answer| answer.body == body_for(PATH));
        whole += usize::from(is_success && is_whole);
        spoilt += usize::from(is_success && !is_whole);
        let remark = if is_success && !is_whole {
            "  <- a success, complete by its length, without the server's whole body"
        } else {
            ""
        };
        record.note(
            exchange.ended,
            format!(
                "answered {} {outcome}, {bytes} of {} bytes{remark}",
                exchange.attempt,
                body_for(PATH).len()
            ),
        );
        thread::sleep(PAUSE);
    }
    record.now(format!(
        "{REQUESTS} requests: {whole} answered whole, {spoilt} answered with a success that lacks \
         half of the server's body"
    ));
    record.write(&setting.folder);
    drop(node);
    keep_logs(&folder);
    if spoilt > 0 {
        Verdict::Broken
    } else if setting.has_trouble || whole == REQUESTS {
        Verdict::Held
    } else {
        Verdict::CouldNotRun
    }
}

fn runs(server: &Server) -> usize {
    server.arrivals.lock().unwrap().len()
}

/// Returns the server that a request has reached.
fn wait_for_run(servers: &[(Arc<Server>, Path)], before: &[usize]) -> Option<usize> {
    let end = Instant::now() + DEADLINE;
    while Instant::now() < end {
        let mut reached = servers.iter().zip(before);
        if let Some(index) = reached.position(|((server, _), before)| runs(server) > *before) {
            return Some(index);
        }
        thread::sleep(Duration::from_millis(1));
    }
    None
}

/// Cuts a server off; it crashes behind the cut and starts again before the cut heals.
fn disturb(server: &Arc<Server>, path: &Path, record: &Record) {
    let reached = Instant::now();
    let wait_until = |after: Duration| {
        thread::sleep((reached + after).saturating_duration_since(Instant::now()));
    };
    wait_until(CUT_AT);
    path.set_cut(true);
    record.now(format!("{} is cut off", server.id));
    wait_until(CRASH_AT);
    server.exit();
    record.now(format!("{} crashes behind the cut", server.id));
    wait_until(START_AT);
    server.start_again();
    record.now(format!("{} has started again", server.id));
    wait_until(HEAL_AT);
    path.set_cut(false);
    record.now(format!("the cut of {} has healed", server.id));
}
