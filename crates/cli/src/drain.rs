//! `clovermount drain`: adds a worker to the drained workers in the configuration,
//! or removes it.

use std::net::SocketAddr;

use argh::FromArgs;
use entry::ConfigBody;
use event::wall_millis;
use serde_json::json;
use shard::Patch;

use crate::api::Api;
use crate::error::CliError;
use crate::exit::SUCCESS;

/// HTTP status of a patch that does not apply to the current version.
const CONFLICT_STATUS: u16 = 409;

/// start no new tasks on a worker, and move its batch tasks to other workers, where
/// they continue from a checkpoint
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// address of the entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`)
    #[argh(option)]
    server: Option<SocketAddr>,
    /// end the drain: allow new tasks on the worker again
    #[argh(switch)]
    undo: bool,
    /// name of the worker
    #[argh(positional)]
    worker: String,
}

impl Drain {
    /// Patches the current version of the configuration. If another patch is
    /// accepted first, reads the new version and tries again.
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        let api = Api::open(self.server)?;
        loop {
            let current: ConfigBody = api.get("/v1/config").await?;
            let mut drained = current.config.drained;
            if self.undo {
                drained.remove(&self.worker)
            } else {
                drained.insert(self.worker.clone())
            };
            // The id must be new, because a patch whose id was already applied is not
            // applied again. The patch is refused unless `version` is current.
            let patch = Patch {
                id: format!("drain-{:x}", wall_millis()),
                version: current.version,
                patch: json!({ "drained": drained }),
            };
            match api.post::<_, ConfigBody>("/v1/config", &patch, None).await {
                Ok(body) => {
                    println!("accepted as configuration version {}", body.version);
                    return Ok(SUCCESS);
                }
                Err(CliError::Refused { status, .. }) if status == CONFLICT_STATUS => {}
                Err(error) => return Err(error),
            }
        }
    }
}
