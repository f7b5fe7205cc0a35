//! Byte streams to third parties over links between nodes.

use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use domain::NodeId;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, StatusCode};
use peers::auth::FrameAuthenticator;
use peers::error::LinkError;
use peers::transport::{MAX_STREAMS, accept_hello, read_stream, respond_ok, serve_requests};
use peers::tunnel::{pass_on, verify_request};
use peers::{LinkProof, SharedKey, TUNNEL_PATH, TunnelLink, TunnelResponse, TunnelStream};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, DuplexStream, duplex};
use tokio::sync::{Mutex, mpsc};
use tokio::task::JoinHandle;
use wire::peer::{MAX_HELLO_BYTES, NEWEST_VERSION, decode_message, encode_message};

const LIFETIME: Duration = Duration::from_secs(20);

/// Payload of a request that the responder never connects.
const NEVER: &[u8] = b"never";

/// Payload of a request to a third party that refuses.
const REFUSING: &[u8] = b"refusing";

fn key() -> SharedKey {
    SharedKey::new("a key of more than sixteen bytes").expect("long enough")
}

fn name(text: &str) -> NodeId {
    text.parse().expect("valid id")
}

/// A responder whose third parties are handed to the test, and a link to it.
async fn linked() -> (TunnelLink, mpsc::UnboundedReceiver<DuplexStream>) {
    let (link, accepted, _) = linked_to_task().await;
    (link, accepted)
}

/// The same, with the task of the responder.
async fn linked_to_task() -> (
    TunnelLink,
    mpsc::UnboundedReceiver<DuplexStream>,
    JoinHandle<()>,
) {
    let (near, far) = duplex(1 << 16);
    let (third_parties, accepted) = mpsc::unbounded_channel();
    let carrier = tokio::spawn(async move {
        let auth: Mutex<Option<FrameAuthenticator>> = Mutex::new(None);
        let (auth, third_parties) = (&auth, &third_parties);
        let proof = LinkProof::default();
        proof.record();
        let serving = serve_requests(far, MAX_STREAMS, &proof, |request, responder| async move {
            handle(auth, third_parties, request, responder).await
        });
        drop(serving.await);
    });
    let link = TunnelLink::open(near, &key(), &name("n0"), &name("n1")).await;
    (link.expect("link opens"), accepted, carrier)
}

async fn handle(
    auth: &Mutex<Option<FrameAuthenticator>>,
    third_parties: &mpsc::UnboundedSender<DuplexStream>,
    request: Request<RecvStream>,
    responder: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let mut auth = auth.lock().await;
    if request.uri().path() != TUNNEL_PATH {
        let bytes = read_stream(request.into_body(), MAX_HELLO_BYTES).await?;
        let hello = decode_message::<_, MAX_HELLO_BYTES>(&bytes)?;
        let (own, welcome) = accept_hello(&key(), &name("n1"), &hello, NEWEST_VERSION);
        *auth = Some(own);
        return respond_ok(responder, encode_message(&welcome)?);
    }
    let own = auth.as_mut().expect("hello comes first");
    let payload = verify_request::<1024>(own, request.headers())?;
    drop(auth);
    let connecting = async {
        match &payload[..] {
            NEVER => pending().await,
            REFUSING => Err(StatusCode::BAD_GATEWAY),
            _ => {
                let (near, far) = duplex(1 << 10);
                third_parties.send(far).expect("test waits for it");
                Ok(near)
            }
        }
    };
    pass_on(responder, request.into_body(), connecting, LIFETIME).await;
    Ok(())
}

async fn connect(link: &TunnelLink) -> TunnelStream {
    match link.request_stream(b"target".to_vec()).await {
        Ok(TunnelResponse::Connected(stream)) => stream,
        other => panic!("not connected: {other:?}"),
    }
}

/// Bytes pass in both directions, more than either side holds unread, and an end is seen as an end.
#[tokio::test]
async fn bytes_both_ways() {
    let (link, mut accepted) = linked().await;
    let mut stream = connect(&link).await;
    let mut third_party = accepted.recv().await.expect("connected");
    let sent: Vec<u8> = (0..300_000_u32)
        .map(|index| index.to_le_bytes()[0])
        .collect();
    let echo = tokio::spawn(async move {
        let mut bytes = vec![0; 300_000];
        third_party.read_exact(&mut bytes).await.expect("bytes");
        third_party.write_all(&bytes).await.expect("bytes");
    });
    let (mut reader, mut writer) = tokio::io::split(&mut stream);
    let mut received = Vec::new();
    let (written, read) = tokio::join!(writer.write_all(&sent), reader.read_to_end(&mut received));
    written.expect("bytes");
    read.expect("end");
    echo.await.expect("third party");
    assert!(received == sent);
}

/// The node that carries a stream is lost in the middle of it. The stream must look cut off, not
/// complete: a client would take half a response for a whole one.
#[tokio::test]
async fn lost_carrier() {
    let (link, mut accepted, carrier) = linked_to_task().await;
    let mut stream = connect(&link).await;
    let mut third_party = accepted.recv().await.expect("connected");
    third_party.write_all(b"half").await.expect("bytes");
    let mut received = [0; 4];
    stream.read_exact(&mut received).await.expect("bytes");
    carrier.abort();
    let rest = stream.read(&mut received).await;
    assert!(rest.is_err(), "{rest:?}");
}

/// A request that its node gives up, or that is denied, must not end the other streams of the link. One
/// in ten streams was cut when nodes asked several others at once and left the slower ones.
#[tokio::test]
async fn given_up_beside_others() {
    let (link, mut accepted) = linked().await;
    let mut stream = connect(&link).await;
    let mut third_party = accepted.recv().await.expect("connected");
    for _ in 0..20 {
        let asked = link.request_stream(NEVER.to_vec());
        drop(tokio::time::timeout(Duration::from_millis(5), asked).await);
        let refused = link.request_stream(REFUSING.to_vec()).await;
        let is_refused = matches!(
            refused,
            Ok(TunnelResponse::Refused(StatusCode::BAD_GATEWAY))
        );
        assert!(is_refused, "{refused:?}");
        drop(connect(&link).await);
    }
    third_party.write_all(b"late").await.expect("bytes");
    let mut received = [0; 4];
    stream.read_exact(&mut received).await.expect("bytes");
    assert_eq!(&received, b"late");
}

/// The client leaves. The third party must learn of it, so that it ends its work.
#[tokio::test]
async fn client_leaves() {
    let (link, mut accepted) = linked().await;
    let stream = connect(&link).await;
    let mut third_party = accepted.recv().await.expect("connected");
    drop(stream);
    let mut received = [0; 4];
    let ended = tokio::time::timeout(Duration::from_secs(5), third_party.read(&mut received)).await;
    assert!(matches!(ended, Ok(Ok(0) | Err(_))), "{ended:?}");
}

/// A frame that is missing or was used before opens no stream.
#[tokio::test]
async fn forged_request() {
    let hello = wire::peer::PeerHello {
        newest: NEWEST_VERSION,
        oldest: NEWEST_VERSION,
        nonce: [1; wire::peer::NONCE_BYTES],
        node: name("n0"),
    };
    let (mut auth, _) = accept_hello(&key(), &name("n1"), &hello, NEWEST_VERSION);
    let mut headers = http::HeaderMap::new();
    assert!(verify_request::<1024>(&mut auth, &headers).is_err());
    headers.insert("frame", http::HeaderValue::from_static("AAAA"));
    assert!(verify_request::<1024>(&mut auth, &headers).is_err());
}
