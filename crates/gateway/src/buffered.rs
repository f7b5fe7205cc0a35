//! Responses of targets that are read to their end before they are passed on.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use web::read_body;

use crate::admitted::AdmittedRequest;
use crate::held::{ClientHold, HeldBody, TOO_MUCH_HELD};
use crate::node::GatewayNode;
use crate::refusal::ResponseOrigin;
use crate::respond::end_with_connection;
use crate::target_response::TargetResponse;

/// Maximum size of a buffered response, in bytes. Only responses of plain services are buffered.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// A target's response, read to its end.
pub struct BufferedResponse {
    /// Response for the client.
    pub response: Response<Full<Bytes>>,
    /// From where it came.
    pub origin: ResponseOrigin,
}

/// Reads a response to its end.
///
/// # Errors
///
/// Why it is not complete.
pub async fn buffer_response(
    node: &Rc<GatewayNode>,
    admitted: &AdmittedRequest,
    client: &Rc<ClientHold>,
    mut response: TargetResponse,
) -> Result<BufferedResponse, String> {
    let left = admitted.time_left(node.now());
    let body = HeldBody::of_response(&mut response.body, client);
    let read = read_body(body, MAX_RESPONSE_BYTES);
    let read = tokio::time::timeout(left, read).await;
    if client.is_cut() {
        client.restart();
        return Err(TOO_MUCH_HELD.to_owned());
    }
    let bytes = match read {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => {
            response.record_broken(node, admitted);
            return Err(format!("response body failed: {error}"));
        }
        Err(_) => return Err("response body incomplete at the deadline".to_owned()),
    };
    if response.may_be_cut(node).await {
        response.record_broken(node, admitted);
        return Err("response cut off at the end of its connection".to_owned());
    }
    let mut buffered = Response::new(Full::new(bytes));
    *buffered.status_mut() = response.status;
    *buffered.headers_mut() = response.headers.clone();
    if response.is_close_delimited {
        end_with_connection(&mut buffered);
    }
    let origin = ResponseOrigin::from(&response);
    response.record_complete(node, admitted);
    response.release_connection(node);
    Ok(BufferedResponse {
        response: buffered,
        origin,
    })
}
