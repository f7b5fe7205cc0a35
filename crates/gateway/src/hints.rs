//! Receives load hints of other nodes and takes them in.

use std::rc::Rc;

use crate::hint_channel::LoadHint;
use crate::limits::apply_limit_hint;
use crate::node::GatewayNode;

/// Maximum size of a datagram that is read, in bytes; a hint takes about 10, and a batch of loads
/// fits one packet.
const MAX_HINT_BYTES: usize = 1400;

/// Maximum number of prompt tokens accepted from one hint. It exceeds the context of any model and
/// keeps a forged hint from excluding a head for long.
const MAX_TOKENS: u32 = 200_000;

/// Receives hints from other nodes; never returns.
pub async fn receive_hints(node: Rc<GatewayNode>) {
    let Some(socket) = node.hints.socket() else {
        return;
    };
    let mut buffer = [0; MAX_HINT_BYTES];
    loop {
        // Errors refer to an earlier datagram sent to a node that is gone; there is nothing to do.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        match decode_hint(&buffer[..length]) {
            Some(LoadHint::Sent { head, tokens }) => node.apply_sent(head, tokens.min(MAX_TOKENS)),
            Some(LoadHint::Reported {
                head,
                requests,
                served,
            }) => node.apply_report(head, requests, served),
            Some(LoadHint::CrashRecordsWritten) => node.crashes.evidence_written.notify_one(),
            Some(LoadHint::Heard(hint)) => {
                node.apply_hints(&[hint]);
                node.collect_own(hint);
            }
            Some(LoadHint::DomainBatch(hints)) => node.apply_hints(&hints),
            Some(LoadHint::OtherBatch(hints)) => {
                node.apply_hints(&hints);
                node.collect_others(&hints);
            }
            Some(LoadHint::Limit { target, milli_rate }) => {
                apply_limit_hint(&node, target, milli_rate);
            }
            None => {}
        }
    }
}

/// Decodes a hint; `None` for invalid bytes, such as a hint from another version of the program.
fn decode_hint(bytes: &[u8]) -> Option<LoadHint> {
    let config = bincode::config::standard().with_limit::<MAX_HINT_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    decoded.ok().map(|(hint, _)| hint)
}
