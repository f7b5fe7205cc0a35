//! TLS for listeners, with certificate files that can be replaced without a restart.

use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};

use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

/// ALPN protocols in order of preference.
const ALPN_PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// Paths of a certificate and its private key, both in PEM format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain: the server's certificate, followed by the intermediate ones.
    pub certificate: PathBuf,
    /// Private key of the server's certificate.
    pub key: PathBuf,
}

/// Why a certificate or its key can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file can't be read or is not in PEM format.
    #[error("failed to load {path}: {problem}")]
    File {
        /// Path of the file.
        path: String,
        /// Description of the error.
        problem: String,
    },
    /// The key is unsupported or does not match the certificate.
    #[error("certificate and key can't be used together: {0}")]
    InvalidPair(String),
}

/// The TLS configuration of a listener, which can be reloaded from its files. Clones share it.
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
    /// Loads the certificate and the key.
    ///
    /// # Errors
    ///
    /// [`TlsError`] if a file can't be read, or if certificate and key don't match.
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        let current = RwLock::new(load_certificate(&files)?);
        Ok(Self {
            inner: Arc::new(SharedTlsConfig { files, current }),
        })
    }

    /// Reloads the files and returns whether they changed.
    ///
    /// While the files are being replaced, they may be incomplete or not match for a moment. The
    /// certificate in use is kept then, because otherwise all new connections would fail.
    ///
    /// # Errors
    ///
    /// [`TlsError`]; the certificate in use is kept.
    pub fn reload(&self) -> Result<bool, TlsError> {
        let loaded = load_certificate(&self.inner.files)?;
        let mut current = self
            .inner
            .current
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if loaded.certificate == current.certificate && loaded.key == current.key {
            return Ok(false);
        }
        *current = loaded;
        Ok(true)
    }

    /// Returns an acceptor that uses the current certificate.
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
    let private_key = PrivateKeyDer::from_pem_slice(&key)
        .map_err(|error| file_error(&files.key, error.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let pair_error = |error: rustls::Error| TlsError::InvalidPair(error.to_string());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(pair_error)?
        .with_no_client_auth()
        .with_single_cert(chain, private_key)
        .map_err(pair_error)?;
    config.alpn_protocols = ALPN_PROTOCOLS.iter().map(|name| name.to_vec()).collect();
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
