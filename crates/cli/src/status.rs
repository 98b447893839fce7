//! `clovermount status`: prints the current answer of a request.

use std::net::SocketAddr;

use argh::FromArgs;
use entry::AnswerBody;

use crate::api::Api;
use crate::error::CliError;
use crate::exit::family_code;
use crate::submit::print_answer;

/// print the status of a request: its answer, or what it waits for
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// entry process, as IP:PORT
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
