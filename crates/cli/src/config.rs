//! `clovermount config get|patch|history`: reads or patches the configuration.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use entry::ConfigBody;
use model::VersionedConfig;
use serde_json::Value;
use shard::Patch;
use snafu::ResultExt;

use crate::api::Api;
use crate::api::print_json;
use crate::error::CliError;
use crate::error::FileSnafu;
use crate::error::usage_error;
use crate::exit::SUCCESS;

/// read or patch the versioned configuration
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigCommand {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Get(Get),
    Patch(PatchCommand),
    History(History),
}

/// print the newest configuration as JSON, and the oldest version that is still
/// in force in a process
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// address of the entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`)
    #[argh(option)]
    server: Option<SocketAddr>,
}

/// create the next version by patching the current one (JSON merge patch, RFC
/// 7396)
#[derive(FromArgs)]
#[argh(subcommand, name = "patch")]
struct PatchCommand {
    /// address of the entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`)
    #[argh(option)]
    server: Option<SocketAddr>,
    /// version that the patch applies to; the patch is refused unless this is the
    /// current version
    #[argh(option)]
    version: u64,
    /// id of the patch; use the same id to retry after a lost reply
    #[argh(option)]
    id: String,
    /// JSON file with the merge patch
    #[argh(positional)]
    file: PathBuf,
}

/// print the latest versions as JSON, newest first
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// address of the entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`)
    #[argh(option)]
    server: Option<SocketAddr>,
}

impl ConfigCommand {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        match self.command {
            Command::Get(get) => {
                let body: ConfigBody = Api::open(get.server)?.get("/v1/config").await?;
                print_json(&body);
            }
            Command::Patch(command) => {
                let api = Api::open(command.server)?;
                let body: ConfigBody = api.post("/v1/config", &command.patch()?, None).await?;
                println!("patch accepted as configuration version {}", body.version);
            }
            Command::History(history) => {
                let api = Api::open(history.server)?;
                let versions: Vec<VersionedConfig> = api.get("/v1/config/history").await?;
                print_json(&versions);
            }
        }
        Ok(SUCCESS)
    }
}

impl PatchCommand {
    fn patch(self) -> Result<Patch, CliError> {
        let path = &self.file;
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let merge_patch: Value = serde_json::from_str(&text)
            .map_err(|error| usage_error(format!("{}: {error}", path.display())))?;
        Ok(Patch {
            id: self.id,
            version: self.version,
            patch: merge_patch,
        })
    }
}
