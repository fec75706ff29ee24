//! `explain`: traces one request through the logs of several hosts.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use anyhow::Context;
use serde_json::{Map, Value};

use crate::{
    args::Explain,
    exit::{CliError, Exit},
    output,
};

/// Fields that are not listed: those that every line has, and those shown in columns of their own.
const HIDDEN_FIELDS: [&str; 8] = [
    "time", "level", "of", "event", "id", "text", "source", "held_ms",
];

/// Events of lines that tell what a target said about itself.
const NOTICES: [&str; 2] = ["target_leaving", "target_backoff"];

/// A log line about the request.
struct Line {
    time: f64,
    source: String,
    fields: Map<String, Value>,
}

/// Prints the lines about a request in order of time, and the number of lines that are missing.
pub(crate) fn explain(args: &Explain) -> Result<(), CliError> {
    let mut matches = Matches::default();
    for path in &args.files {
        read(path, &args.id, &mut matches)?;
    }
    matches.add_quarantine();
    matches.add_notices();
    if matches.lines.is_empty() {
        let text = format!(
            "no line names request {}; {} lines were read",
            args.id, matches.read
        );
        return Err(CliError::open(Exit::Failed, text));
    }
    matches.lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let start = matches.lines[0].time;
    for line in &matches.lines {
        output::line(show(line, start))?;
    }
    if matches.malformed > 0 {
        output::line(format!("{} lines could not be read", matches.malformed))?;
    }
    if matches.dropped > 0 {
        let text = "lines were left out by the hosts; some may be this request's";
        output::line(format!("{} {text}", matches.dropped))?;
    }
    Ok(())
}

impl Line {
    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn fingerprint(&self) -> Option<&str> {
        self.text("fingerprint")
    }

    /// Whether this line tells what a target said about itself to the host of the other line, in
    /// time for that line.
    fn is_notice_before(&self, sent: &Line) -> bool {
        let same = |name| self.text(name) == sent.text(name);
        let age = sent.time - self.time;
        // A notice without a time holds until the target ends.
        let time = self.fields.get("time_ms").and_then(Value::as_f64);
        let holds = time.is_none_or(|time| age <= time / 1000.0);
        same("to") && self.source == sent.source && age >= 0.0 && holds
    }
}

/// Lines found in the files.
#[derive(Default)]
struct Matches {
    lines: Vec<Line>,
    /// Lines about the quarantine of requests, of any fingerprint.
    quarantine: Vec<Line>,
    /// Lines that tell what targets said about themselves.
    notices: Vec<Line>,
    read: u64,
    /// Number of lines that are not valid log lines, such as truncated ones.
    malformed: u64,
    /// Number of lines that hosts report as dropped.
    dropped: u64,
}

fn read(path: &Path, id: &str, matches: &mut Matches) -> anyhow::Result<()> {
    let name = path.display().to_string();
    let reader: Box<dyn BufRead> = match name.as_str() {
        "-" => Box::new(BufReader::new(io::stdin())),
        _ => Box::new(BufReader::new(
            File::open(path).with_context(|| format!("reading {name}"))?,
        )),
    };
    for bytes in reader.split(b'\n') {
        let bytes = bytes.with_context(|| format!("reading {name}"))?;
        let text = String::from_utf8_lossy(&bytes);
        if !text.trim().is_empty() {
            matches.add_line(&text, &name, id);
        }
    }
    Ok(())
}

impl Matches {
    fn add_line(&mut self, text: &str, name: &str, id: &str) {
        self.read += 1;
        // A log collector may have added the host's name or a time in front.
        let (before, json) = text.split_at(text.find('{').unwrap_or(text.len()));
        let Ok(Value::Object(fields)) = serde_json::from_str(json.trim()) else {
            self.malformed += 1;
            return;
        };
        if fields.get("event").and_then(Value::as_str) == Some("dropped") {
            self.dropped += fields
                .get("lines")
                .and_then(Value::as_u64)
                .unwrap_or_default();
        }
        let is_request = fields.get("id").and_then(Value::as_str) == Some(id);
        let is_belief = fields.get("of").and_then(Value::as_str) == Some("belief");
        let is_quarantine = is_belief && fields.contains_key("fingerprint");
        let event = fields.get("event").and_then(Value::as_str);
        let is_notice = is_belief && event.is_some_and(|event| NOTICES.contains(&event));
        if !is_request && !is_quarantine && !is_notice {
            return;
        }
        let number = |name| fields.get(name).and_then(Value::as_f64).unwrap_or_default();
        // A line may be written some time after its event.
        let time = number("time") - number("held_ms") / 1000.0;
        let source = before.split_whitespace().last().unwrap_or(name).to_owned();
        let lines = match () {
            () if is_request => &mut self.lines,
            () if is_quarantine => &mut self.quarantine,
            () => &mut self.notices,
        };
        lines.push(Line {
            time,
            source,
            fields,
        });
    }

    /// Adds the lines that tell why hosts suspect or refuse the request: those with its
    /// fingerprint.
    fn add_quarantine(&mut self) {
        let fingerprint = self.lines.iter().find_map(Line::fingerprint);
        let Some(fingerprint) = fingerprint.map(str::to_owned) else {
            return;
        };
        let quarantine = std::mem::take(&mut self.quarantine);
        let same = |line: &Line| line.fingerprint() == Some(&*fingerprint);
        self.lines.extend(quarantine.into_iter().filter(same));
    }

    /// Adds what the targets that the request was sent to had said about themselves.
    fn add_notices(&mut self) {
        let mut notices = std::mem::take(&mut self.notices);
        notices.retain(|notice| self.lines.iter().any(|sent| notice.is_notice_before(sent)));
        self.lines.extend(notices);
    }
}

fn show(line: &Line, start: f64) -> String {
    let after = (line.time - start) * 1000.0;
    let event = line
        .fields
        .get("event")
        .and_then(Value::as_str)
        .unwrap_or("-");
    let inputs = line
        .fields
        .iter()
        .filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()));
    let inputs: Vec<_> = inputs
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!(
        "{after:>8.0} ms  {}  {event:<15} {}",
        line.source,
        inputs.join(" ")
    )
}
