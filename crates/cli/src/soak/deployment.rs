//! The deployment of a soak: hosts as processes, fakes of the platform, and the proxies between
//! them.

use std::{
    collections::BTreeSet,
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use anyhow::Context;
use dunlinrock_edge::model;
use dunlinrock_platform::standin::{
    ConfigDraft, RunLog, Store, StoreCopy, StoreFault, Target, TargetOptions,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use tokio::sync::watch;

use super::{
    keys::{Keys, LIMIT_SLACK, REVOKE_DELAY, SharedKeys},
    plan::TARGETS,
    proxy::{Mode, Proxy},
    retries::bound_settings,
};
use crate::signals::is_in_mask;

/// Failure domains; hosts and targets are assigned to them round robin.
pub(super) const DOMAINS: [&str; 3] = ["north-1", "south-1", "west-1"];

/// Host name of the routes.
pub(super) const NAME: &str = "soak";

/// Name of the only service.
const SERVICE: &str = "work";

/// Timeout of the routes. Each configuration adds a few milliseconds, so that versions differ.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Run time of a request at a target.
const WORK: Duration = Duration::from_millis(20);

/// Requests that a target runs concurrently.
const SLOTS: u32 = 8;

/// Last octet of the first host's address. Each host has its own address, so that its ports stay
/// the same over restarts. The middle octets follow from this process's id, so that several soaks
/// can run at the same time.
const FIRST_IP: u8 = 20;

/// Ports for callers, lookups, readiness, peers and metrics. They are below the ephemeral range: an
/// outgoing connection could otherwise occupy a port while its host is down.
const PORTS: [u16; 5] = [17101, 17102, 17103, 17104, 17105];

/// How the host processes are run.
#[derive(Clone, Debug)]
pub(super) struct HostOptions {
    pub(super) program: PathBuf,
    /// Lines of the section `bounds` of their settings.
    pub(super) bounds: String,
    /// Whether their settings say that no host ran before.
    pub(super) first_start: bool,
    /// Whether the configuration has workspaces.
    pub(super) has_keys: bool,
}

impl HostOptions {
    /// Returns the options of a soak: this program, and all limits.
    pub(super) fn open() -> anyhow::Result<HostOptions> {
        Ok(HostOptions {
            program: std::env::current_exe().context("this program's path")?,
            bounds: format!(
                "grace = \"6s\"\n{}revoke = \"{}s\"\nlimit_slack = {LIMIT_SLACK}\n",
                bound_settings(),
                REVOKE_DELAY.as_secs()
            ),
            first_start: false,
            has_keys: true,
        })
    }
}

/// A host's process and the proxies around it.
#[derive(Debug)]
pub(super) struct HostProcess {
    pub(super) name: String,
    pub(super) callers: Proxy,
    pub(super) store: Proxy,
    ip: IpAddr,
    child: Option<Child>,
    dir: PathBuf,
    options: HostOptions,
    /// Number of starts, which also names the log file.
    pub(super) start_count: u32,
}

/// A target and the proxy in front of it, whose address is announced.
#[derive(Debug)]
pub(super) struct ProxiedTarget {
    pub(super) target: Target,
    pub(super) proxy: Proxy,
    pub(super) start_count: u32,
    is_leaving: bool,
}

/// A running deployment. Its processes are killed on drop.
#[derive(Debug)]
pub(super) struct Deployment {
    pub(super) store: Store,
    pub(super) ledger: RunLog,
    pub(super) hosts: Vec<HostProcess>,
    pub(super) targets: Vec<ProxiedTarget>,
    pub(super) version: u64,
    /// Number of active faults that make the store unavailable to all hosts.
    pub(super) store_outages: usize,
    pub(super) keys: SharedKeys,
    options: HostOptions,
    /// Evacuated failure domains.
    evacuated: BTreeSet<&'static str>,
    /// Copy that the store returns from next.
    copy: Option<StoreCopy>,
}

impl Deployment {
    /// Starts the fakes and the hosts.
    pub(super) async fn spawn(
        dir: &Path,
        hosts: usize,
        options: HostOptions,
    ) -> anyhow::Result<Deployment> {
        let mut deployment = Deployment::open(dir, hosts, options).await?;
        deployment
            .hosts
            .iter_mut()
            .try_for_each(HostProcess::start)?;
        Ok(deployment)
    }

    /// Starts the fakes; the hosts are still to be started.
    pub(super) async fn open(
        dir: &Path,
        hosts: usize,
        options: HostOptions,
    ) -> anyhow::Result<Deployment> {
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let store = Store::bind(SocketAddr::new(local, 0)).context("the store")?;
        let mut deployment = Deployment {
            store,
            ledger: RunLog::default(),
            hosts: Vec::new(),
            targets: Vec::new(),
            version: 0,
            store_outages: 0,
            keys: SharedKeys::default(),
            options,
            evacuated: BTreeSet::new(),
            copy: None,
        };
        for n in 0..TARGETS {
            deployment.add_target(n).await?;
        }
        deployment.apply_next_config();
        for n in 0..hosts {
            let (store, options) = (deployment.store.address(), deployment.options.clone());
            let host = HostProcess::open(n, dir, store, options).await?;
            deployment.hosts.push(host);
        }
        Ok(deployment)
    }

    async fn add_target(&mut self, n: usize) -> anyhow::Result<()> {
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let rules = rules(n, 1);
        let target = Target::bind(SocketAddr::new(local, 0), rules, self.ledger.clone());
        let target = target.context("a target")?;
        let proxy = Proxy::bind(local, target.address()).await?;
        tokio::spawn(take_down(target.crashes(), proxy.switch()));
        self.targets.push(ProxiedTarget {
            target,
            proxy,
            start_count: 1,
            is_leaving: false,
        });
        self.announce(n);
        Ok(())
    }

    /// Writes a target's entry to the store.
    fn announce(&self, n: usize) {
        let proxied = &self.targets[n];
        self.store.write_target(&model::Target {
            id: proxied.target.options().id.into(),
            service: SERVICE.into(),
            address: proxied.proxy.address,
            domain: DOMAINS[n % DOMAINS.len()].into(),
            slots: SLOTS,
            leaving: proxied.is_leaving,
            cold: Duration::ZERO,
            born: 0,
        });
    }

    /// Makes a target announce that it is leaving.
    pub(super) fn set_leaving(&mut self, n: usize) {
        self.targets[n].is_leaving = true;
        self.announce(n);
    }

    /// Evacuates a failure domain, or ends its evacuation.
    pub(super) fn evacuate(&mut self, domain: &'static str, is_evacuated: bool) {
        match is_evacuated {
            true => self.evacuated.insert(domain),
            false => self.evacuated.remove(domain),
        };
        self.store.evacuate(domain, is_evacuated);
    }

    /// Copies the store's content, which it returns from later.
    pub(super) fn copy_store(&mut self) {
        self.copy = Some(self.store.copy());
    }

    /// Makes the store return from the copy: it loses all writes since.
    pub(super) fn return_store(&mut self) {
        if let Some(copy) = self.copy.take() {
            self.store.return_from(&copy, |_| {});
        }
    }

    /// Writes again what the operator and the targets have written, and what they have removed.
    pub(super) fn write_again(&mut self) {
        self.write_config();
        for (n, proxied) in self.targets.iter().enumerate() {
            for start in 1..proxied.start_count {
                self.store.remove_target(&rules(n, start).id);
            }
            self.announce(n);
        }
        for domain in DOMAINS {
            self.store.evacuate(domain, self.evacuated.contains(domain));
        }
    }

    /// Replaces a target by its next incarnation at the same address.
    pub(super) fn replace_target(&mut self, n: usize) {
        let old = self.targets[n].target.options().id;
        self.store.remove_target(&old);
        let proxied = &mut self.targets[n];
        proxied.start_count += 1;
        proxied.is_leaving = false;
        let next = rules(n, proxied.start_count);
        proxied.target.set(|rules| *rules = next);
        self.announce(n);
    }

    /// Makes the store unavailable to all hosts.
    pub(super) fn store_down(&mut self, down: StoreFault) {
        self.store_outages += 1;
        self.store.set_fault(Some(down));
    }

    /// Ends one store outage; the store is available again after the last one.
    pub(super) fn store_up(&mut self) {
        self.store_outages -= 1;
        if self.store_outages == 0 {
            self.store.set_fault(None);
        }
    }

    /// Writes the next version of the configuration.
    pub(super) fn apply_next_config(&mut self) {
        self.version += 3;
        self.write_config();
        self.keys.mark_active(self.version);
    }

    fn write_config(&self) {
        let workspaces = match self.options.has_keys {
            true => &Keys::workspaces(self.version)[..],
            false => &[],
        };
        self.store.write_config(&ConfigDraft {
            version: self.version,
            host: NAME,
            service: SERVICE,
            routes: &[("/read/", true), ("/once/", false)],
            timeout: TIMEOUT + Duration::from_millis(self.version),
            workspaces,
        });
    }
}

/// Takes a target's address down when a request crashes it. The runner starts the target again.
async fn take_down(mut crashes: watch::Receiver<u32>, proxy: watch::Sender<Mode>) {
    while crashes.changed().await.is_ok() {
        proxy.send_replace(Mode::Down);
    }
}

fn rules(n: usize, start: u32) -> TargetOptions {
    TargetOptions {
        id: format!("t{n}-{start}"),
        slots: SLOTS,
        work: WORK,
        is_down: false,
        drops_responses: false,
        sheds_all: false,
        is_silent: false,
        rate: None,
        says_leaving: false,
        backoff: None,
    }
}

/// Resets a target's options to those of a healthy target.
pub(super) fn clear_faults(rules: &mut TargetOptions) {
    rules.work = WORK;
    rules.is_down = false;
    rules.drops_responses = false;
    rules.sheds_all = false;
    rules.is_silent = false;
}

impl HostProcess {
    async fn open(
        n: usize,
        dir: &Path,
        store: SocketAddr,
        options: HostOptions,
    ) -> anyhow::Result<HostProcess> {
        let last = FIRST_IP + u8::try_from(n).context("at most 200 hosts")?;
        let [.., high, low] = std::process::id().to_be_bytes();
        // 127.0.x.x is left to other programs on the machine.
        let ip = IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, last));
        let to = SocketAddr::new(ip, PORTS[0]);
        Ok(HostProcess {
            name: format!("h{n}"),
            callers: Proxy::bind(IpAddr::V4(Ipv4Addr::LOCALHOST), to).await?,
            store: Proxy::bind(IpAddr::V4(Ipv4Addr::LOCALHOST), store).await?,
            ip,
            child: None,
            dir: dir.to_owned(),
            options,
            start_count: 0,
        })
    }

    /// Starts the process; each start writes its own log file.
    pub(super) fn start(&mut self) -> anyhow::Result<()> {
        self.start_count += 1;
        let settings = self.dir.join(format!("{}.toml", self.name));
        std::fs::write(&settings, self.settings()).context("a host's settings")?;
        let log = self
            .dir
            .join(format!("{}-{}.log", self.name, self.start_count));
        let out = File::create(&log).with_context(|| format!("making {}", log.display()))?;
        let child = Command::new(&self.options.program)
            .arg("edge")
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stderr(out.try_clone().context("a host's log")?)
            .stdout(out)
            .spawn()
            .context("starting a host")?;
        self.child = Some(child);
        Ok(())
    }

    fn settings(&self) -> String {
        let number = self.name[1..].parse::<usize>().unwrap_or_default();
        let domain = DOMAINS[number % DOMAINS.len()];
        let region = domain.split('-').next().unwrap_or_default();
        let listen = ["callers", "lookup", "ready", "peers", "metrics"];
        let listen = listen.iter().zip(PORTS);
        let listen: Vec<_> = listen
            .map(|(name, port)| format!("{name} = \"{}:{port}\"", self.ip))
            .collect();
        let domains = DOMAINS.map(|d| format!("{d} = \"{}\"", d.split('-').next().unwrap_or("")));
        format!(
            "name = \"{}\"\nregion = \"{region}\"\ndomain = \"{domain}\"\nfirst_start = {}\n\
             [domains]\n{}\n[listen]\n{}\n[store]\naddress = \"{}\"\n[bounds]\n{}",
            self.name,
            self.options.first_start,
            domains.join("\n"),
            listen.join("\n"),
            self.store.address,
            self.options.bounds,
        )
    }

    /// Starts the process again if it has exited.
    pub(super) fn ensure_running(&mut self) -> anyhow::Result<()> {
        match self.child {
            Some(_) => Ok(()),
            None => self.start(),
        }
    }

    /// Sends a signal to the process if it is running.
    pub(super) fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let id = i32::try_from(child.id()).context("a process id")?;
        kill(Pid::from_raw(id), signal).with_context(|| format!("signalling {}", self.name))
    }

    /// Returns whether the process blocks or handles a signal. Until the program's first
    /// instructions have run, a signal ends any process by the system's default.
    pub(super) fn is_prepared(&self, signal: Signal) -> bool {
        let status = self.id().map(|id| format!("/proc/{id}/status"));
        // A process that has just exited has no entries in /proc.
        let text = status.and_then(|path| std::fs::read_to_string(path).ok());
        text.is_some_and(|text| {
            let masks = ["SigBlk:", "SigCgt:"];
            masks.iter().any(|mask| is_in_mask(&text, mask, signal))
        })
    }

    /// Returns the exit code once the process has exited.
    pub(super) fn try_wait(&mut self) -> anyhow::Result<Option<Option<i32>>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait().context("a host's exit status")?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status.map(|status| status.code()))
    }

    /// Returns the process id while the process is running.
    pub(super) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the address for callers that no proxy is in front of.
    pub(super) fn direct(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORTS[0])
    }

    /// Returns the address that serves the dump.
    pub(super) fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORTS[3])
    }

    /// Reads the host's state; `None` if it does not respond.
    pub(super) async fn dump(&self) -> Option<Value> {
        let client = dunlinrock_node::wire::Client::open(1 << 20);
        let uri = format!("http://{}/peer/v1/dump", self.peers());
        let request = http::Request::get(uri)
            .body(http_body_util::Full::default())
            .ok()?;
        let answer = client.call(request, Duration::from_secs(1)).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Errors are ignored: the process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
