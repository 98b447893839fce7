//! Client for the HTTP API of an entry process.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use web::Call;
use web::Client;
use web::Method;
use web::Reply;

use crate::error::CliError;
use crate::error::usage_error;

/// Timeout of calls that do not wait for a task.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Client for one entry process, with the token of the user.
#[derive(Clone, Debug)]
pub(crate) struct Api {
    client: Client,
    pub(crate) server: SocketAddr,
    token: String,
}

impl Api {
    /// Creates a client for `server`, or for the address in `CLOVERMOUNT_SERVER` if
    /// `server` is `None`. The token comes from `CLOVERMOUNT_TOKEN`.
    pub(crate) fn open(server: Option<SocketAddr>) -> Result<Api, CliError> {
        let env_server = std::env::var("CLOVERMOUNT_SERVER").ok();
        let server = match (server, env_server) {
            (Some(server), _) => server,
            (None, Some(text)) => text.parse().map_err(|_| {
                usage_error(format!(
                    "CLOVERMOUNT_SERVER: found {text:?}, allowed: IP:PORT"
                ))
            })?,
            (None, None) => {
                return Err(usage_error(
                    "no entry process: pass --server IP:PORT or set CLOVERMOUNT_SERVER",
                ));
            }
        };
        let token = std::env::var("CLOVERMOUNT_TOKEN")
            .map_err(|_| usage_error("no bearer token: set CLOVERMOUNT_TOKEN"))?;
        Ok(Api {
            client: Client::new(Duration::from_secs(3)),
            server,
            token,
        })
    }

    /// Returns a client for another entry process with the same token.
    pub(crate) fn with_server(&self, server: SocketAddr) -> Api {
        Api {
            server,
            ..self.clone()
        }
    }

    pub(crate) async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, CliError> {
        let call = Call::new(Method::GET, self.server, path, CALL_TIMEOUT);
        let reply = self.client.send(call.token(&self.token)).await?;
        self.parse_reply(&reply)
    }

    /// Sends a POST request; `timeout` is [`CALL_TIMEOUT`] if it is `None`.
    pub(crate) async fn post<B, R>(
        &self,
        path: &str,
        body: &B,
        timeout: Option<Duration>,
    ) -> Result<R, CliError>
    where
        B: Serialize + Sync,
        R: DeserializeOwned,
    {
        let timeout = timeout.unwrap_or(CALL_TIMEOUT);
        let call = Call::new(Method::POST, self.server, path, timeout);
        let reply = self.client.send(call.token(&self.token).json(body)).await?;
        self.parse_reply(&reply)
    }

    /// Parses the body of a reply. An answer with a result code is no error,
    /// whatever the HTTP status; the call was refused only if the status is not a
    /// success and the body has the field `error`.
    fn parse_reply<R: DeserializeOwned>(&self, reply: &Reply) -> Result<R, CliError> {
        let body: Value = reply.json(self.server)?;
        if !reply.status.is_success() && body.get("error").is_some() {
            let reason = body["error"].as_str().unwrap_or_default().to_owned();
            let status = reply.status.as_u16();
            return Err(CliError::Refused { status, reason });
        }
        Ok(reply.json(self.server)?)
    }
}

/// Prints a value as one line of JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}
