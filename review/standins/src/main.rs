//! Runs one case of the review: `review-standins CASE REPOSITORY FOLDER`.

mod cases;
mod client;
mod http;
mod json;
mod node;
mod proxy;
mod record;
mod server;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code if a case could not run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE REPOSITORY FOLDER");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setting = cases::Setting {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        has_trouble,
    };
    let run = std::panic::catch_unwind(|| match case.as_str() {
        "reborn-server" => cases::reborn_server::run(&setting),
        "removed-server" => cases::removed_server::run(&setting),
        "slow-reader" => cases::slow_reader::run(&setting),
        _ => panic!("no such case"),
    });
    match run {
        Ok(cases::Verdict::Held) => ExitCode::SUCCESS,
        Ok(cases::Verdict::Broken) => ExitCode::FAILURE,
        Ok(cases::Verdict::CouldNotRun) | Err(_) => ExitCode::from(COULD_NOT_RUN),
    }
}
