//! Settings of an edge host, checked; all mistakes are reported together.

use std::{collections::BTreeMap, net::SocketAddr, ops::RangeInclusive, sync::Arc, time::Duration};

use anyhow::bail;
use dunlinrock_decide::admit::direct::{
    ColdStartLimits, ConnectionLimits, RateLimitConfig, RetryLimits,
};
use dunlinrock_schema::edge::{EdgeBounds, EdgeSettings};

/// Limit on open files if the settings do not give one: the usual default of systems.
const DEFAULT_DESCRIPTORS: i64 = 4096;

/// Minimum limit on open files with which a host can serve: its listeners, timers and the store
/// take about 30.
const MIN_DESCRIPTORS: i64 = 64;

/// Memory limit of the process if the settings do not give one, in millions of bytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;

/// Minimum memory limit with which a host can serve: an idle one takes about 12 million bytes.
const MIN_MEMORY_MB: f64 = 16.0;

/// Minimum time in which a revoked key must stop working. The replica of a host in touch with the
/// store is up to a second old; with less than this the host would refuse callers all the time.
const MIN_REVOKE: Duration = Duration::from_secs(2);

/// Intervals at which loads may be shared. A shorter one costs hosts more than it tells them; with a
/// longer one, what is told has decayed before the next report.
const LOAD_PERIODS: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_millis(500);

/// Ramps that a target that has started may have. Hosts learn of a target up to some hundred
/// milliseconds after one another; in a shorter ramp each would see another part of it.
const START_RAMPS: RangeInclusive<Duration> = Duration::from_millis(500)..=Duration::from_secs(60);

/// Listen addresses of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Lookups.
    pub lookup: SocketAddr,
    /// Readiness check.
    pub ready: Option<SocketAddr>,
    /// Other hosts, and dumps.
    pub peers: SocketAddr,
    /// Metrics as text.
    pub metrics: Option<SocketAddr>,
}

/// Settings that a running host reloads when its file changes.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// Region of each failure domain.
    pub domains: BTreeMap<Arc<str>, Arc<str>>,
    /// Hosts that are asked for changes while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Grace period: the time between the request to stop and the end of the process.
    pub grace: Duration,
    /// Maximum time for which callers may cache a lookup.
    pub ttl: Duration,
    /// Retry budget, over all hosts.
    pub budget: RetryLimits,
    /// Limits on requests to cold targets, over all hosts; the rate comes from the configuration.
    pub cold: ColdStartLimits,
    /// Time in which a target that has started or recovered gets all its requests; `None` if at
    /// once.
    pub start_ramp: Option<Duration>,
    /// Time after which a revoked key works on no host, if that is required.
    pub revoke: Option<Duration>,
    /// Tolerances of workspaces' rate limits, over all hosts; the rates come from the
    /// configuration.
    pub limit: RateLimitConfig,
    /// Interval at which hosts share what they know of the load of targets; `None` if they do not.
    pub load_period: Option<Duration>,
}

/// Checked settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub name: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its listen addresses.
    pub listen: Listen,
    /// The store's address.
    pub store: SocketAddr,
    /// Whether no host of the deployment ran before.
    pub first_start: bool,
    /// Limits on connections, from the limit on open files.
    pub connections: ConnectionLimits,
    /// Processor limit of the process, in cores.
    pub processor: f64,
    /// Memory limit of the process, in bytes.
    pub memory: u64,
    /// Rate of the machine's link, in Mbit/s; 0 if unknown.
    pub link: u32,
    /// Settings that can be reloaded while the host runs.
    pub reloadable: ReloadableSettings,
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// All mistakes of the file, each with its key and how to correct it.
pub fn parse(text: &str) -> anyhow::Result<Settings> {
    let raw: EdgeSettings = toml::from_str(text)?;
    let mut check = Check::default();
    let listen = Listen {
        callers: check.address("listen.callers", &raw.listen.callers),
        lookup: check.address("listen.lookup", &raw.listen.lookup),
        ready: raw.listen.ready.map(|a| check.address("listen.ready", &a)),
        peers: check.address("listen.peers", &raw.listen.peers),
        metrics: raw
            .listen
            .metrics
            .map(|a| check.address("listen.metrics", &a)),
    };
    let store = check.address("store.address", &raw.store.address);
    let seeds = raw.seeds.iter();
    let seeds = seeds.map(|a| check.address("seeds", a)).collect();
    let bounds = raw.bounds.unwrap_or_default();
    let reloadable = ReloadableSettings {
        domains: raw.domains,
        seeds,
        grace: check.duration("bounds.grace", bounds.grace.as_deref(), "6s"),
        ttl: check.duration("bounds.lookup_ttl", bounds.lookup_ttl.as_deref(), "5s"),
        budget: budget(&bounds, &mut check),
        cold: ColdStartLimits {
            rate: 0.0,
            factor: check.number("bounds.cold_factor", bounds.cold_factor, 1.5),
            slack: check.number("bounds.cold_slack", bounds.cold_slack, 2.0),
        },
        start_ramp: start_ramp(&bounds, &mut check),
        revoke: revoke(&bounds, &mut check),
        limit: limit(&bounds, &mut check),
        load_period: load_period(&bounds, &mut check),
    };
    let limits = raw.limits.unwrap_or_default();
    let descriptors = check.descriptors(limits.descriptors);
    let memory = check.number("limits.memory_mb", limits.memory_mb, DEFAULT_MEMORY_MB);
    if memory < MIN_MEMORY_MB {
        check.report("limits.memory_mb", &memory.to_string(), "give 16 or more");
    }
    let processor = check.number("limits.processor", limits.processor, 1.0);
    if processor <= 0.0 {
        check.report(
            "limits.processor",
            &processor.to_string(),
            "give more than 0",
        );
    }
    let link = check.number("limits.link_mbps", limits.link_mbps, 0.0);
    let settings = Settings {
        link: link.ceil() as u32,
        processor,
        connections: ConnectionLimits::for_descriptors(descriptors),
        memory: (memory * 1e6) as u64,
        first_start: raw.first_start.unwrap_or_default(),
        name: raw.name,
        region: raw.region,
        domain: raw.domain,
        listen,
        store,
        reloadable,
    };
    if !settings.reloadable.domains.contains_key(&settings.domain) {
        check.report("domain", &settings.domain, "name one of `domains`");
    }
    check.finish()?;
    Ok(settings)
}

impl Settings {
    /// Returns the keys whose values differ in `other` and take effect only after a restart: the
    /// host's identity, and the addresses that it has bound.
    pub fn restart_changes(&self, other: &Settings) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != other.name),
            ("region", self.region != other.region),
            ("domain", self.domain != other.domain),
            ("listen", self.listen != other.listen),
            ("store", self.store != other.store),
            (
                "limits",
                (self.connections, self.memory, self.processor, self.link)
                    != (other.connections, other.memory, other.processor, other.link),
            ),
        ];
        let changed = changed.into_iter().filter(|(_, differs)| *differs);
        changed.map(|(key, _)| key).collect()
    }
}

fn budget(bounds: &EdgeBounds, check: &mut Check) -> RetryLimits {
    RetryLimits {
        ratio: check.number("bounds.retry_ratio", bounds.retry_ratio, 0.2),
        slack: check.number("bounds.retry_slack", bounds.retry_slack, 10.0),
        window: check.duration("bounds.retry_window", bounds.retry_window.as_deref(), "10s"),
    }
}

fn start_ramp(bounds: &EdgeBounds, check: &mut Check) -> Option<Duration> {
    let text = bounds.start_ramp.as_deref()?;
    let time = check.duration("bounds.start_ramp", Some(text), text);
    if !START_RAMPS.contains(&time) {
        check.report("bounds.start_ramp", text, "give 500ms to 60s");
    }
    Some(time)
}

fn revoke(bounds: &EdgeBounds, check: &mut Check) -> Option<Duration> {
    let text = bounds.revoke.as_deref()?;
    let time = check.duration("bounds.revoke", Some(text), text);
    if time < MIN_REVOKE {
        check.report("bounds.revoke", text, "give 2s or more");
    }
    Some(time)
}

fn limit(bounds: &EdgeBounds, check: &mut Check) -> RateLimitConfig {
    let rules = RateLimitConfig {
        window: check.duration("bounds.limit_window", bounds.limit_window.as_deref(), "5s"),
        over: check.number("bounds.limit_over", bounds.limit_over, 0.1),
        slack: check.number("bounds.limit_slack", bounds.limit_slack, 10.0),
    };
    if rules.window.is_zero() {
        let text = bounds.limit_window.as_deref().unwrap_or_default();
        check.report("bounds.limit_window", text, "give more than 0s");
    }
    rules
}

fn load_period(bounds: &EdgeBounds, check: &mut Check) -> Option<Duration> {
    let text = bounds.load_period.as_deref()?;
    let period = check.duration("bounds.load_period", Some(text), text);
    if !LOAD_PERIODS.contains(&period) {
        check.report("bounds.load_period", text, "give 100ms to 500ms");
    }
    Some(period)
}

/// Mistakes found in one file.
#[derive(Debug, Default)]
struct Check {
    mistakes: Vec<String>,
}

impl Check {
    fn report(&mut self, key: &str, value: &str, remedy: &str) {
        self.mistakes.push(format!("{key}: `{value}`: {remedy}"));
    }

    fn address(&mut self, key: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.report(key, text, "give IP:PORT, as in 127.0.0.1:17101");
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    fn duration(&mut self, key: &str, text: Option<&str>, default: &str) -> Duration {
        let text = text.unwrap_or(default);
        parse_duration(text).unwrap_or_else(|| {
            self.report(key, text, "give a number and `ms` or `s`, as in 1500ms");
            Duration::ZERO
        })
    }

    fn number(&mut self, key: &str, value: Option<f64>, default: f64) -> f64 {
        let value = value.unwrap_or(default);
        if !(value.is_finite() && value >= 0.0) {
            self.report(key, &value.to_string(), "give a number of 0 or more");
        }
        value
    }

    fn descriptors(&mut self, value: Option<i64>) -> u32 {
        let value = value.unwrap_or(DEFAULT_DESCRIPTORS);
        if value < MIN_DESCRIPTORS {
            self.report("limits.descriptors", &value.to_string(), "give 64 or more");
        }
        u32::try_from(value).unwrap_or(u32::MAX)
    }

    fn finish(self) -> anyhow::Result<()> {
        if self.mistakes.is_empty() {
            return Ok(());
        }
        bail!("{}", self.mistakes.join("\n"))
    }
}

/// Parses a duration: a number followed by `ms` or `s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.trim().parse::<f64>().ok()? * unit;
    Duration::try_from_secs_f64(seconds).ok()
}
