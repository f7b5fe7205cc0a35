//! TLS on a listener, from files that may be replaced while it serves.

use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};

use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

/// Protocols that are offered, the preferred one first.
const PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// Where a certificate and its key are, both as PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate, followed by those between it and its root.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
}

/// Why a certificate can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file can't be read or is no PEM.
    #[error("{path} can't be used: {problem}")]
    File {
        /// The path.
        path: String,
        /// Why.
        problem: String,
    },
    /// Certificate and key don't belong together.
    #[error("certificate and key can't be used together: {0}")]
    InvalidPair(String),
}

/// The certificate in use. Clones share it.
#[derive(Debug, Clone)]
pub struct ReloadableTlsConfig {
    inner: Arc<SharedTlsConfig>,
}

#[derive(Debug)]
struct SharedTlsConfig {
    files: TlsFiles,
    current: RwLock<LoadedCertificate>,
}

#[derive(Debug, Clone)]
struct LoadedCertificate {
    certificate: Vec<u8>,
    key: Vec<u8>,
    config: Arc<ServerConfig>,
}

impl ReloadableTlsConfig {
    /// Loads a certificate.
    ///
    /// # Errors
    ///
    /// [`TlsError`].
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        let current = RwLock::new(load_certificate(&files)?);
        Ok(Self {
            inner: Arc::new(SharedTlsConfig { files, current }),
        })
    }

    /// Loads the files again; returns whether they changed.
    ///
    /// While files are being replaced they may be broken or not belong together for a moment. The
    /// certificate in use then stays, or every new caller would be turned away.
    ///
    /// # Errors
    ///
    /// [`TlsError`]; the certificate in use stays.
    pub fn reload(&self) -> Result<bool, TlsError> {
        let pair = load_certificate(&self.inner.files)?;
        let mut current = self
            .inner
            .current
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if pair.certificate == current.certificate && pair.key == current.key {
            return Ok(false);
        }
        *current = pair;
        Ok(true)
    }

    /// Accepts connections with the certificate in use now.
    #[must_use]
    pub fn acceptor(&self) -> TlsAcceptor {
        let current = self
            .inner
            .current
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        TlsAcceptor::from(Arc::clone(&current.config))
    }
}

fn load_certificate(files: &TlsFiles) -> Result<LoadedCertificate, TlsError> {
    let certificate = read_file(&files.certificate)?;
    let key = read_file(&files.key)?;
    let file_error = |path: &PathBuf, problem: String| TlsError::File {
        path: path.display().to_string(),
        problem,
    };
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_slice_iter(&certificate)
        .collect::<Result<_, _>>()
        .map_err(|error| file_error(&files.certificate, error.to_string()))?;
    let private = PrivateKeyDer::from_pem_slice(&key)
        .map_err(|error| file_error(&files.key, error.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let pair_error = |error: rustls::Error| TlsError::InvalidPair(error.to_string());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(pair_error)?
        .with_no_client_auth()
        .with_single_cert(chain, private)
        .map_err(pair_error)?;
    config.alpn_protocols = PROTOCOLS.iter().map(|name| name.to_vec()).collect();
    Ok(LoadedCertificate {
        certificate,
        key,
        config: Arc::new(config),
    })
}

fn read_file(path: &PathBuf) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).map_err(|error| TlsError::File {
        path: path.display().to_string(),
        problem: error.to_string(),
    })
}
