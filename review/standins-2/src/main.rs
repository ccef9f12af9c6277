//! Runs one case of the review: `review-standins-2 CASE RECORD`, from the repository's root.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod client;
mod deployment;
mod http;
mod json;
mod node;
mod observed;
mod plain_server;
mod proxy;
mod record;
mod store;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use record::Record;

/// Time after which a case that has not ended counts as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Why a case could not run.
pub type CaseError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    if !node::is_built() {
        eprintln!("the build of the deploy file is missing");
        return ExitCode::from(2);
    }
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.write(format!("case {case}, disruption: {has_trouble}"));
    let (finished, result) = std::sync::mpsc::channel();
    let worker = record.clone();
    thread::spawn(move || {
        let result = cases::run(&case, &worker, has_trouble);
        let _ = finished.send(result.map_err(|error| error.to_string()));
    });
    match result.recv_timeout(TIME_LIMIT) {
        Ok(Ok(Verdict::Held)) => {
            record.write("verdict: held");
            ExitCode::SUCCESS
        }
        Ok(Ok(Verdict::Broken)) => {
            record.write("verdict: broken");
            ExitCode::from(1)
        }
        Ok(Err(error)) => {
            record.write(format!("verdict: could not run: {error}"));
            ExitCode::from(2)
        }
        Err(_) => {
            node::kill_all();
            record.write("verdict: could not run: no result in time, or a stand-in failed");
            ExitCode::from(2)
        }
    }
}
