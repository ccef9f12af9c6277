//! Prints free ports, one a line, for scripts that have to know addresses beforehand.
//!
//! Usage: `ports COUNT`
//!
//! The ports lie below those that the system gives to outgoing connections. A port from that range can be
//! taken by such a connection before its listener is bound, and the program that wants it then ends with
//! "address already in use".

use std::net::TcpListener;
use std::ops::Range;

use rand::seq::SliceRandom;

/// Ports below the lowest that common systems give to outgoing connections, 32,768.
const PORTS: Range<u16> = 12_000..32_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let count: usize = std::env::args()
        .nth(1)
        .ok_or("usage: ports COUNT")?
        .parse()?;
    let mut ports: Vec<u16> = PORTS.collect();
    // Two scripts that begin at the same time must not try the same ones.
    ports.shuffle(&mut rand::rng());
    let free = ports
        .into_iter()
        .filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok());
    let free: Vec<u16> = free.take(count).collect();
    if free.len() < count {
        return Err(format!("only {} ports are free", free.len()).into());
    }
    for port in free {
        println!("{port}");
    }
    Ok(())
}
