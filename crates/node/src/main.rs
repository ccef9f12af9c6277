//! The briarswitch daemon.

use std::future::Future;
use std::process::ExitCode;

use briarswitch_fleet::{FleetNode, FleetSettings};
use briarswitch_node::log_writer::BATCH_DELAY;
use briarswitch_node::signals::NodeSignals;
use briarswitch_node::{logging, Node, NodeOptions, NodeSettings, StartError, Startup};
use gumdrop::Options;
use log::LevelFilter;

/// Exit code for settings that are not valid.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a node that could not start.
const NO_START: u8 = 1;
/// Threads that carry a fleet's traffic; its machines have one core.
const FLEET_THREADS: usize = 1;

fn main() -> ExitCode {
    let options = NodeOptions::parse_args_default_or_exit();
    match options.startup() {
        Startup::Print(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Startup::InvalidSettings(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            ExitCode::from(BAD_SETTINGS)
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
            FLEET_THREADS,
            serve_fleet(*settings),
        ),
    }
}

fn run(
    level: LevelFilter,
    node: &str,
    threads: usize,
    work: impl Future<Output = Result<(), StartError>>,
) -> ExitCode {
    let begun = logging::start(level, node).map_err(StartError::from);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build();
    let done = match (begun, runtime) {
        (Ok(()), Ok(runtime)) => runtime.block_on(work),
        (Err(error), _) => Err(error),
        (_, Err(error)) => Err(error.into()),
    };
    // The last lines are still on their way to the output.
    std::thread::sleep(BATCH_DELAY * 2);
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(NO_START)
        }
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
