//! Sends gossip to another node.

use std::time::Duration;

use briarswitch_http::{decode_msgpack, encode_msgpack, ApiClient, CallError};
use briarswitch_membership::{Gossip, GossipDoc, GossipTarget};
use http::Method;

use crate::packed::{pack, unpack};

/// Path of gossip between nodes of a zone.
pub const GOSSIP_PATH: &str = "/gossip";
/// Path of gossip between nodes of different zones.
pub const FAR_GOSSIP_PATH: &str = "/gossip/far";
/// Response time-out; longer than any healthy delay, shorter than the time after which a node
/// counts as lost.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a gossip message; returns the response and the size of both in bytes.
///
/// Messages to other zones name all nodes of a zone, and that traffic is paid by the byte, so they are compressed.
pub(crate) async fn exchange(
    client: &ApiClient,
    target: &GossipTarget,
) -> Result<(Gossip, usize), CallError> {
    let unreadable = |error: String| CallError::InvalidBody(error);
    let doc = GossipDoc::from(&target.gossip);
    let (path, sent) = if target.is_same_zone {
        let sent = encode_msgpack(&doc).map_err(|error| unreadable(error.to_string()))?;
        (GOSSIP_PATH, sent)
    } else {
        let sent = pack(&doc).map_err(|error| unreadable(error.to_string()))?;
        (FAR_GOSSIP_PATH, sent)
    };
    let url = format!("http://{}{path}", target.address);
    let size = sent.len();
    let response = client
        .call_raw(Method::POST, &url, sent, RESPONSE_TIMEOUT)
        .await?;
    let doc: GossipDoc = if target.is_same_zone {
        decode_msgpack(&response).map_err(|error| unreadable(error.to_string()))?
    } else {
        unpack(&response).map_err(|error| unreadable(error.to_string()))?
    };
    Ok((doc.into(), size + response.len()))
}
