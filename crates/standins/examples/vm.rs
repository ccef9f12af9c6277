//! Runs a fake machine, either an engine or a plain service, and adds it to the platform's VM list.
//!
//! Usage: `vm PLATFORM engine|service NAME ZONE DOMAIN POOL`

use std::time::Duration;

use briarswitch_http::{ApiClient, Codec};
use briarswitch_standins::{wait_for_shutdown_signal, EngineSettings, EngineStandin, PlainStandin};
use briarswitch_wire::platform::VmDoc;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [platform, kind, name, zone, domain, pool] = arguments.as_slice() else {
        return Err("usage: vm PLATFORM engine|service NAME ZONE DOMAIN POOL".into());
    };
    let mut settings = EngineSettings::quick(name);
    settings.token_time = Duration::from_millis(5);
    let _engine;
    let _service;
    let address = if kind == "engine" {
        _engine = EngineStandin::spawn("127.0.0.1:0", settings)?;
        _engine.address()
    } else {
        _service = PlainStandin::spawn("127.0.0.1:0", name, 1)?;
        _service.address()
    };
    let doc = VmDoc {
        id: name.clone(),
        zone: zone.clone(),
        domain: domain.clone(),
        pool: pool.clone(),
        address: address.to_string(),
        incarnation: 1,
        accelerators: 2,
        leaving: false,
    };
    let url = format!("http://{platform}/admin/vms");
    let client = ApiClient::new(Codec::Json, None);
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(client.call::<_, ()>(http::Method::POST, &url, Some(&doc), CALL_TIMEOUT))?;
    println!("{kind} {name} at {address}");
    wait_for_shutdown_signal()?;
    Ok(())
}
