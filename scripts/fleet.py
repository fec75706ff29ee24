"""Runs a deployment on the loopback interface, with callers that check their responses."""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BINARY = os.environ.get("DUNLINROCK", str(ROOT / "target/release/dunlinrock"))
DOMAINS = ["bucharest-a", "bucharest-b", "cluj-a", "cluj-b", "iasi-a", "iasi-b"]
# Below the ephemeral port range, from which the system picks ports of outgoing connections.
PORTS = range(12_000, 32_000)
START_TIME = 15.0


class DrillError(Exception):
    """A step could not be carried out, or a guarantee was violated."""


def free_ports():
    """Yields unused ports, each once."""
    start = random.randrange(len(PORTS))
    for n in range(len(PORTS)):
        port = PORTS[(start + n) % len(PORTS)]
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port


def http_call(port, method, path, body=b"", headers=None, timeout=3.0):
    """Sends a request on a new connection; returns status, content type and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body or None, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.getheader("content-type", ""), response.read()
    finally:
        connection.close()


def get_json(port, path, timeout=3.0):
    status, _, body = http_call(port, "GET", path, timeout=timeout)
    if status != 200:
        raise OSError(f"{path}: status {status}")
    return json.loads(body)


def wait_for(description, condition, timeout_s):
    """Waits until `condition` holds; returns the elapsed time in seconds."""
    start = time.monotonic()
    while time.monotonic() - start < timeout_s:
        try:
            if condition():
                return time.monotonic() - start
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.05)
    raise DrillError(f"{description}: not within {timeout_s:.0f} s")


class Host:
    """A process of `dunlinrock serve`."""

    def __init__(self, fleet, name, domain):
        self.fleet, self.name, self.domain = fleet, name, domain
        self.region = domain.rsplit("-", 1)[0]
        self.callers, self.peers = next(fleet.ports), next(fleet.ports)
        settings = fleet.dir / f"{name}.toml"
        settings.write_text(
            f'name = "{name}"\nregion = "{self.region}"\ndomain = "{domain}"\n'
            f'callers = "127.0.0.1:{self.callers}"\npeers = "127.0.0.1:{self.peers}"\n'
            f'[store]\naddress = "127.0.0.1:{fleet.store}"\n'
            f'[list]\naddress = "127.0.0.1:{fleet.list}"\npoll_ms = 500\n'
            '[log]\nlevel = "warn"\n'
            "[timing]\nanswer_ttl_ms = 800\ndrain_ms = 10000\n"
        )
        self.process = fleet.spawn(name, "serve", "--settings", str(settings))
        self.revisions = []

    def dump(self):
        return get_json(self.peers, "/peer/v1/dump")

    def is_ready(self):
        return http_call(self.callers, "GET", "/v1/ready")[0] == 200


class Fleet:
    """Stand-ins and hosts. Stops only processes that it started, by process id."""

    def __init__(self):
        self.dir = Path(tempfile.mkdtemp(prefix="dunlinrock-chaos-"))
        self.logs = []
        self.ports = free_ports()
        self.processes = []
        self.hosts = []
        self.retired = []
        self.count = 0
        self.store, self.list = next(self.ports), next(self.ports)
        self.targets = {}
        self.config = self.write_config()
        self.spawn("store", "fake", "store", "--bind", f"127.0.0.1:{self.store}")
        self.spawn("list", "fake", "list", "--bind", f"127.0.0.1:{self.list}")
        self.spawn("targets", "fake", "targets", str(self.config))
        wait_for("the stand-ins start", lambda: get_json(self.store, "/fake/counts"), START_TIME)

    def write_config(self):
        config = self.dir / "config"
        shutil.copytree(ROOT / "examples/cursuri", config)
        text = (config / "targets.toml").read_text()

        def assign_port(match):
            self.targets[match[1]] = port = next(self.ports)
            return f'{match[1]} = {match[2]}address = "127.0.0.1:{port}"'

        pattern = r'(?m)^([\w-]+) = ({.*?)address = "[\d.]+:\d+"'
        (config / "targets.toml").write_text(re.sub(pattern, assign_port, text))
        return config

    def spawn(self, name, *args):
        log = open(self.dir / f"{name}.log", "ab")
        self.logs.append(log)
        process = subprocess.Popen([BINARY, *args], stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start(self, domain):
        """Starts a host, without waiting until it is ready."""
        self.count += 1
        host = Host(self, f"h{self.count:02}-{domain}", domain)
        self.hosts.append(host)
        return host

    def live(self):
        return [h for h in self.hosts if h.process.poll() is None]

    def remove_host(self, host):
        """Moves a host whose process has ended to the retired hosts."""
        self.hosts.remove(host)
        self.retired.append(host)

    def apply(self, directory, ident, *args):
        """Applies a directory; returns the exit code and the output."""
        command = [BINARY, "apply", "--store", f"127.0.0.1:{self.store}", "--id", ident]
        command += ["--by", "chaos", *args, str(directory)]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        return completed.returncode, (completed.stdout + completed.stderr).strip()

    def history(self):
        """Returns the id and revision of all applies, newest first."""
        command = [BINARY, "history", "--store", f"127.0.0.1:{self.store}", "-n", "1000"]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        if completed.returncode != 0:
            raise DrillError(
                f"history: exit code {completed.returncode}: {completed.stderr.strip()}"
            )
        rows = [line.split() for line in completed.stdout.splitlines()[1:]]
        return [(row[-1], int(row[0])) for row in rows]

    def settle(self, revision, timeout_s=20.0):
        """Waits until every live host is ready, has the revision and sees all others."""
        names = {h.name for h in self.live()}
        mismatches = []

        def settled():
            mismatches.clear()
            for host in self.live():
                dump = host.dump()
                seen = {m["name"] for m in dump["members"] if not m["suspect"]}
                if seen != names:
                    mismatches.append(f"{host.name} sees {sorted(seen ^ names)} otherwise")
                if not dump["ready"] or dump["revision"] < revision:
                    mismatches.append(f"{host.name}: ready {dump['ready']} at {dump['revision']}")
            return not mismatches

        try:
            return wait_for(f"{len(names)} hosts agree at revision {revision}", settled, timeout_s)
        except DrillError as error:
            raise DrillError(f"{error}: {'; '.join(mismatches[:4])}") from None

    def save_dumps(self, label):
        """Writes the state dump of every live host to the directory of the logs."""
        for host in self.live():
            try:
                text = json.dumps(host.dump(), indent=1)
            except (OSError, http.client.HTTPException, ValueError) as error:
                text = str(error)
            (self.dir / f"{label}-{host.name}.json").write_text(text)

    def runs(self):
        """Returns how often the work of each key started, over all targets."""
        total = {}
        for port in self.targets.values():
            for key, n in get_json(port, "/fake/runs").items():
                total[key] = total.get(key, 0) + n
        return total

    def counts(self, name):
        """Returns a target's counts; waits for a restart if the target was killed."""
        responses = []

        def read():
            responses.append(get_json(self.targets[name], "/fake/counts"))
            return True

        wait_for(f"{name} answers", read, 6.0)
        return responses[0]

    def control(self, port, command):
        status, _, body = http_call(port, "POST", f"/fake/{command}")
        if status >= 300:
            raise DrillError(f"fake command {command}: {status} {body}")

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                # A process stopped by SIGSTOP handles no other signal until it continues.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for log in self.logs:
            log.close()


class RevisionWatch(threading.Thread):
    """Polls the active revision of every host and records each decrease."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.stop_event = fleet, threading.Event()
        self.samples, self.regressions = 0, []
        self.last = {}

    def record(self, host, incarnation, revision):
        key = (host.name, incarnation)
        before = self.last.get(key, 0)
        if revision < before:
            self.regressions.append(f"{host.name}: {before} then {revision}")
        self.last[key] = max(before, revision)
        self.samples += 1

    def run(self):
        while not self.stop_event.wait(0.2):
            for host in list(self.fleet.hosts):
                try:
                    dump = get_json(host.peers, "/peer/v1/dump", timeout=0.5)
                    self.record(host, dump["host"]["incarnation"], dump["revision"])
                except (OSError, http.client.HTTPException, ValueError):
                    continue


class Callers:
    """Sends keyed requests over the published protocol, independently of the project's own caller.

    Stores the result that each key's caller received, for comparison with what the targets ran.
    """

    def __init__(self, fleet, threads=6, interval=0.12):
        self.fleet, self.interval = fleet, interval
        self.stop_event, self.lock = threading.Event(), threading.Lock()
        self.results = {}  # result of the last attempt, by key
        self.misdelivered = []  # responses that belong to another request
        self.problems = {}  # number of problems, by run status and type
        self.threads = [
            threading.Thread(target=self.run_caller, args=(n,), daemon=True) for n in range(threads)
        ]
        for thread in self.threads:
            thread.start()

    def run_caller(self, number):
        rng, count = random.Random(number), 0
        while not self.stop_event.wait(self.interval):
            count += 1
            service = rng.choice(["catalogue", "records"])
            try:
                response = self.look_up(rng, service)
            except (OSError, http.client.HTTPException, ValueError, IndexError):
                continue
            binding = response.get("binding")
            if binding:
                self.send_request(f"c{number}", service, binding, f"c{number}-{count}")

    def look_up(self, rng, service):
        host = rng.choice(self.fleet.live())
        return get_json(host.callers, f"/v1/hosts/{service}", timeout=0.5)

    def send_request(self, caller, service, binding, nonce):
        key = f"{binding['prefix']}.{nonce}"
        path = f"/pay/{nonce}"
        ports = [int(binding[side].rsplit(":", 1)[1]) for side in ("owner", "witness")]
        attempts, result = [0, 0], "nothing"
        for attempt in range(6):
            side = attempt % 2
            headers = {
                "idempotency-key": key,
                "dunlinrock-caller": caller,
                "dunlinrock-timeout-ms": "1500",
                "dunlinrock-attempts": f"owner={attempts[0]}, witness={attempts[1]}",
            }
            try:
                call = f"/v1/call/{service}{path}"
                status, kind, body = http_call(
                    ports[side], "POST", call, b"42 lei", headers, timeout=2.0
                )
            except ConnectionRefusedError:
                continue
            except (OSError, http.client.HTTPException):
                attempts[side] += 1
                result = "unknown"
                continue
            attempts[side] += 1
            result = self.classify(key, path, status, kind, body)
            if result != "unknown":
                break
        with self.lock:
            self.results[key] = result

    def classify(self, key, path, status, kind, body):
        if kind == "application/problem+json":
            problem = json.loads(body)
            reason = f"{problem['run']} {problem['type'].rsplit('/', 1)[1]}"
            with self.lock:
                self.problems[reason] = self.problems.get(reason, 0) + 1
            return problem["run"]
        if status != 200:
            return "error"
        echo = json.loads(body)
        if (echo["key"], echo["path"]) != (key, path):
            with self.lock:
                self.misdelivered.append(f"{key} got the answer of {echo['key']} {echo['path']}")
        return "answer"

    def stop(self):
        self.stop_event.set()
        for thread in self.threads:
            thread.join()

    def check_results(self, runs):
        """Compares the callers' results with what ran; returns result counts and violations."""
        counts, violations = {}, list(self.misdelivered)
        for key, result in self.results.items():
            counts[result] = counts.get(result, 0) + 1
            run_count = runs.get(key, 0)
            if result == "no" and run_count > 0:
                violations.append(f"wrong `run: no`: {key} ran {run_count} times")
            if result in ("answer", "yes") and run_count == 0:
                violations.append(f"{key} was told {result}, and never ran")
        return counts, violations


class Load:
    """A process of `dunlinrock load` in the background."""

    def __init__(self, fleet, seed, seconds, rate=120.0, mix=0.4, hosts=None):
        self.path = fleet.dir / f"load-{seed}.json"
        command = [BINARY, "load", "-s", "catalogue", "-s", "records", "--mix", str(mix)]
        command += ["--rate", str(rate), "--time", str(seconds), "--seed", str(seed)]
        command += ["--json", str(self.path)]
        for host in hosts or fleet.live():
            command += ["--at", f"127.0.0.1:{host.callers}"]
        log = open(fleet.dir / f"load-{seed}.log", "ab")
        fleet.logs.append(log)
        self.process = subprocess.Popen(command, stdout=log, stderr=log)
        fleet.processes.append(self.process)

    def finish(self):
        """Waits for the process; returns its exit code, total counts and failure reasons."""
        code = self.process.wait(timeout=60)
        report = json.loads(self.path.read_text())
        names = ["sent", "answered", "failed", "wrong", "refused", "unknown", "gone"]
        counts = {n: sum(s[n] for s in report["services"].values()) for n in names}
        counts["p99_ms"] = round(max(s["p99_ms"] for s in report["services"].values()), 1)
        return code, counts, report["reasons"]
