//! Runs the fake platform until it receives a termination signal.
//!
//! Usage: `platform ADDRESS`

use briarswitch_standins::{wait_for_shutdown_signal, PlatformStandin};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let address = std::env::args().nth(1).ok_or("usage: platform ADDRESS")?;
    let platform = PlatformStandin::spawn(&address)?;
    println!("platform at {}", platform.address());
    wait_for_shutdown_signal()?;
    Ok(())
}
