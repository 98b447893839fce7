//! `clovermount hosts` and `clovermount cell`: show the workers and the processes.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::Value;
use store::Host;

use crate::api::Api;
use crate::api::print_json;
use crate::error::CliError;
use crate::exit::SUCCESS;

/// list the workers in the platform's host list
#[derive(FromArgs)]
#[argh(subcommand, name = "hosts")]
pub(crate) struct HostsCommand {
    /// entry process, as IP:PORT
    #[argh(option)]
    server: Option<SocketAddr>,
    /// print as JSON
    #[argh(switch)]
    json: bool,
}

/// show the processes and the owner of each shard, as one process sees them
#[derive(FromArgs)]
#[argh(subcommand, name = "cell")]
pub(crate) struct CellCommand {
    /// entry process, as IP:PORT
    #[argh(option)]
    server: Option<SocketAddr>,
}

impl HostsCommand {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        let hosts: Vec<Host> = Api::open(self.server)?.get("/v1/hosts").await?;
        if self.json {
            print_json(&hosts);
            return Ok(SUCCESS);
        }
        for host in hosts {
            let state = serde_json::to_string(&host.state).unwrap_or_default();
            println!(
                "{}\t{}\t{}\t{}\t{state}",
                host.id, host.domain, host.rack, host.address
            );
        }
        Ok(SUCCESS)
    }
}

impl CellCommand {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        let cell: Value = Api::open(self.server)?.get("/v1/cell").await?;
        print_json(&cell);
        Ok(SUCCESS)
    }
}
