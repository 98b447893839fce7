//! Generates the certificate authority of a cell and the key files of its
//! processes.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use snafu::ResultExt;

use crate::OpenError;
use crate::error::FileSnafu;

/// Subject name in every certificate of a cell. A certificate proves membership
/// in the cell, not an address, because the IP addresses of processes change
/// when hosts are replaced.
pub const CELL_NAME: &str = "clovermount.cell";

/// File name of the certificate of the cell's authority.
pub const AUTHORITY_FILE: &str = "ca.pem";

/// File name of the process certificate.
pub const CERTIFICATE_FILE: &str = "cert.pem";

/// File name of the private key of the process.
pub const KEY_FILE: &str = "key.pem";

/// Generates an authority and a process certificate signed by it, and writes both
/// certificates and the private key of the process as three files to `folder`.
/// The private key of the authority is not saved, so keys can only be replaced by
/// a complete new set.
///
/// # Errors
/// A file already exists or cannot be written, or a key cannot be generated.
pub fn generate_keys(folder: &Path) -> Result<(), OpenError> {
    let key_error = |error: rcgen::Error| OpenError::Key {
        path: folder.to_owned(),
        reason: error.to_string(),
    };
    let authority = generate_authority().map_err(key_error)?;
    let key = KeyPair::generate().map_err(key_error)?;
    let mut leaf = CertificateParams::new(vec![CELL_NAME.to_owned()]).map_err(key_error)?;
    leaf.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = leaf.signed_by(&key, &authority).map_err(key_error)?;
    fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    write_new(&folder.join(AUTHORITY_FILE), &authority.pem())?;
    write_new(&folder.join(CERTIFICATE_FILE), &certificate.pem())?;
    write_new(&folder.join(KEY_FILE), &key.serialize_pem())
}

fn generate_authority() -> Result<CertifiedIssuer<'static, KeyPair>, rcgen::Error> {
    let mut root = CertificateParams::new(Vec::new())?;
    root.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    root.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    CertifiedIssuer::self_signed(root, KeyPair::generate()?)
}

/// Writes a new file, on Unix readable only by its owner; fails if the file
/// already exists.
fn write_new(path: &Path, text: &str) -> Result<(), OpenError> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
    let mut file = options.open(path).context(FileSnafu { path })?;
    file.write_all(text.as_bytes()).context(FileSnafu { path })
}

/// Location of the key files of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Folder that contains the three key files.
    pub folder: PathBuf,
}

impl KeyFiles {
    /// Path of the key file with the given name.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}
