//! The briarswitch daemon.

use std::process::ExitCode;

use briarswitch_node::logging;
use briarswitch_node::{Node, NodeOptions, NodeSettings, Startup};
use gumdrop::Options;
use tokio::signal::unix::{signal, SignalKind};

/// Exit code for settings that are not valid.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a node that could not start.
const NO_START: u8 = 1;

fn main() -> ExitCode {
    let options = NodeOptions::parse_args_default_or_exit();
    match options.startup() {
        Startup::Print(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Startup::Refuse(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            ExitCode::from(BAD_SETTINGS)
        }
        Startup::Run(settings) => run(*settings),
    }
}

fn run(settings: NodeSettings) -> ExitCode {
    if let Err(error) = logging::start(settings.log_level, &settings.node) {
        eprintln!("{error}");
        return ExitCode::from(NO_START);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(NO_START)
        }
    }
}

async fn serve(settings: NodeSettings) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        eprintln!("signals can not be received");
        return ExitCode::from(NO_START);
    };
    let node = match Node::spawn(settings).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(NO_START);
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.shutdown().await;
    ExitCode::SUCCESS
}
