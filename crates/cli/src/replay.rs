//! `clovermount replay`: runs the steps of a trace on a running cell and compares
//! the outcomes with the expectations of the trace. Each step runs at its time,
//! without waiting for the answers of earlier submissions; only a cancel or patch
//! delays the steps after it until its reply. The cell is real; only the type
//! [`Outcome`], the result of one request, comes from the crate `fake`, which
//! simulates callers and the platform for tests and the command `demo`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use entry::AnswerBody;
use entry::CancelBody;
use entry::CancelledBody;
use entry::ConfigBody;
use event::wall_millis;
use fake::Outcome;
use model::Family;
use model::Request;
use serde_json::Value;
use shard::Patch;
use snafu::ResultExt;
use tokio::task::JoinSet;

use crate::api::Api;
use crate::error::CliError;
use crate::error::FileSnafu;
use crate::error::usage_error;
use crate::exit::FAILURE;
use crate::exit::SUCCESS;
use crate::report::print_report;
use crate::report::reports_by_class;
use crate::trace::Act;
use crate::trace::Header;
use crate::trace::Step;
use crate::trace::TRACE_FORMAT;

/// Timeout of one submission, which is sent once and waits for the final answer.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(4);

/// Number of steps between two progress messages.
const PROGRESS_STEPS: usize = 1000;

/// run a trace on a running cell and check the outcomes
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub(crate) struct Replay {
    /// address of an entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`);
    /// repeat the option to distribute the steps over several processes
    #[argh(option)]
    server: Vec<SocketAddr>,
    /// prefix for all request ids; a trace that is replayed again needs a new one
    #[argh(option, default = "String::new()")]
    prefix: String,
    /// trace file
    #[argh(positional)]
    file: PathBuf,
}

/// A parsed trace.
struct Trace {
    header: Header,
    steps: Vec<Step>,
}

impl Replay {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        let api = Api::open(self.server.first().copied())?;
        let servers = if self.server.is_empty() {
            vec![api.server]
        } else {
            self.server.clone()
        };
        let trace = self.read_trace()?;
        println!("{}: {} steps", trace.header.name, trace.steps.len());
        let outcomes = self.run_steps(&api, &servers, &trace.steps).await?;
        let classes = reports_by_class(&outcomes);
        print_report(&classes);
        let mut code = SUCCESS;
        for expect in &trace.header.expect {
            // An expectation of a class without requests is not checked.
            let Some(report) = classes.get(&expect.class) else {
                continue;
            };
            let percent = report.succeeded * 100 / report.total.max(1);
            let wait_millis = report.waits.value_at_quantile(0.99);
            let slow = expect.wait_millis > 0 && wait_millis > expect.wait_millis;
            let met = percent >= expect.succeeded_percent && !slow;
            let verdict = if met { "holds" } else { "BROKEN" };
            println!(
                "{verdict}: {} succeeded {percent} % (expected at least {} %), wait from \
                 submission to start p99 {wait_millis} ms (expected at most {} ms, 0: no limit)",
                expect.class, expect.succeeded_percent, expect.wait_millis
            );
            if !met {
                code = FAILURE;
            }
        }
        Ok(code)
    }

    fn read_trace(&self) -> Result<Trace, CliError> {
        let path = &self.file;
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let line_error = |line: usize, reason: String| {
            usage_error(format!("{}: line {}: {reason}", path.display(), line + 1))
        };
        let mut lines = text.lines().enumerate();
        let (_, first) = lines
            .next()
            .ok_or_else(|| line_error(0, "the trace is empty".to_owned()))?;
        let header: Header =
            serde_json::from_str(first).map_err(|e| line_error(0, e.to_string()))?;
        if header.format != TRACE_FORMAT {
            let reason = format!("format: found {}, allowed: {TRACE_FORMAT}", header.format);
            return Err(line_error(0, reason));
        }
        let mut steps = Vec::new();
        for (number, line) in lines {
            let step: Step =
                serde_json::from_str(line).map_err(|e| line_error(number, e.to_string()))?;
            steps.push(step);
        }
        Ok(Trace { header, steps })
    }

    /// Runs the steps, distributed over `servers`, and returns the outcomes of the
    /// submissions that the expectations are checked on. The messages of cancels and
    /// patches begin with the time of the step in the trace, progress messages with
    /// the time since the start of the replay.
    async fn run_steps(
        &self,
        api: &Api,
        servers: &[SocketAddr],
        steps: &[Step],
    ) -> Result<Vec<Outcome>, CliError> {
        let replay_start = Instant::now();
        let mut calls = JoinSet::new();
        let mut cancelled_labels = Vec::new();
        for (number, step) in steps.iter().enumerate() {
            tokio::time::sleep_until((replay_start + Duration::from_millis(step.at)).into()).await;
            let api = api.with_server(servers[number % servers.len()]);
            match &step.act {
                Act::Submit(request) => {
                    let mut request = Request::clone(request);
                    request.id.insert_str(0, &self.prefix);
                    request.sent_millis = wall_millis();
                    calls.spawn(submit(api, request, replay_start.elapsed()));
                }
                Act::Cancel(label) => {
                    cancelled_labels.push(label.clone());
                    let body = CancelBody {
                        id: None,
                        label: Some(label.clone()),
                    };
                    let reply: CancelledBody = api.post("/v1/cancel", &body, None).await?;
                    println!(
                        "{} ms: {} requests cancelled or asked to stop",
                        step.at, reply.cancelled
                    );
                }
                Act::Patch(patch) => {
                    let version = apply_patch(&api, patch).await?;
                    println!(
                        "{} ms: patch accepted as configuration version {version}",
                        step.at
                    );
                }
            }
            if number % PROGRESS_STEPS == PROGRESS_STEPS - 1 {
                println!(
                    "{} ms: {} steps sent",
                    replay_start.elapsed().as_millis(),
                    number + 1
                );
            }
        }
        let mut outcomes = calls.join_all().await;
        // A request with a cancelled label is expected to fail. It counts in the
        // expectations only if it succeeded nevertheless.
        outcomes.retain(|outcome| {
            outcome.family() == Family::Succeeded
                || !cancelled_labels.contains(&outcome.request.label)
        });
        Ok(outcomes)
    }
}

/// Submits a request once. The outcome has no answer, and counts as pending, if the
/// call failed or was refused, or if the answer is not final. `sent_at` is the time
/// of the call since the start of the replay.
async fn submit(api: Api, request: Request, sent_at: Duration) -> Outcome {
    let start = Instant::now();
    let api = Arc::new(api);
    let answer = api
        .post::<_, AnswerBody>("/v1/requests", &request, Some(ANSWER_TIMEOUT))
        .await;
    Outcome {
        request,
        answer: answer.ok().filter(|body| body.answer.code.is_final()),
        sent_at,
        latency: start.elapsed(),
        calls: 1,
    }
}

/// Patches the current version of the configuration and returns the new version.
async fn apply_patch(api: &Api, patch: &Value) -> Result<u64, CliError> {
    let current: ConfigBody = api.get("/v1/config").await?;
    // The id must be new, because a patch whose id was already applied is not
    // applied again.
    let patch = Patch {
        id: format!("replay-{:x}", wall_millis()),
        version: current.version,
        patch: patch.clone(),
    };
    let body: ConfigBody = api.post("/v1/config", &patch, None).await?;
    Ok(body.version)
}
