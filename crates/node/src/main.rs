//! Entry point of `briarswitch-node`, the briarswitch daemon.

use std::future::Future;
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use briarswitch_core::finding::Finding;
use briarswitch_fleet::{FleetNode, FleetSettings};
use briarswitch_node::log_writer::BATCH_DELAY;
use briarswitch_node::signals::NodeSignals;
use briarswitch_node::{exit, logging, Node, NodeOptions, NodeSettings, StartError, Startup};
use gumdrop::Options;
use log::LevelFilter;

/// Exit code for settings that are not valid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code for a node that could not start.
const EXIT_START_FAILED: u8 = 1;
/// Exit code after a panic of the main thread, the same as without a handler.
const EXIT_PANICKED: u8 = 101;
/// Worker threads of a node that serves a fleet; the VMs of such nodes have one core.
const FLEET_WORKER_THREADS: usize = 1;

/// Name in the log of a node whose settings could not be read.
const UNNAMED_NODE: &str = "unnamed";

fn main() -> ExitCode {
    let options = NodeOptions::parse_args_default_or_exit();
    match options.startup() {
        Startup::Print(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Startup::InvalidSettings(findings) => {
            report_findings(&findings);
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
        Startup::Run(settings) => run(
            settings.log_level,
            &settings.node.clone(),
            settings.traffic_threads,
            serve(*settings),
        ),
        Startup::RunFleet(settings) => run(
            settings.log_level,
            &settings.node.clone(),
            FLEET_WORKER_THREADS,
            serve_fleet(*settings),
        ),
    }
}

/// Writes findings to standard error for whoever starts the node by hand, and to the log for everybody else.
fn report_findings(findings: &[Finding]) {
    for finding in findings {
        eprintln!("{finding}");
    }
    match logging::start(LevelFilter::Info, UNNAMED_NODE) {
        Ok(()) => exit::log_findings(findings),
        Err(error) => eprintln!("{error}"),
    }
    std::thread::sleep(BATCH_DELAY * 2);
}

fn run(
    level: LevelFilter,
    node: &str,
    threads: usize,
    service: impl Future<Output = Result<(), StartError>>,
) -> ExitCode {
    let logging = logging::start(level, node);
    exit::log_panics();
    let running = AssertUnwindSafe(|| -> Result<(), StartError> {
        logging?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build()?;
        runtime.block_on(service)
    });
    let result = panic::catch_unwind(running);
    if let Ok(Err(error)) = &result {
        exit::log_failure(error);
    }
    // The log thread collects lines for `BATCH_DELAY` before it writes them; without this wait the
    // last lines would be lost.
    std::thread::sleep(BATCH_DELAY * 2);
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START_FAILED)
        }
        Err(_) => ExitCode::from(EXIT_PANICKED),
    }
}

async fn serve(settings: NodeSettings) -> Result<(), StartError> {
    let mut signals = NodeSignals::register()?;
    let node = Node::spawn(settings).await?;
    signals.wait_for_shutdown().await;
    node.shutdown().await;
    Ok(())
}

async fn serve_fleet(settings: FleetSettings) -> Result<(), StartError> {
    let mut signals = NodeSignals::register()?;
    let platform = briarswitch_adapter::open(&settings.store);
    let node = FleetNode::spawn(settings, platform).await?;
    signals.wait_for_shutdown().await;
    node.shutdown().await;
    Ok(())
}
