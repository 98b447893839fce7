//! `clovermount token`: generates a bearer token.

use argh::FromArgs;
use model::digest;
use rand::RngExt;

use crate::exit::SUCCESS;

/// Number of random bytes in a token.
const TOKEN_BYTES: usize = 32;

/// generate a bearer token, and its SHA-256 hash for the settings of the entry
/// processes
#[derive(FromArgs)]
#[argh(subcommand, name = "token")]
pub(crate) struct TokenCommand {}

impl TokenCommand {
    pub(crate) fn run() -> u8 {
        let bytes: [u8; TOKEN_BYTES] = rand::rng().random();
        let token = digest(&bytes.map(|byte| format!("{byte:02x}")).concat());
        println!("token:  {token}");
        println!("sha256: {}", digest(&token));
        SUCCESS
    }
}
