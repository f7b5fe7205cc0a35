//! Crowds at the product's own interface, with and without TLS, and at its admin address.

use std::net::SocketAddr;
use std::os::unix::fs::{PermissionsExt as _, symlink};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use serde_json::{Value, json};
use standin::stack::{CUSTOMER_KEY, StackPlan, TestStack};
use tokio::net::TcpStream;
use tokio::sync::MutexGuard;
use tokio_rustls::TlsConnector;

use crate::BINARY;
use crate::crowd::{Crowd, CrowdBytes, MOST_BYTES, first_line, settle};
use crate::http2::PREFACE;
use crate::process::{FREE_DESCRIPTORS, OWN_DESCRIPTORS, open_descriptors, peak_memory, take_turn};

/// Connections of a crowd that sends much.
pub const CROWD: usize = 240;

/// Connections of a crowd that takes descriptors.
const DESCRIPTOR_CROWD: usize = 600;

/// Memory that a process may use, in MB: a quarter of that of the users' machines.
const MEMORY_MB: f64 = 64.0;

/// Descriptors of a process where there are enough for every connection of a crowd.
pub const DESCRIPTORS: usize = 2000;

/// Descriptors of a process where there are fewer than connections of a crowd.
const FEW_DESCRIPTORS: usize = 400;

/// Time for an ordinary request; only failing tests reach it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// First line of the response to a request that finds no slot.
const OVERLOADED: &str = "HTTP/1.1 429 Too Many Requests";

/// How often a client comes again that is told to.
const MOST_RETURNS: usize = 240;

/// Time after which it comes again.
const RETURN_INTERVAL: Duration = Duration::from_millis(500);

/// Name in the certificate of a test.
pub const SERVER_NAME: &str = "entry.test";

/// An entry node with its targets and stores.
pub struct TestEntry {
    pub stack: TestStack,
    pub tls: Option<TlsConnector>,
    descriptors: usize,
    folder: PathBuf,
    _turn: MutexGuard<'static, ()>,
}

impl Drop for TestEntry {
    fn drop(&mut self) {
        // Leftovers are in the folder for temporary files, so errors don't matter.
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// A program that runs the binary with this limit on its open descriptors, beside a link to the stand-in.
fn limited_binary(folder: &Path, descriptors: usize) -> PathBuf {
    let binary = Path::new(BINARY);
    let program = folder.join("bramleyspring");
    let script = format!("#!/bin/sh\nulimit -n {descriptors} && exec {BINARY} \"$@\"\n");
    std::fs::write(&program, script).expect("folder is writable");
    let mode = std::fs::Permissions::from_mode(0o755);
    std::fs::set_permissions(&program, mode).expect("folder is writable");
    let standin = folder.join("standin");
    symlink(binary.with_file_name("standin"), standin).expect("folder is writable");
    program
}

/// Writes a certificate and its key; returns the certificate.
fn write_certificate(folder: &Path) -> CertificateDer<'static> {
    let generated = generate_simple_self_signed(vec![SERVER_NAME.to_owned()]);
    let CertifiedKey { cert, signing_key } = generated.expect("a certificate");
    std::fs::write(folder.join("cert.pem"), cert.pem()).expect("folder is writable");
    let key = signing_key.serialize_pem();
    std::fs::write(folder.join("key.pem"), key).expect("folder is writable");
    cert.der().clone()
}

fn tls_connector(certificate: CertificateDer<'static>) -> TlsConnector {
    let mut roots = RootCertStore::empty();
    roots.add(certificate).expect("a root certificate");
    let provider = std::sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("protocol versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    TlsConnector::from(std::sync::Arc::new(config))
}

impl TestEntry {
    pub async fn start(name: &str) -> Self {
        Self::start_with(name, DESCRIPTORS, false).await
    }

    pub async fn start_with(name: &str, descriptors: usize, has_tls: bool) -> Self {
        Self::start_plan(name, descriptors, &json!({}), has_tls).await
    }

    pub async fn start_plan(
        name: &str,
        descriptors: usize,
        settings: &Value,
        has_tls: bool,
    ) -> Self {
        let turn = take_turn().await;
        let name = format!("crowds-{name}");
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary directory is writable");
        let plan = StackPlan::new(&name, limited_binary(&folder, descriptors));
        let mut plan = plan.engines(4).replicas(1).entries(1);
        if *settings != json!({}) {
            plan = plan.settings("entry", settings.clone());
        }
        let mut tls = None;
        if has_tls {
            tls = Some(tls_connector(write_certificate(&folder)));
            let files = json!({
                "certificate_file": folder.join("cert.pem"), "key_file": folder.join("key.pem"),
            });
            plan = plan.settings("tls", files);
        }
        let stack = if has_tls {
            // Whether an entry serves is asked without TLS.
            plan.start_without_records().await
        } else {
            plan.start().await
        };
        Self {
            stack,
            tls,
            descriptors,
            folder,
            _turn: turn,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.stack.entries[0].address
    }

    /// First line of the response to an ordinary request; over TLS, where there are no records, that to a look at its
    /// health.
    async fn ordinary_request(&self) -> Option<String> {
        let stream = TcpStream::connect(self.address()).await.ok()?;
        if let Some(connector) = &self.tls {
            let name = ServerName::try_from(SERVER_NAME).ok()?;
            let stream = connector.connect(name, stream).await.ok()?;
            return first_line(stream, b"GET /healthz HTTP/1.1\r\nhost: entry\r\n\r\n").await;
        }
        let body = r#"{"model":"trader-help","prompt":"Which form?","max_tokens":4}"#;
        let request = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        first_line(stream, request.as_bytes()).await
    }

    /// Comes again with an ordinary request as long as it is told to, as clients do.
    pub async fn wait_served(&self) {
        for _ in 0..MOST_RETURNS {
            if self.ordinary_request().await.as_deref() != Some(OVERLOADED) {
                return;
            }
            tokio::time::sleep(RETURN_INTERVAL).await;
        }
    }

    /// Checks what must hold while a crowd of `count` connections is held.
    pub async fn assert_sound(&self, count: usize) {
        let process = self.stack.entries[0].pid();
        let most = (count + OWN_DESCRIPTORS).min(self.descriptors - FREE_DESCRIPTORS);
        let open = open_descriptors(process);
        assert!(open <= most, "{open} descriptors open, bound {most}");
        let responding = tokio::time::timeout(RESPONSE_TIMEOUT, self.ordinary_request());
        let ordinary = responding.await.ok().flatten();
        let memory = peak_memory(process);
        println!("{memory:.1} MB, {open} descriptors, {ordinary:?}");
        assert!(memory < MEMORY_MB, "{memory} MB used, bound {MEMORY_MB} MB");
        let open = open_descriptors(process);
        assert!(open <= most, "{open} descriptors open, bound {most}");
        assert_eq!(ordinary.as_deref(), Some("HTTP/1.1 200 OK"));
    }
}

fn endless_head() -> CrowdBytes {
    let head = CrowdBytes::once("POST /v1/completions HTTP/1.1\r\nhost: entry\r\nx-long: ");
    head.then_repeat(b"x", MOST_BYTES)
}

async fn play(name: &str, bytes: CrowdBytes) {
    let entry = TestEntry::start(name).await;
    let _crowd = Crowd::gather(entry.address(), CROWD, &bytes).await;
    entry.assert_sound(CROWD).await;
}

/// Guards against heads without end, which end an entry node by its memory.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads() {
    play("heads", endless_head()).await;
}

/// Guards against empty lines without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_lines() {
    let bytes = CrowdBytes::default().then_repeat(b"\r\n", MOST_BYTES);
    play("lines", bytes).await;
}

/// Guards against frames of HTTP/2 without end that ask for nothing: settings, which are to be acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn endless_settings() {
    let frame = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00";
    let bytes = CrowdBytes::once(PREFACE).then_repeat(frame, MOST_BYTES);
    play("settings", bytes).await;
}

/// Guards against pings without end, which are to be answered.
#[tokio::test(flavor = "multi_thread")]
async fn endless_pings() {
    let frame = b"\x00\x00\x08\x06\x00\x00\x00\x00\x00pingping";
    let bytes = CrowdBytes::once(PREFACE).then_repeat(frame, MOST_BYTES);
    play("pings", bytes).await;
}

/// Guards against a head of HTTP/2 without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_continuations() {
    let begin = [PREFACE, b"\x00\x00\x01\x01\x00\x00\x00\x00\x01\x82"].concat();
    let frame = [
        &b"\x00\x20\x00\x09\x00\x00\x00\x00\x01"[..],
        &b"\x00\x06x-note\x01y".repeat(820)[..8192],
    ];
    let bytes = CrowdBytes::once(begin).then_repeat(&frame.concat(), MOST_BYTES);
    play("continuations", bytes).await;
}

/// Guards against heads without end at the admin address, by clients without a key.
#[tokio::test(flavor = "multi_thread")]
async fn heads_at_admin() {
    let entry = TestEntry::start("admin-heads").await;
    let admin = entry.stack.entries[0].admin().await;
    let _crowd = Crowd::gather(admin, CROWD, &endless_head()).await;
    entry.assert_sound(CROWD).await;
}

/// Guards against empty lines without end at the admin address.
#[tokio::test(flavor = "multi_thread")]
async fn lines_at_admin() {
    let entry = TestEntry::start("admin-lines").await;
    let admin = entry.stack.entries[0].admin().await;
    let bytes = CrowdBytes::default().then_repeat(b"\r\n", MOST_BYTES);
    let _crowd = Crowd::gather(admin, CROWD, &bytes).await;
    entry.assert_sound(CROWD).await;
}

/// Guards against half heads that take all descriptors of an entry node.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads() {
    let entry = TestEntry::start_with("half", FEW_DESCRIPTORS, false).await;
    let bytes = CrowdBytes::once("POST /v1/completions HTTP/1.1\r\nhost: en");
    let _crowd = Crowd::gather(entry.address(), DESCRIPTOR_CROWD, &bytes).await;
    entry.assert_sound(DESCRIPTOR_CROWD).await;
}

/// Guards against the same at the admin address.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_at_admin() {
    let entry = TestEntry::start_with("admin-half", FEW_DESCRIPTORS, false).await;
    let admin = entry.stack.entries[0].admin().await;
    let bytes = CrowdBytes::once("GET /metrics HTTP/1.1\r\nhost: en");
    let _crowd = Crowd::gather(admin, DESCRIPTOR_CROWD, &bytes).await;
    entry.assert_sound(DESCRIPTOR_CROWD).await;
}

/// Guards against handshakes of TLS that do not go on and take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn silent_handshakes() {
    let entry = TestEntry::start_with("handshakes", FEW_DESCRIPTORS, true).await;
    let _crowd = Crowd::gather(entry.address(), DESCRIPTOR_CROWD, &CrowdBytes::default()).await;
    entry.assert_sound(DESCRIPTOR_CROWD).await;
}

/// Guards against heads without end over TLS.
#[tokio::test(flavor = "multi_thread")]
async fn heads_over_tls() {
    let entry = TestEntry::start_with("tls-heads", DESCRIPTORS, true).await;
    let connector = entry.tls.clone().expect("a TLS entry");
    let address = entry.address();
    let bytes = endless_head();
    let sending = (0..CROWD).map(|_| {
        let (connector, bytes) = (connector.clone(), bytes.clone());
        tokio::spawn(async move {
            let stream = TcpStream::connect(address).await.ok()?;
            let name = ServerName::try_from(SERVER_NAME).ok()?;
            let mut stream = connector.connect(name, stream).await.ok()?;
            bytes.send_on(&mut stream).await;
            Some(stream)
        })
    });
    let crowd = futures::future::join_all(sending.collect::<Vec<_>>()).await;
    settle(address).await;
    entry.assert_sound(CROWD).await;
    drop(crowd);
}

/// Guards against bodies within the limit of one, which together take the memory of the process and never end.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies() {
    let settings = json!({ "held_memory": "16MiB" });
    let entry = TestEntry::start_plan("bodies", DESCRIPTORS, &settings, false).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        4 << 20
    );
    let bytes = CrowdBytes::once(head).then_repeat(b" ", MOST_BYTES);
    let _crowd = Crowd::gather(entry.address(), CROWD, &bytes).await;
    entry.assert_sound(CROWD).await;
}
