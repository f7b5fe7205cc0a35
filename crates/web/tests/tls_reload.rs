//! TLS listeners whose certificate files are replaced while they serve.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use http::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use intake::PlaceReport;
use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::TlsConnector;
use web::body::full_body;
use web::{
    ReloadableTlsConfig, ServerLimits, TlsFiles, WebHandler, WebRequest, WebResponse,
    serve_with_acceptor, text_response,
};

/// More than the tests need of anything.
const LIMITS: ServerLimits = ServerLimits {
    max_connections: 100,
    max_requests: 100,
    idle_timeout: Duration::from_mins(1),
    read_timeout: Duration::from_mins(1),
};

const SERVER_NAME: &str = "entry.test";

struct FixedResponse;

impl WebHandler for FixedResponse {
    async fn handle(&self, _: WebRequest) -> WebResponse {
        text_response(StatusCode::OK, "ok")
    }

    fn refuse(&self) -> WebResponse {
        panic!("fewer requests than the limit");
    }

    fn record_displaced(&self, report: PlaceReport) {
        panic!("{report}");
    }

    fn record_accept_failure(&self, error: &io::Error) {
        panic!("{error}");
    }
}

struct CertificateDirectory {
    path: PathBuf,
}

impl CertificateDirectory {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("bramleyspring-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("created directory");
        Self { path }
    }

    fn files(&self) -> TlsFiles {
        TlsFiles {
            certificate: self.path.join("cert.pem"),
            key: self.path.join("key.pem"),
        }
    }

    /// Writes a new certificate and key, and returns the certificate for a client's root store.
    fn renew(&self) -> CertificateDer<'static> {
        let CertifiedKey { cert, signing_key } =
            generate_simple_self_signed(vec![SERVER_NAME.to_owned()])
                .expect("generated certificate");
        let files = self.files();
        std::fs::write(files.certificate, cert.pem()).expect("file written");
        std::fs::write(files.key, signing_key.serialize_pem()).expect("file written");
        cert.der().clone()
    }

    fn truncate(file: &Path) {
        std::fs::write(file, "-----BEGIN CERT").expect("file written");
    }
}

impl Drop for CertificateDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

async fn start_server(tls_config: &ReloadableTlsConfig) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bound listener");
    let address = listener.local_addr().expect("local address");
    let no_shutdown = std::future::pending();
    tokio::spawn(serve_with_acceptor(
        listener,
        tls_config.clone(),
        Arc::new(FixedResponse),
        LIMITS,
        no_shutdown,
    ));
    address
}

/// Sends a request over TLS, trusting only `root`, and returns the response status; none if the
/// handshake fails.
async fn request_status(
    address: std::net::SocketAddr,
    root: &CertificateDer<'static>,
) -> Option<StatusCode> {
    let mut roots = RootCertStore::empty();
    roots.add(root.clone()).expect("valid root certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("protocol versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(address).await.expect("TCP connection");
    let name = ServerName::try_from(SERVER_NAME).expect("valid server name");
    let stream = TlsConnector::from(Arc::new(config))
        .connect(name, stream)
        .await
        .ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("HTTP handshake");
    tokio::spawn(connection);
    let request = Request::builder()
        .uri("/")
        .body(full_body(""))
        .expect("valid request");
    Some(
        sender
            .send_request(request)
            .await
            .expect("response")
            .status(),
    )
}

#[tokio::test]
async fn reload_uses_new_certificate() {
    let directory = CertificateDirectory::new("tls-renewed");
    let first = directory.renew();
    let tls_config = ReloadableTlsConfig::load(directory.files()).expect("certificate loaded");
    let address = start_server(&tls_config).await;
    assert_eq!(request_status(address, &first).await, Some(StatusCode::OK));
    assert!(!tls_config.reload().expect("unchanged files"));

    let second = directory.renew();
    assert!(tls_config.reload().expect("replaced files"));
    assert_eq!(request_status(address, &second).await, Some(StatusCode::OK));
    assert_eq!(request_status(address, &first).await, None);
}

/// The files are replaced one after the other, and the node reloads them in between. If it used the
/// incomplete files, all new connections would fail; it must keep the certificate in use.
#[tokio::test]
async fn reload_of_incomplete_files_keeps_certificate() {
    let directory = CertificateDirectory::new("tls-broken");
    let first = directory.renew();
    let tls_config = ReloadableTlsConfig::load(directory.files()).expect("certificate loaded");
    let address = start_server(&tls_config).await;
    CertificateDirectory::truncate(&directory.files().certificate);
    assert!(tls_config.reload().is_err());
    assert_eq!(request_status(address, &first).await, Some(StatusCode::OK));
}

#[tokio::test]
async fn key_of_other_certificate_is_rejected() {
    let directory = CertificateDirectory::new("tls-foreign");
    directory.renew();
    let certificate = std::fs::read(directory.files().certificate).expect("file read");
    directory.renew();
    std::fs::write(directory.files().certificate, certificate).expect("file written");
    let error = ReloadableTlsConfig::load(directory.files()).expect_err("mismatched files");
    assert!(error.to_string().contains("together"), "{error}");
}
