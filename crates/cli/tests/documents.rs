//! Tests that the documentation matches the program: names in pages exist, and commands, events and
//! metrics are documented.

mod support;

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use dunlinrock_edge::trace::Outcome;
use dunlinrock_node::metrics::COUNTERS;
use support::program::{program, run};

/// Name of the program with a space, as it precedes a command in a page.
const NAME: &str = "dunlinrock ";

/// Prefix of a call of the program through cargo in a page.
const THROUGH_CARGO: &str = "cargo run --release -- ";

/// Directories whose files are named in pages by their path from the root.
const FOLDERS: [&str; 6] = [
    ".ci/",
    "crates/",
    "docs/",
    "examples/",
    "schema/",
    "scripts/",
];

/// A page of the documentation.
struct Page {
    path: PathBuf,
    text: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns every file under `dir` with this ending, except in `target` and hidden directories.
fn files(dir: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            found.extend(files(&path, ending));
        } else if path.is_file() && name.ends_with(ending) {
            found.push(path);
        }
    }
    found.sort();
    found
}

fn page(path: PathBuf) -> Page {
    let text = fs::read_to_string(&path).unwrap();
    Page { path, text }
}

fn pages() -> Vec<Page> {
    let pages: Vec<Page> = files(&root(), ".md").into_iter().map(page).collect();
    assert!(pages.len() > 20, "only {} pages were found", pages.len());
    pages
}

/// Returns whether a page is for users: two pages at the root, and those directly in `docs/` and
/// `docs/operators`.
fn is_for_users(page: &Page) -> bool {
    let path = page.path.strip_prefix(root()).unwrap();
    let folder = path.parent().unwrap();
    path == Path::new("README.md")
        || path == Path::new("GUIDE.md")
        || folder == Path::new("docs")
        || folder == Path::new("docs/operators")
}

/// Returns the code of a page: indented lines, with continued lines joined, and text in backticks.
fn code(text: &str) -> Vec<String> {
    let joined = text.replace("\\\n", " ");
    let blocks = joined.lines().filter(|line| line.starts_with("    "));
    let mut found: Vec<String> = blocks.map(|line| line.trim().to_owned()).collect();
    let prose: Vec<&str> = joined.lines().filter(|l| !l.starts_with("    ")).collect();
    let prose = prose.join(" ");
    found.extend(prose.split('`').skip(1).step_by(2).map(str::to_owned));
    found
}

/// Returns the arguments of each call of the program in a page.
fn calls(text: &str) -> Vec<Vec<String>> {
    let mut found = Vec::new();
    for line in code(text) {
        let line = line.replace(THROUGH_CARGO, NAME);
        for part in line.split(['|', ';', '&', '(', ')', '#']) {
            let Some(args) = part.trim().strip_prefix(NAME) else {
                continue;
            };
            let words = args.split_whitespace().map(str::to_owned);
            found.push(words.collect::<Vec<_>>());
        }
    }
    found
}

/// Returns the commands listed in a help text. They are in lower case, while flags start with `-`
/// and arguments are in upper case.
fn commands(help: &str) -> BTreeSet<String> {
    let items = help.lines().filter_map(|line| line.strip_prefix("    "));
    items
        .filter(|item| item.starts_with(|first: char| first.is_ascii_lowercase()))
        .filter_map(|item| item.split_whitespace().next())
        .map(str::to_owned)
        .collect()
}

/// Returns the flags listed in a help text.
fn flags(help: &str) -> BTreeSet<String> {
    let lines = help.lines().filter(|line| line.starts_with("    "));
    lines
        .filter(|line| line.trim_start().starts_with('-'))
        .flat_map(|line| line.split([' ', ',', '=']))
        .filter(|word| word.starts_with('-'))
        .map(str::to_owned)
        .collect()
}

/// Returns the help of a command, without `USER` in the environment, whose value it would show.
fn help(command: &[&str]) -> String {
    let args = [command, &["--help"]].concat();
    let output = program(&args).env_remove("USER").output().unwrap();
    assert!(output.status.success(), "{args:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Returns the error in a call that a page shows, if any.
fn fault(call: &[String], known: &BTreeSet<String>) -> Option<String> {
    let first = call.first()?;
    if first.starts_with("--") {
        let ended = run(&[first.as_str()]);
        return (ended.code != 0).then(|| format!("{first} ends with code {}", ended.code));
    }
    if !known.contains(first) {
        return Some(format!("there is no command {first}"));
    }
    let nested = commands(&help(&[first]));
    let second = call.get(1).filter(|_| !nested.is_empty());
    if let Some(second) = second
        && !nested.contains(second)
    {
        return Some(format!("there is no command {first} {second}"));
    }
    let mut path = vec![first.as_str()];
    path.extend(second.map(String::as_str));
    let flags = flags(&help(&path));
    let named = call
        .iter()
        .filter(|word| word.starts_with('-') && word.len() > 1);
    let unknown: Vec<&String> = named
        .filter(|word| !flags.contains(word.split('=').next().unwrap_or_default()))
        .collect();
    (!unknown.is_empty()).then(|| format!("{path:?} does not take {unknown:?}"))
}

#[test]
fn every_command_and_flag_in_a_page_exists() {
    let known = commands(&run(&["help"]).out);
    let mut seen = 0;
    let mut faults = Vec::new();
    for page in pages() {
        for call in calls(&page.text) {
            seen += 1;
            if let Some(fault) = fault(&call, &known) {
                faults.push(format!(
                    "{}: {fault}: {}",
                    page.path.display(),
                    call.join(" ")
                ));
            }
        }
    }
    assert!(seen > 40, "only {seen} calls were found");
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn every_flag_in_the_prose_for_users_exists() {
    let mut known = BTreeSet::new();
    for command in commands(&run(&["help"]).out) {
        known.extend(flags(&help(&[&command])));
        for nested in commands(&help(&[&command])) {
            known.extend(flags(&help(&[&command, &nested])));
        }
    }
    let mut faults = Vec::new();
    for page in pages().iter().filter(|page| is_for_users(page)) {
        for code in code(&page.text) {
            let flag = code.split([' ', '=']).next().unwrap_or_default();
            if flag.starts_with("--") && !flag.contains("bpaf") && !known.contains(flag) {
                faults.push(format!("{}: {flag}", page.path.display()));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn the_guide_names_every_command() {
    let guide = page(root().join("GUIDE.md"));
    let named: BTreeSet<String> = calls(&guide.text)
        .into_iter()
        .filter_map(|call| call.into_iter().next())
        .collect();
    let known = commands(&run(&["help"]).out);
    let missing: Vec<&String> = known.difference(&named).collect();
    assert!(!known.is_empty() && missing.is_empty(), "{missing:?}");
}

/// `docs/COMMANDS.md` contains the help of every command, and so every flag. `UPDATE=1` regenerates
/// it.
#[test]
fn the_page_of_commands_matches_the_help() {
    let mut text = String::from(
        "# Commands\n\nThe program's own help. Written by \
         `UPDATE=1 cargo test -p dunlinrock --test documents`.\n",
    );
    let mut add = |path: &[&str]| {
        text.push_str(&format!("\n## dunlinrock {}\n\n```text\n", path.join(" ")));
        text.push_str(help(path).trim_end());
        text.push_str("\n```\n");
    };
    for command in commands(&run(&["help"]).out) {
        add(&[&command]);
        for nested in commands(&help(&[&command])) {
            add(&[&command, &nested]);
        }
    }
    let path = root().join("docs/COMMANDS.md");
    if std::env::var_os("UPDATE").is_some() {
        fs::write(&path, &text).unwrap();
    }
    assert_eq!(fs::read_to_string(&path).unwrap(), text);
}

/// Returns the string literals that directly follow one of `words` in the sources of a directory.
fn written_behind(folder: &str, words: &[&str]) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for path in files(&root().join(folder), ".rs") {
        let text = fs::read_to_string(&path).unwrap();
        for word in words {
            for rest in text.split(word).skip(1) {
                let name = rest.trim_start().strip_prefix('"');
                names.extend(
                    name.and_then(|name| name.split('"').next())
                        .map(str::to_owned),
                );
            }
        }
    }
    assert!(!names.is_empty(), "nothing behind {words:?} in {folder}");
    names
}

/// Returns the names of timers and gauges in the node's sources.
fn times_and_gauges() -> BTreeSet<String> {
    written_behind("crates/node/src", &["metrics.time(", "metrics.gauge("])
}

/// Returns the names of an edge host's metrics.
fn edge_metrics() -> BTreeSet<String> {
    let calls = [
        "meters.time(",
        "meters.count(",
        "meters.add(",
        "meters.gauge(",
    ];
    let mut names = written_behind("crates/edge/src", &calls);
    // This name is composed at run time; the page writes it with a placeholder.
    names.insert("workspace.NAME.requests".to_owned());
    names.extend(Outcome::ALL.iter().map(|outcome| outcome.name().to_owned()));
    names
        .into_iter()
        .map(|name| format!("edge.{name}"))
        .collect()
}

/// Returns the first cells of a page's table rows, if they are in backticks.
fn rows(page: &Page) -> BTreeSet<String> {
    let rows = page
        .text
        .lines()
        .filter_map(|line| line.strip_prefix("| `"));
    let cells = rows.filter_map(|row| row.split('`').next());
    cells.map(str::to_owned).collect()
}

#[test]
fn every_event_of_an_edge_host_has_a_row_and_every_row_is_an_event() {
    let mut known = written_behind("crates/edge/src", &["event = "]);
    known.extend(written_behind("platform/src", &["event = "]));
    known.extend(written_behind(
        "crates/cli/src",
        &["event = ", "\"event\": "],
    ));
    known.extend(Outcome::ALL.iter().map(|outcome| outcome.name().to_owned()));
    // The calls of `tell` name theirs as an argument.
    known.extend(["evacuated", "hosts", "quarantine", "targets"].map(str::to_owned));
    assert_eq!(rows(&page(root().join("docs/LOGS.md"))), known);
}

#[test]
fn every_metric_has_a_row_and_every_row_is_a_metric() {
    let page = page(root().join("docs/METRICS.md"));
    let documented = rows(&page);
    let mut known = times_and_gauges();
    assert!(!known.is_empty(), "no timer was found in the sources");
    known.extend(COUNTERS.iter().map(|count| count.name().to_owned()));
    known.extend(edge_metrics());
    assert_eq!(documented, known);
}

#[test]
fn files_that_pages_link_to_exist() {
    let mut missing = Vec::new();
    for page in pages() {
        for rest in page.text.split("](").skip(1) {
            let link = rest.split([')', '#']).next().unwrap_or_default();
            let outside = link.is_empty() || link.contains("://");
            if !outside && !page.path.parent().unwrap().join(link).exists() {
                missing.push(format!("{}: {link}", page.path.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn files_that_pages_name_exist() {
    let mut missing = Vec::new();
    for page in pages() {
        for name in code(&page.text) {
            let whole = !name.contains([' ', '*', '{', '<', ':']);
            let ours = FOLDERS.iter().any(|folder| name.starts_with(folder));
            if whole && ours && !name.contains("NAME") && !root().join(&name).exists() {
                missing.push(format!("{}: {name}", page.path.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}
