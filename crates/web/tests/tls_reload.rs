//! A listener with TLS whose certificate is replaced while it serves.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use http::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::TlsConnector;
use web::body::full_body;
use web::{
    ReloadableTlsConfig, TlsFiles, WebHandler, WebRequest, WebResponse, serve_with_acceptor,
    text_response,
};

const NAME: &str = "entry.test";

struct Greeter;

impl WebHandler for Greeter {
    async fn handle(&self, _: WebRequest) -> WebResponse {
        text_response(StatusCode::OK, "whole")
    }
}

struct TlsFolder {
    path: PathBuf,
}

impl TlsFolder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("bramleyspring-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self { path }
    }

    fn files(&self) -> TlsFiles {
        TlsFiles {
            certificate: self.path.join("cert.pem"),
            key: self.path.join("key.pem"),
        }
    }

    /// Writes a new certificate and returns it for a caller's roots.
    fn renew(&self) -> CertificateDer<'static> {
        let CertifiedKey { cert, signing_key } =
            generate_simple_self_signed(vec![NAME.to_owned()]).expect("a certificate");
        let files = self.files();
        std::fs::write(files.certificate, cert.pem()).expect("writable");
        std::fs::write(files.key, signing_key.serialize_pem()).expect("writable");
        cert.der().clone()
    }

    fn spoil(file: &Path) {
        std::fs::write(file, "-----BEGIN CERT").expect("writable");
    }
}

impl Drop for TlsFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

async fn start(source: &ReloadableTlsConfig) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let never = std::future::pending();
    tokio::spawn(serve_with_acceptor(
        listener,
        source.clone(),
        Arc::new(Greeter),
        never,
    ));
    address
}

/// Asks over TLS, trusting one certificate only; none when the handshake fails.
async fn ask(address: std::net::SocketAddr, root: &CertificateDer<'static>) -> Option<StatusCode> {
    let mut roots = RootCertStore::empty();
    roots.add(root.clone()).expect("a root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(address).await.expect("connected");
    let name = ServerName::try_from(NAME).expect("a name");
    let stream = TlsConnector::from(Arc::new(config))
        .connect(name, stream)
        .await
        .ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("HTTP");
    tokio::spawn(connection);
    let request = Request::builder()
        .uri("/")
        .body(full_body(""))
        .expect("a request");
    Some(
        sender
            .send_request(request)
            .await
            .expect("an answer")
            .status(),
    )
}

#[tokio::test]
async fn new_certificate_used() {
    let folder = TlsFolder::new("tls-renewed");
    let first = folder.renew();
    let source = ReloadableTlsConfig::load(folder.files()).expect("a pair");
    let address = start(&source).await;
    assert_eq!(ask(address, &first).await, Some(StatusCode::OK));
    assert!(!source.reload().expect("the same pair"));

    let second = folder.renew();
    assert!(source.reload().expect("another pair"));
    assert_eq!(ask(address, &second).await, Some(StatusCode::OK));
    assert_eq!(ask(address, &first).await, None);
}

/// The files are replaced one after the other, and the node looks in between. Every new caller
/// would be turned away if it took what it finds; it must stay with the certificate that it has.
#[tokio::test]
async fn broken_files_kept_out() {
    let folder = TlsFolder::new("tls-broken");
    let first = folder.renew();
    let source = ReloadableTlsConfig::load(folder.files()).expect("a pair");
    let address = start(&source).await;
    TlsFolder::spoil(&folder.files().certificate);
    assert!(source.reload().is_err());
    assert_eq!(ask(address, &first).await, Some(StatusCode::OK));
}

#[tokio::test]
async fn foreign_key_refused() {
    let folder = TlsFolder::new("tls-foreign");
    folder.renew();
    let certificate = std::fs::read(folder.files().certificate).expect("readable");
    folder.renew();
    std::fs::write(folder.files().certificate, certificate).expect("writable");
    let problem = ReloadableTlsConfig::load(folder.files()).expect_err("no pair");
    assert!(problem.to_string().contains("together"), "{problem}");
}
