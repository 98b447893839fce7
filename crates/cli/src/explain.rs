//! `clovermount explain`: the story of one job, from the logs of all processes.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Map;
use serde_json::Value;

use crate::error::CliError;
use crate::error::usage;
use crate::exit::SUCCESS;

/// Fields that name what a line is about.
const NAMES: [&str; 4] = ["job", "task", "step", "path"];

/// Fields that are shown by themselves, or tell only where in the code the
/// line was written.
const HIDDEN: [&str; 8] = [
    "timestamp",
    "message",
    "level",
    "code",
    "target",
    "module",
    "file",
    "line",
];

/// print what the logs of several processes tell of one job, in order of time
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id of the job: 16 hexadecimal digits
    #[argh(positional)]
    id: String,
    /// log files; standard input if there are none
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// A line of a log, with where it comes from.
struct Line {
    time: u64,
    origin: String,
    fields: Map<String, Value>,
}

impl Explain {
    pub(crate) fn run(self) -> Result<u8, CliError> {
        if job_id(&self.id).is_none() {
            let reason = format!("id: found {:?}, allowed: 16 hexadecimal digits", self.id);
            return Err(usage(reason));
        }
        let mut lines = Vec::new();
        if self.files.is_empty() {
            collect(std::io::stdin().lock(), "", &self.id, &mut lines)?;
        }
        for path in &self.files {
            let file = std::fs::File::open(path).map_err(|source| CliError::File {
                path: path.clone(),
                source,
            })?;
            let origin = path.display().to_string();
            collect(file, &origin, &self.id, &mut lines)?;
        }
        lines.sort_by_key(|line| line.time);
        if lines.is_empty() {
            return Err(usage(format!("no line tells of {}", self.id)));
        }
        let begin = lines[0].time;
        for line in &lines {
            println!("{}", show(line, begin));
        }
        Ok(SUCCESS)
    }
}

fn job_id(text: &str) -> Option<&str> {
    let plain = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    plain.then_some(text)
}

/// Collects the lines that concern a job. What stands before the JSON object of
/// a line, such as the name of a process, is kept as its origin.
fn collect(
    input: impl Read,
    origin: &str,
    id: &str,
    lines: &mut Vec<Line>,
) -> Result<(), CliError> {
    for text in BufReader::new(input).lines() {
        let text = text.map_err(|source| CliError::File {
            path: origin.into(),
            source,
        })?;
        let Some(at) = text.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[at..]) else {
            continue;
        };
        if !concerns(&fields, id) {
            continue;
        }
        let before = text[..at].split_whitespace().last().unwrap_or(origin);
        lines.push(Line {
            time: fields["timestamp"].as_u64().unwrap_or(0),
            origin: before.to_owned(),
            fields,
        });
    }
    Ok(())
}

fn concerns(fields: &Map<String, Value>, id: &str) -> bool {
    NAMES.iter().any(|name| {
        let text = fields.get(*name).and_then(Value::as_str);
        text.is_some_and(|text| text.contains(id))
    })
}

/// One line for people: time since the first line, origin, code, message, fields.
fn show(line: &Line, begin: u64) -> String {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str).unwrap_or("");
    let fields: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, _)| !HIDDEN.contains(&name.as_str()))
        .map(|(name, value)| match value {
            Value::String(value) => format!("{name}={value}"),
            value => format!("{name}={value}"),
        })
        .collect();
    let code = line
        .fields
        .get("code")
        .map_or(0, |code| code.as_u64().unwrap_or(0));
    format!(
        "+{:>6} ms  {:<22} {code} {}  {}",
        line.time - begin,
        line.origin,
        text("message"),
        fields.join(" ")
    )
}
