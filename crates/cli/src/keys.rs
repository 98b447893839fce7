//! `clovermount keys`: generates the TLS keys of a cell.

use std::path::PathBuf;

use argh::FromArgs;

use crate::error::CliError;
use crate::exit::SUCCESS;

/// create a certificate authority for a cell, and the certificate and private key
/// that all its processes use
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct Keys {
    /// folder for ca.pem, cert.pem and key.pem; it must not contain them yet
    #[argh(positional)]
    folder: PathBuf,
}

impl Keys {
    pub(crate) fn run(self) -> Result<u8, CliError> {
        peer::generate_keys(&self.folder)?;
        println!(
            "created ca.pem, cert.pem and key.pem in {}",
            self.folder.display()
        );
        Ok(SUCCESS)
    }
}
