//! Prints free ports, one a line, for scripts that have to know addresses beforehand.
//!
//! Usage: `ports COUNT`

use std::net::TcpListener;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let count: usize = std::env::args()
        .nth(1)
        .ok_or("usage: ports COUNT")?
        .parse()?;
    let held: Result<Vec<_>, _> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect();
    for listener in held? {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}
