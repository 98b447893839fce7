//! Generates the three key files of a cell: the certificate of its certificate
//! authority, and one certificate with its private key. All processes of the cell
//! use copies of the same three files.

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

/// DNS name (subject alternative name) in the certificate of the processes; the
/// same in all cells, which differ by their authorities. A process that opens a
/// connection expects this name of the server instead of its address: the
/// certificate proves membership in the cell, not an address, because the IP
/// addresses of processes change when hosts are replaced.
pub const CELL_NAME: &str = "clovermount.cell";

/// File name of the certificate of the cell's authority.
pub const AUTHORITY_FILE: &str = "ca.pem";

/// File name of the certificate that all processes of the cell share.
pub const CERTIFICATE_FILE: &str = "cert.pem";

/// File name of the private key for [`CERTIFICATE_FILE`].
pub const KEY_FILE: &str = "key.pem";

/// Generates an authority and the certificate of the processes signed by it, and
/// writes both certificates and the private key of the latter as three files to
/// `folder`, from where they are copied to all processes of the cell. The private key
/// of the authority is not saved, so no further certificate can be signed, and keys
/// can only be replaced by a complete new set. The validity period is the default
/// of `rcgen`.
///
/// # Errors
/// A file already exists or cannot be written, or a key cannot be generated. Files
/// that were written before the error remain.
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

/// Location of a process's copy of the key files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Folder that contains the three key files.
    pub folder: PathBuf,
}

impl KeyFiles {
    /// Path of a key file; `name` is [`AUTHORITY_FILE`], [`CERTIFICATE_FILE`] or
    /// [`KEY_FILE`].
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}
