//! `clovermount drain`: adds a worker to the drained ones of the configuration, or
//! removes it from them.

use std::net::SocketAddr;

use argh::FromArgs;
use entry::ConfigBody;
use event::wall_millis;
use serde_json::json;
use shard::Patch;

use crate::api::Api;
use crate::error::CliError;
use crate::exit::SUCCESS;

/// HTTP status of a patch whose base version is no longer the newest.
const CONFLICT_STATUS: u16 = 409;

/// keep new work away from a worker and move its long work elsewhere
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// entry process, as IP:PORT
    #[argh(option)]
    server: Option<SocketAddr>,
    /// give the worker work again
    #[argh(switch)]
    undo: bool,
    /// name of the worker
    #[argh(positional)]
    worker: String,
}

impl Drain {
    /// Patches the newest version of the configuration; retries if another patch
    /// was accepted first.
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
            let patch = Patch {
                id: format!("drain-{:x}", wall_millis()),
                version: current.version,
                patch: json!({ "drained": drained }),
            };
            match api.post::<_, ConfigBody>("/v1/config", &patch, None).await {
                Ok(body) => {
                    println!("in version {}", body.version);
                    return Ok(SUCCESS);
                }
                Err(CliError::Refused { status, .. }) if status == CONFLICT_STATUS => {}
                Err(error) => return Err(error),
            }
        }
    }
}
