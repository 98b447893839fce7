//! `clovermount submit`: submits a request and prints its answer.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use entry::AnswerBody;
use event::wall_millis;
use model::Class;
use model::Request;
use model::Resources;
use snafu::ResultExt;

use crate::api::Api;
use crate::api::print_json;
use crate::error::CliError;
use crate::error::FileSnafu;
use crate::error::usage_error;
use crate::exit::family_code;

/// Timeout of one call, which waits for the final answer.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(5);

/// Delay before the first retry of a call without a complete reply; the n-th
/// retry waits n times as long.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of calls for one submission. All have the same id, so that the
/// cell counts them as one request.
const MAX_TRIES: u32 = 5;

/// submit one request, wait for its answer and print it
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Submit {
    /// address of the entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`)
    #[argh(option)]
    server: Option<SocketAddr>,
    /// JSON file with the request, instead of the options below
    #[argh(option)]
    file: Option<PathBuf>,
    /// id of the request; submissions with the same id count as one request
    #[argh(option)]
    id: Option<String>,
    /// work class: urgent, interactive, gang or batch (default interactive)
    #[argh(option, default = "Class::Interactive")]
    class: Class,
    /// CPU of each task, in thousandths of a core (default 500)
    #[argh(option, default = "500")]
    cpu_milli: u32,
    /// memory of each task, in MiB (default 256)
    #[argh(option, default = "256")]
    memory_mib: u32,
    /// accelerators of each task (default 0)
    #[argh(option, default = "0")]
    accelerators: u32,
    /// power of each task, in watts (default 20)
    #[argh(option, default = "20")]
    power_watts: u32,
    /// declared run time, in milliseconds (default 1000)
    #[argh(option, default = "1000")]
    run_millis: u64,
    /// latest start, in milliseconds from the submission (default 10000)
    #[argh(option, default = "10_000")]
    deadline_millis: u64,
    /// number of tasks of a gang, which start together; 1 for other classes
    /// (default 1)
    #[argh(option, default = "1")]
    members: u32,
    /// label for cancelling many requests in one call
    #[argh(option, default = "String::new()")]
    label: String,
    /// text that is passed to the task
    #[argh(option, default = "String::new()")]
    payload: String,
    /// the request may safely run more than once
    #[argh(switch)]
    idempotent: bool,
    /// return as soon as the request is accepted, without waiting for its answer
    #[argh(switch)]
    detach: bool,
    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

impl Submit {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        let api = Api::open(self.server)?;
        let (json, detach) = (self.json, self.detach);
        let mut request = self.request()?;
        if request.sent_millis == 0 {
            request.sent_millis = wall_millis();
        }
        let path = if detach {
            "/v1/requests?wait=false"
        } else {
            "/v1/requests"
        };
        let body = send(&api, path, &request).await?;
        print_answer(&body, json);
        if detach && body.family == model::Family::Pending {
            return Ok(crate::exit::SUCCESS);
        }
        Ok(family_code(body.family))
    }

    fn request(self) -> Result<Request, CliError> {
        if let Some(path) = self.file {
            let text = std::fs::read_to_string(&path).context(FileSnafu { path: &path })?;
            return serde_json::from_str(&text)
                .map_err(|error| usage_error(format!("{}: {error}", path.display())));
        }
        let id = self.id.ok_or_else(|| usage_error("pass --id or --file"))?;
        Ok(Request {
            id,
            team: String::new(),
            class: self.class,
            needs: Resources {
                cpu_milli: self.cpu_milli,
                memory_mib: self.memory_mib,
                accelerators: self.accelerators,
                slots: 0,
                power_watts: self.power_watts,
            },
            run_millis: self.run_millis,
            deadline_millis: self.deadline_millis,
            idempotent: self.idempotent,
            members: self.members,
            label: self.label,
            sent_millis: 0,
            payload: self.payload,
        })
    }
}

async fn send(api: &Api, path: &str, request: &Request) -> Result<AnswerBody, CliError> {
    let mut tries = 0;
    loop {
        tries += 1;
        match api.post(path, request, Some(ANSWER_TIMEOUT)).await {
            Err(CliError::Call { source }) if tries < MAX_TRIES => {
                eprintln!("{source}; retrying with the same id");
                tokio::time::sleep(RETRY_DELAY * tries).await;
            }
            result => return result,
        }
    }
}

/// Prints an answer as text or JSON.
pub(crate) fn print_answer(body: &AnswerBody, json: bool) {
    if json {
        print_json(body);
        return;
    }
    let answer = &body.answer;
    println!("{} {} ({})", body.number, answer.code, body.family);
    if !answer.reason.is_empty() {
        println!("reason: {}", answer.reason);
    }
    if !answer.worker.is_empty() {
        println!(
            "worker: {}, waited {} ms",
            answer.worker, answer.waited_millis
        );
    }
    if answer.retry_millis > 0 {
        println!("retry in {} ms", answer.retry_millis);
    }
    if !answer.output.is_empty() {
        println!("{}", answer.output);
    }
}
