//! `clovermount explain`: prints the log lines of all processes about one job,
//! sorted by time. It reads the JSON log lines of processes that were started with
//! `clovermountd --cell`; only these run jobs. A job consists of steps with tasks,
//! whose names begin with the id of the job.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Map;
use serde_json::Value;

use crate::error::CliError;
use crate::error::usage_error;
use crate::exit::SUCCESS;

/// Fields of a log line that can contain the id of a job.
const ID_FIELDS: [&str; 4] = ["job", "task", "step", "path"];

/// Fields that are not listed with the others: they are printed separately, or
/// only locate the line in the source code.
const HIDDEN_FIELDS: [&str; 8] = [
    "timestamp",
    "message",
    "level",
    "code",
    "target",
    "module",
    "file",
    "line",
];

/// print the log lines of several processes about one job, sorted by time
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id of the job: 16 hexadecimal digits
    #[argh(positional)]
    id: String,
    /// log files with one JSON object per line; standard input if none are given
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// A line of a log.
struct LogLine {
    /// Time in milliseconds, from the field `timestamp`.
    time: u64,
    /// Name of the process, or path of the log file.
    origin: String,
    fields: Map<String, Value>,
}

impl Explain {
    pub(crate) fn run(self) -> Result<u8, CliError> {
        if parse_id(&self.id).is_none() {
            let reason = format!("id: found {:?}, allowed: 16 hexadecimal digits", self.id);
            return Err(usage_error(reason));
        }
        let mut lines = Vec::new();
        if self.files.is_empty() {
            collect_lines(std::io::stdin().lock(), "", &self.id, &mut lines)?;
        }
        for path in &self.files {
            let file = std::fs::File::open(path).map_err(|source| CliError::File {
                path: path.clone(),
                source,
            })?;
            let origin = path.display().to_string();
            collect_lines(file, &origin, &self.id, &mut lines)?;
        }
        lines.sort_by_key(|line| line.time);
        if lines.is_empty() {
            return Err(usage_error(format!("no log line mentions {}", self.id)));
        }
        let first_time = lines[0].time;
        for line in &lines {
            println!("{}", format_line(line, first_time));
        }
        Ok(SUCCESS)
    }
}

fn parse_id(text: &str) -> Option<&str> {
    let valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    valid.then_some(text)
}

/// Adds the lines of `input` that mention the job `id` to `lines`. The last word
/// before the JSON object of a line, such as the name of a process, replaces
/// `origin` for that line. Skips lines without a JSON object.
fn collect_lines(
    input: impl Read,
    origin: &str,
    id: &str,
    lines: &mut Vec<LogLine>,
) -> Result<(), CliError> {
    for text in BufReader::new(input).lines() {
        let text = text.map_err(|source| CliError::File {
            path: origin.into(),
            source,
        })?;
        let Some(pos) = text.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[pos..]) else {
            continue;
        };
        if !mentions(&fields, id) {
            continue;
        }
        let line_origin = text[..pos].split_whitespace().last().unwrap_or(origin);
        lines.push(LogLine {
            time: fields["timestamp"].as_u64().unwrap_or(0),
            origin: line_origin.to_owned(),
            fields,
        });
    }
    Ok(())
}

fn mentions(fields: &Map<String, Value>, id: &str) -> bool {
    ID_FIELDS.iter().any(|name| {
        let text = fields.get(*name).and_then(Value::as_str);
        text.is_some_and(|text| text.contains(id))
    })
}

/// Formats a line as text: time since the first line, origin, code, message
/// and the other fields.
fn format_line(line: &LogLine, first_time: u64) -> String {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str).unwrap_or("");
    let fields: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()))
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
        line.time - first_time,
        line.origin,
        text("message"),
        fields.join(" ")
    )
}
