//! Generates the reference pages on settings and configuration from the schemas.
//!
//! ```text
//! cargo run -p dunlinrock-config --example pages             # writes the pages
//! cargo run -p dunlinrock-config --example pages -- --check  # fails if they differ
//! ```

use std::{env, fmt::Write, fs, path::Path};

use anyhow::{Context, ensure};
use dunlinrock_config::schema;
use serde_json::Value;

/// Text above the tables of docs/SETTINGS.md.
const SETTINGS: &str = "\
# Settings of a host

Each host reads one TOML file at its start: `dunlinrock serve --settings FILE`. Every mistake in
it is reported in one go, each with file, line, column and the fix. Samples are in
`examples/hosts/`. This page is written from `schema/settings.json` by
`cargo run -p dunlinrock-config --example pages`.

Beyond the tables: addresses are IP numbers with a port, never names; `callers` and `peers` differ;
`heartbeat_ms` is at most half of `suspect_ms`, `suspect_ms` less than `gone_ms`, `claim_ms` less
than `epoch_ms`; names are ASCII letters, digits, `-` and `_`, at most 64.
";

/// Text above the tables of docs/EDGE.md.
const EDGE: &str = "\
# Settings of an edge host

A host that sends straight to the targets of the users' platform reads one TOML file at its start:
`dunlinrock edge --settings FILE`. Every mistake in it is reported in one go, each with its key and
the fix. On the platform the file is made from `deploy/edge.toml`. The file is read again
on a hangup signal, and within a second of a change: bounds, seeds and regions of failure domains are
taken up at once, the host's identity and its addresses with the next start; a file with a mistake
changes nothing. This page is written from
`schema/edge.json` by `cargo run -p dunlinrock-config --example pages`.
";

/// Text above the tables of docs/CONFIG.md.
const CONFIG: &str = "\
# Configuration

A configuration is a directory of TOML files. It is applied as a whole or not at all. How its
entries are split over files is free; each name is defined in one file. Every mistake in any file
is reported in one go, each with file, line, column and the fix. Samples are in
`examples/cursuri/` and `examples/tidepool/`. This page is written from `schema/config.json` by
`cargo run -p dunlinrock-config --example pages`.

Beyond the tables, an error is:

* a reference to a service, region, domain or target that no file defines (drains of hosts name
  hosts of the platform's list, which are not in the configuration);
* an address that is not IP:PORT, or one that two targets share;
* a block of addresses that is none, that has bits beyond its prefix, or that stands there twice;
* a spread whose weights are all 0, or a weight for a region without targets of the service or
  without a link to the callers' region;
* two links between the same regions, or one from a region to itself;
* a written `queue_ms` above `deadline_ms`, `deadline_ms` above `longest_ms`, a cap's window above a day;
* `short_slots` that leave no slot of some domain to long work.

A warning leaves the configuration usable: a cap of the whole traffic, a method that is not
idempotent among the repeatable ones, work longer than the deadline, a service without targets, a
region without domains or with callers that no region serves.
";

fn main() -> anyhow::Result<()> {
    let check = env::args().any(|arg| arg == "--check");
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::create_dir_all(&docs)?;
    for (name, head, schema) in [
        ("SETTINGS.md", SETTINGS, schema::SETTINGS),
        ("EDGE.md", EDGE, schema::EDGE),
        ("CONFIG.md", CONFIG, schema::CONFIG),
    ] {
        let path = docs.join(name);
        let page = page(head, &serde_json::from_str(schema)?)?;
        if check {
            let found = fs::read_to_string(&path).unwrap_or_default();
            ensure!(
                found == page,
                "docs/{name} differs from the schema; run the example `pages`"
            );
        } else {
            fs::write(&path, page).with_context(|| format!("writing docs/{name}"))?;
        }
    }
    Ok(())
}

/// Returns a page: the head, a table for the file's root and one for each kind of entry.
fn page(head: &str, schema: &Value) -> anyhow::Result<String> {
    let mut out = head.to_owned();
    section(&mut out, "The file", schema)?;
    let root = schema["properties"].as_object().context("no keys")?;
    let mut todo: Vec<(String, &Value)> = Vec::new();
    for (name, rules) in root {
        push(&mut todo, name, rules);
    }
    let mut at = 0;
    while let Some((title, reference)) = todo.get(at).cloned() {
        at += 1;
        let name = reference.as_str().context("a reference")?;
        let definition = schema
            .pointer(name.trim_start_matches('#'))
            .with_context(|| format!("no {name}"))?;
        section(&mut out, &title, definition)?;
        let properties = definition["properties"].as_object();
        for (key, rules) in properties.into_iter().flatten() {
            push(&mut todo, &format!("{title}.{key}"), rules);
        }
    }
    Ok(out)
}

/// Queues the table that a key refers to for a section of its own.
fn push<'s>(todo: &mut Vec<(String, &'s Value)>, path: &str, rules: &'s Value) {
    if let Some(reference) = rules.get("$ref") {
        todo.push((path.to_owned(), reference));
    } else if let Some(reference) = rules["additionalProperties"].get("$ref") {
        todo.push((format!("{path}.NAME"), reference));
    }
}

fn section(out: &mut String, title: &str, rules: &Value) -> anyhow::Result<()> {
    let title = match title {
        "The file" => title.to_owned(),
        table => format!("`[{table}]`"),
    };
    writeln!(out, "\n## {title}\n")?;
    if let Some(text) = rules["description"].as_str() {
        writeln!(out, "{text}\n")?;
    }
    writeln!(out, "| key | type | default | range | meaning |")?;
    writeln!(out, "|---|---|---|---|---|")?;
    let required: Vec<&str> = rules["required"]
        .as_array()
        .map(|list| list.iter().filter_map(Value::as_str).collect())
        .unwrap_or_default();
    for (key, rules) in rules["properties"].as_object().into_iter().flatten() {
        let default = match rules.get("default") {
            _ if required.contains(&key.as_str()) => "required".to_owned(),
            Some(Value::Object(map)) if map.is_empty() => "none".to_owned(),
            Some(value) => format!("`{value}`"),
            None => "none".to_owned(),
        };
        let meaning = rules["description"].as_str().unwrap_or("see below");
        let (kind, range) = (kind(rules), range(rules));
        writeln!(
            out,
            "| `{key}` | {kind} | {default} | {range} | {meaning} |"
        )?;
    }
    Ok(())
}

fn kind(rules: &Value) -> &'static str {
    match rules["type"].as_str() {
        Some("string") if rules.get("enum").is_some() => "choice",
        Some("string") => "text",
        Some("integer") => "whole number",
        Some("number") => "number",
        Some("boolean") => "true or false",
        Some("array") => "list of texts",
        Some("object") => "tables by name",
        _ => "table",
    }
}

fn range(rules: &Value) -> String {
    if let Some(choices) = rules["enum"].as_array() {
        let choices = choices.iter().filter_map(Value::as_str);
        return choices
            .map(|choice| format!("`{choice}`"))
            .collect::<Vec<_>>()
            .join(", ");
    }
    match (rules.get("minimum"), rules.get("maximum")) {
        (Some(least), Some(most)) => format!("{least} to {most}"),
        (Some(least), None) => format!("at least {least}"),
        (None, Some(most)) => format!("at most {most}"),
        (None, None) => String::new(),
    }
}
