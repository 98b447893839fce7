//! `clovermount cancel`: cancels one request, or all requests of the caller's team
//! with a label.

use std::net::SocketAddr;

use argh::FromArgs;
use entry::CancelBody;
use entry::CancelledBody;

use crate::api::Api;
use crate::api::print_json;
use crate::error::CliError;
use crate::error::usage_error;
use crate::exit::SUCCESS;

/// cancel one request, or all requests of your team with a label
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct Cancel {
    /// address of the entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`)
    #[argh(option)]
    server: Option<SocketAddr>,
    /// cancel all requests with this label, in one call
    #[argh(option)]
    label: Option<String>,
    /// print as JSON
    #[argh(switch)]
    json: bool,
    /// id of the request to cancel
    #[argh(positional)]
    id: Option<String>,
}

impl Cancel {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        if self.id.is_some() == self.label.is_some() {
            return Err(usage_error("pass either an id or --label"));
        }
        let api = Api::open(self.server)?;
        let body = CancelBody {
            id: self.id,
            label: self.label,
        };
        let reply: CancelledBody = api.post("/v1/cancel", &body, None).await?;
        if self.json {
            print_json(&reply);
        } else {
            println!("{} cancelled or asked to stop", reply.cancelled);
        }
        Ok(SUCCESS)
    }
}
