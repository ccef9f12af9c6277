//! Prints free ports, one per line, for scripts that must know addresses in advance.
//!
//! Usage: `ports COUNT`
//!
//! The ports are below the range for outgoing connections. An outgoing connection could otherwise
//! take a port before its listener is bound, and the program would fail with "address already in
//! use".

use std::net::TcpListener;
use std::ops::Range;

use rand::seq::SliceRandom;

/// Candidate ports; common systems use 32,768 and above for outgoing connections.
const PORTS: Range<u16> = 12_000..32_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let count: usize = std::env::args()
        .nth(1)
        .ok_or("usage: ports COUNT")?
        .parse()?;
    let mut ports: Vec<u16> = PORTS.collect();
    // Scripts that start at the same time should not pick the same ports.
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
