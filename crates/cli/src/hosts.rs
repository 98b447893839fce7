//! `clovermount hosts` and `clovermount cell`: print the workers and the processes
//! of a cell.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::Value;
use store::Host;

use crate::api::Api;
use crate::api::print_json;
use crate::error::CliError;
use crate::exit::SUCCESS;

/// list the workers in the platform's host list, with failure domain, rack,
/// address and state
#[derive(FromArgs)]
#[argh(subcommand, name = "hosts")]
pub(crate) struct HostsCommand {
    /// address of the entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`)
    #[argh(option)]
    server: Option<SocketAddr>,
    /// print as JSON
    #[argh(switch)]
    json: bool,
}

/// print the processes of the cell and the owner of each shard as JSON, as the
/// entry process last read them from the table
#[derive(FromArgs)]
#[argh(subcommand, name = "cell")]
pub(crate) struct CellCommand {
    /// address of the entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`)
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
