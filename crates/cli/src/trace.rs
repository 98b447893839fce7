//! `clovermount trace`: generates traces for `clovermount replay`. The format is
//! described in docs/TRACES.md.

use std::fmt::Write;
use std::path::PathBuf;

use argh::FromArgs;
use model::Class;
use model::Request;
use model::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;
use strum::EnumString;

use crate::error::CliError;
use crate::error::FileSnafu;
use crate::exit::SUCCESS;

/// Version of the trace format.
pub(crate) const TRACE_FORMAT: u16 = 1;

/// Label of the batch requests (restocks) that are cancelled at the midpoint.
const DAY_LABEL: &str = "restock-day";

/// First line of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Header {
    /// Version of the format.
    pub(crate) format: u16,
    /// Description of the scenario, which `replay` prints.
    pub(crate) name: String,
    /// Outcomes that `replay` checks.
    pub(crate) expect: Vec<Expectation>,
}

/// Outcome that a replay must reach for one class.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Expectation {
    /// Class of the requests.
    pub(crate) class: Class,
    /// Minimum share of the requests that succeed, in percent.
    #[serde(default)]
    pub(crate) succeeded_percent: u64,
    /// Maximum 99th percentile of the waits from submission to start, in
    /// milliseconds; 0 for no limit.
    #[serde(default)]
    pub(crate) wait_millis: u64,
}

/// A step of a trace: each line after the first.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Step {
    /// Time of the step, in milliseconds from the start of the trace.
    pub(crate) at: u64,
    /// Action of the step.
    pub(crate) act: Act,
}

/// Action of a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Act {
    /// Submits a request.
    Submit(Box<Request>),
    /// Cancels all requests with a label. Requests with this label that do not
    /// succeed are left out when the expectations are checked.
    Cancel(String),
    /// Patches the newest version of the configuration.
    Patch(Value),
}

/// Scenario of a generated trace.
#[derive(Clone, Copy, Debug, EnumString)]
#[strum(serialize_all = "kebab-case")]
enum Scene {
    /// Mostly interactive requests, as from sales counters at a busy hour; all
    /// restocks submitted so far are cancelled at the midpoint.
    CounterRush,
    /// Interactive, batch and gang requests, as from month-end accounting; the
    /// power cap is lowered at the midpoint.
    MonthEnd,
}

/// generate a trace for `clovermount replay`; the same options give the same trace
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct TraceCommand {
    /// scenario: counter-rush (mostly interactive requests; the batch requests are
    /// cancelled at the midpoint) or month-end (interactive, batch and gang
    /// requests; the power cap is lowered at the midpoint)
    #[argh(option)]
    scene: Scene,
    /// seed for random values (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// duration of the trace, in seconds (default 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// requests per second (default 200)
    #[argh(option, default = "200")]
    rate: u64,
    /// file to write
    #[argh(positional)]
    file: PathBuf,
}

impl TraceCommand {
    pub(crate) fn run(self) -> Result<u8, CliError> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut text = String::new();
        push_line(&mut text, &self.header());
        let midpoint_millis = self.seconds * 500;
        let mut midpoint_done = false;
        for number in 0..self.seconds * self.rate {
            let at = number * 1000 / self.rate;
            if at >= midpoint_millis && !midpoint_done {
                midpoint_done = true;
                let act = self.midpoint_act();
                push_line(&mut text, &Step { at, act });
            }
            let request = Box::new(self.request(number, &mut random));
            let act = Act::Submit(request);
            push_line(&mut text, &Step { at, act });
        }
        let path = &self.file;
        std::fs::write(path, text).context(FileSnafu { path })?;
        Ok(SUCCESS)
    }

    fn header(&self) -> Header {
        let expect = |class, succeeded_percent, wait_millis| Expectation {
            class,
            succeeded_percent,
            wait_millis,
        };
        let (name, expect) = match self.scene {
            Scene::CounterRush => (
                "counter rush with a withdrawn day of restocks",
                vec![
                    expect(Class::Interactive, 99, 500),
                    expect(Class::Urgent, 99, 500),
                ],
            ),
            Scene::MonthEnd => (
                "month-end netting with a lowered power cap",
                vec![
                    expect(Class::Interactive, 99, 500),
                    expect(Class::Batch, 95, 0),
                ],
            ),
        };
        Header {
            format: TRACE_FORMAT,
            name: name.to_owned(),
            expect,
        }
    }

    /// Action at the midpoint of the trace.
    fn midpoint_act(&self) -> Act {
        match self.scene {
            Scene::CounterRush => Act::Cancel(DAY_LABEL.to_owned()),
            Scene::MonthEnd => Act::Patch(json!({ "site_watts": 24_000, "rack_watts": 24_000 })),
        }
    }

    fn request(&self, number: u64, random: &mut StdRng) -> Request {
        // A uniform sample in percent selects the kind of the request. A name stands
        // for a kind of work in the scenario; the range of run times is in milliseconds.
        let sample = random.random_range(0..100);
        let (name, class, run_millis) = match (self.scene, sample) {
            (Scene::CounterRush, 0..50) => ("bin-check", Class::Interactive, 5..20),
            (Scene::CounterRush, 50..85) => ("bearing", Class::Interactive, 20..60),
            (Scene::CounterRush, 85..90) => ("counter", Class::Urgent, 5..20),
            (Scene::CounterRush, _) => ("restock", Class::Batch, 500..3000),
            (Scene::MonthEnd, 0..50) => ("confirm", Class::Interactive, 5..30),
            (Scene::MonthEnd, 50..65) => ("revalue", Class::Batch, 100..500),
            (Scene::MonthEnd, 65..67) => ("netting", Class::Gang, 500..2000),
            (Scene::MonthEnd, _) => ("reconcile", Class::Batch, 200..1000),
        };
        let interactive = class == Class::Interactive;
        Request {
            id: format!("{name}-{number}"),
            team: String::new(),
            class,
            needs: Resources {
                cpu_milli: random.random_range(100..1500),
                memory_mib: random.random_range(64..2048),
                power_watts: random.random_range(5..40),
                ..Resources::default()
            },
            run_millis: random.random_range(run_millis),
            deadline_millis: if interactive { 8_300 } else { 120_000 },
            idempotent: name != "confirm",
            members: if class == Class::Gang { 4 } else { 1 },
            label: if name == "restock" {
                DAY_LABEL.to_owned()
            } else {
                String::new()
            },
            sent_millis: 0,
            payload: name.to_owned(),
        }
    }
}

fn push_line<T: Serialize>(text: &mut String, line: &T) {
    let line = serde_json::to_string(line).unwrap_or_default();
    let _ = writeln!(text, "{line}");
}
