//! `clovermount status`: prints the final or pending answer of a request.

use std::net::SocketAddr;

use argh::FromArgs;
use entry::AnswerBody;

use crate::api::Api;
use crate::error::CliError;
use crate::exit::family_code;
use crate::submit::print_answer;

/// print the answer of a request, or its current state if it has no final answer
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// address of the entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`)
    #[argh(option)]
    server: Option<SocketAddr>,
    /// print as JSON
    #[argh(switch)]
    json: bool,
    /// id of the request
    #[argh(positional)]
    id: String,
}

impl Status {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        let api = Api::open(self.server)?;
        let path = format!("/v1/requests/{}", web::encode(&self.id));
        let body: AnswerBody = api.get(&path).await?;
        print_answer(&body, self.json);
        Ok(family_code(body.family))
    }
}
