//! Settings for mutual TLS, with the cell's certificate authority as the only
//! trusted root.

use std::path::Path;
use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;

use crate::AUTHORITY_FILE;
use crate::CERTIFICATE_FILE;
use crate::KEY_FILE;
use crate::KeyFiles;
use crate::OpenError;

/// TLS settings for incoming (server) and outgoing (client) connections.
pub(crate) struct Tls {
    pub(crate) server: QuicServerConfig,
    pub(crate) client: QuicClientConfig,
}

/// Reads the key files and builds the TLS settings.
pub(crate) fn load(files: &KeyFiles) -> Result<Tls, OpenError> {
    let path = files.path(AUTHORITY_FILE);
    let mut roots = RootCertStore::empty();
    let tls_error = |error: rustls::Error| key_error(&path, &error.to_string());
    roots.add(read_certificate(&path)?).map_err(tls_error)?;
    let roots = Arc::new(roots);
    let chain = vec![read_certificate(&files.path(CERTIFICATE_FILE))?];
    let key_path = files.path(KEY_FILE);
    let key = PrivateKeyDer::from_pem_file(&key_path)
        .map_err(|error| key_error(&key_path, &error.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|error| key_error(&path, &error.to_string()))?;
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(tls_error)?;
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(tls_error)?;
    let cipher_error =
        |error: quinn::crypto::rustls::NoInitialCipherSuite| key_error(&path, &error.to_string());
    Ok(Tls {
        server: QuicServerConfig::try_from(server).map_err(cipher_error)?,
        client: QuicClientConfig::try_from(client).map_err(cipher_error)?,
    })
}

fn read_certificate(path: &Path) -> Result<CertificateDer<'static>, OpenError> {
    CertificateDer::from_pem_file(path).map_err(|error| key_error(path, &error.to_string()))
}

fn key_error(path: &Path, reason: &str) -> OpenError {
    OpenError::Key {
        path: path.to_owned(),
        reason: reason.to_owned(),
    }
}
