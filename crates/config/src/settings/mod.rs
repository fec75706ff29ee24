//! Reading and validation of a host's settings.

use std::{fs, net::SocketAddr, path::Path};

use dunlinrock_schema::settings::{Settings, TimingSettings};

use crate::{Findings, Location, check::Document, schema, source::Locations};

/// Reads and validates the settings file at `path`.
///
/// # Errors
///
/// Returns all findings. A file that cannot be read is a finding.
pub fn load(path: &Path) -> Result<Settings, Findings> {
    let name = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => check(&name, &text),
        Err(error) => {
            let mut findings = Findings::default();
            findings.error(Location::file(&name), format!("cannot be read: {error}"));
            Err(findings)
        }
    }
}

/// Validates the text of a settings file named `name`.
///
/// # Errors
///
/// Returns all findings.
pub fn check(name: &str, text: &str) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    let mut document = Document::read(name, text, schema::SETTINGS, &mut findings);
    let settings: Option<Settings> = document.typed(&mut findings);
    if let Some(settings) = &settings {
        addresses(settings, &document.locations, &mut findings);
        names(settings, &document.locations, &mut findings);
        timing(settings, &document.locations, &mut findings);
    }
    match settings {
        Some(settings) if !findings.has_errors() => Ok(settings),
        _ => Err(findings),
    }
}

fn names(settings: &Settings, locations: &Locations, findings: &mut Findings) {
    let names = [
        ("name", &settings.name),
        ("region", &settings.region),
        ("domain", &settings.domain),
    ];
    for (key, name) in names {
        if let Some(fault) = name_fault(name) {
            findings.error(locations.value(&[key]), format!("`{key}` {fault}"));
        }
    }
}

/// Checks that the addresses differ. The schema validation checks their syntax, so that an invalid
/// address is reported together with the other findings.
fn addresses(settings: &Settings, locations: &Locations, findings: &mut Findings) {
    if settings.callers == settings.peers {
        findings.error(
            locations.value(&["peers"]),
            "`peers` has the same address as `callers`; give it another port",
        );
    }
}

fn timing(settings: &Settings, locations: &Locations, findings: &mut Findings) {
    let Some(timing) = &settings.timing else {
        return;
    };
    for (key, value, bound, other) in ordered_pairs(timing) {
        if value >= bound {
            findings.error(
                locations.value(&["timing", key]),
                format!("`{key}` is {value}; make it less than `{other}`, which is {bound}"),
            );
        }
    }
    // Two heartbeats must fit into `suspect_ms`, or one lost heartbeat makes a healthy peer suspect.
    if timing.heartbeat_ms.saturating_mul(2) > timing.suspect_ms
        && timing.heartbeat_ms < timing.suspect_ms
    {
        findings.error(
            locations.value(&["timing", "suspect_ms"]),
            format!(
                "`suspect_ms` is {}; make it at least twice `heartbeat_ms`, which is {}, or one \
                 lost heartbeat makes a peer suspect",
                timing.suspect_ms, timing.heartbeat_ms
            ),
        );
    }
}

/// Returns pairs of settings in which the first must be less than the second.
fn ordered_pairs(timing: &TimingSettings) -> [(&'static str, u64, u64, &'static str); 3] {
    [
        (
            "heartbeat_ms",
            timing.heartbeat_ms,
            timing.suspect_ms,
            "suspect_ms",
        ),
        ("suspect_ms", timing.suspect_ms, timing.gone_ms, "gone_ms"),
        (
            "claim_ms",
            timing.claim_ms.get(),
            timing.epoch_ms,
            "epoch_ms",
        ),
    ]
}

/// Parses an address that a process can listen on or connect to.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, String> {
    let Ok(address) = text.parse::<SocketAddr>() else {
        return Err(format!(
            "`{text}` is not IP:PORT; write an address like `127.0.0.1:17000` or `[::1]:17000`, \
             names are not looked up"
        ));
    };
    if address.port() == 0 {
        return Err(format!(
            "`{text}` has port 0; give the port that others will use"
        ));
    }
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(format!(
            "`{text}` cannot be reached by others; give one host's own address"
        ));
    }
    Ok(address)
}

/// Maximum length of a name in bytes.
const MAX_NAME_LEN: usize = 64;

/// Returns what is wrong with a name, or `None` if it is valid. Names are used in paths, headers and
/// store keys, where other characters would have to be escaped.
pub(crate) fn name_fault(name: &str) -> Option<String> {
    if name.is_empty() {
        return Some("is empty; give a name".to_owned());
    }
    if name.len() > MAX_NAME_LEN {
        return Some(format!(
            "is longer than {MAX_NAME_LEN} characters; shorten it"
        ));
    }
    let bad = name
        .chars()
        .find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '-' | '_')));
    bad.map(|c| format!("contains {c:?}; use ASCII letters, digits, `-` and `_`"))
}
