"""Processes of a deployment on the loopback interface, and callers that check what they get."""

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
# Below the range from which the system draws ports of outgoing connections.
PORTS = range(12_000, 32_000)
START_TIME = 15.0


class Broken(Exception):
    """A step could not be played, or a promise broke."""


def free_ports():
    """Gives ports that nothing listens on, each once."""
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
    """Gives status, content type and body of one request on a connection of its own."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body or None, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.getheader("content-type", ""), answer.read()
    finally:
        connection.close()


def get_json(port, path, timeout=3.0):
    status, _, body = http_call(port, "GET", path, timeout=timeout)
    if status != 200:
        raise OSError(f"{path}: status {status}")
    return json.loads(body)


def wait_for(what, test, time_s):
    """Waits until `test` holds; gives the seconds it took."""
    start = time.monotonic()
    while time.monotonic() - start < time_s:
        try:
            if test():
                return time.monotonic() - start
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.05)
    raise Broken(f"{what}: not within {time_s:.0f} s")


class Host:
    """One `serve` process."""

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
    """Stand-ins and hosts. Ends only what it started, by process id."""

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

        def move(match):
            self.targets[match[1]] = port = next(self.ports)
            return f'{match[1]} = {match[2]}address = "127.0.0.1:{port}"'

        pattern = r'(?m)^([\w-]+) = ({.*?)address = "[\d.]+:\d+"'
        (config / "targets.toml").write_text(re.sub(pattern, move, text))
        return config

    def spawn(self, name, *args):
        log = open(self.dir / f"{name}.log", "ab")
        self.logs.append(log)
        process = subprocess.Popen([BINARY, *args], stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start(self, domain):
        """Starts a host; it is not ready yet."""
        self.count += 1
        host = Host(self, f"h{self.count:02}-{domain}", domain)
        self.hosts.append(host)
        return host

    def live(self):
        return [h for h in self.hosts if h.process.poll() is None]

    def drop(self, host):
        """Takes a host that has ended off the books."""
        self.hosts.remove(host)
        self.retired.append(host)

    def apply(self, directory, ident, *args):
        """Applies a directory; gives the exit code and what was said."""
        command = [BINARY, "apply", "--store", f"127.0.0.1:{self.store}", "--id", ident]
        command += ["--by", "chaos", *args, str(directory)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        return done.returncode, (done.stdout + done.stderr).strip()

    def history(self):
        """Gives the ids of all applies, newest first, each with its revision."""
        command = [BINARY, "history", "--store", f"127.0.0.1:{self.store}", "-n", "1000"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        if done.returncode != 0:
            raise Broken(f"history: exit code {done.returncode}: {done.stderr.strip()}")
        rows = [line.split() for line in done.stdout.splitlines()[1:]]
        return [(row[-1], int(row[0])) for row in rows]

    def settle(self, revision, time_s=20.0):
        """Waits until every live host is ready, at a revision, and sees all others."""
        names = {h.name for h in self.live()}
        why = []

        def settled():
            why.clear()
            for host in self.live():
                dump = host.dump()
                seen = {m["name"] for m in dump["members"] if not m["suspect"]}
                if seen != names:
                    why.append(f"{host.name} sees {sorted(seen ^ names)} otherwise")
                if not dump["ready"] or dump["revision"] < revision:
                    why.append(f"{host.name}: ready {dump['ready']} at {dump['revision']}")
            return not why

        try:
            return wait_for(f"{len(names)} hosts agree at revision {revision}", settled, time_s)
        except Broken as broken:
            raise Broken(f"{broken}: {'; '.join(why[:4])}") from None

    def keep_dumps(self, label):
        """Writes the state of every live host beside its log."""
        for host in self.live():
            try:
                text = json.dumps(host.dump(), indent=1)
            except (OSError, http.client.HTTPException, ValueError) as error:
                text = str(error)
            (self.dir / f"{label}-{host.name}.json").write_text(text)

    def runs(self):
        """Gives how often the work of each key began, over all targets."""
        total = {}
        for port in self.targets.values():
            for key, n in get_json(port, "/fake/runs").items():
                total[key] = total.get(key, 0) + n
        return total

    def counts(self, name):
        """Gives what a target has done; one that was killed answers when it is back."""
        found = []

        def read():
            found.append(get_json(self.targets[name], "/fake/counts"))
            return True

        wait_for(f"{name} answers", read, 6.0)
        return found[0]

    def turn(self, port, knob):
        status, _, body = http_call(port, "POST", f"/fake/{knob}")
        if status >= 300:
            raise Broken(f"knob {knob}: {status} {body}")

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                # A paused process takes no other signal.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for log in self.logs:
            log.close()


class Watch(threading.Thread):
    """Reads the revision of every host again and again, and the revision that look-ups name."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.over, self.samples, self.falls = fleet, threading.Event(), 0, []
        self.last = {}

    def note(self, host, incarnation, revision):
        key = (host.name, incarnation)
        before = self.last.get(key, 0)
        if revision < before:
            self.falls.append(f"{host.name}: {before} then {revision}")
        self.last[key] = max(before, revision)
        self.samples += 1

    def run(self):
        while not self.over.wait(0.2):
            for host in list(self.fleet.hosts):
                try:
                    dump = get_json(host.peers, "/peer/v1/dump", timeout=0.5)
                    self.note(host, dump["host"]["incarnation"], dump["revision"])
                except (OSError, http.client.HTTPException, ValueError):
                    continue


class Callers:
    """Keyed requests over the published protocol, written apart from the project's own caller.

    Keeps what each key's caller was told, to be compared with what the targets ran.
    """

    def __init__(self, fleet, threads=6, pause=0.12):
        self.fleet, self.pause = fleet, pause
        self.over, self.lock = threading.Event(), threading.Lock()
        self.told = {}  # key: what its last attempt was told
        self.foreign = []  # answers that are not the caller's own
        self.reasons = {}  # problems by what they say of the run and their kind
        self.threads = [
            threading.Thread(target=self.work, args=(n,), daemon=True) for n in range(threads)
        ]
        for thread in self.threads:
            thread.start()

    def work(self, number):
        rng, count = random.Random(number), 0
        while not self.over.wait(self.pause):
            count += 1
            service = rng.choice(["catalogue", "records"])
            try:
                found = self.look_up(rng, service)
            except (OSError, http.client.HTTPException, ValueError, IndexError):
                continue
            binding = found.get("binding")
            if binding:
                self.one(f"c{number}", service, binding, f"c{number}-{count}")

    def look_up(self, rng, service):
        host = rng.choice(self.fleet.live())
        return get_json(host.callers, f"/v1/hosts/{service}", timeout=0.5)

    def one(self, caller, service, binding, nonce):
        key = f"{binding['prefix']}.{nonce}"
        path = f"/pay/{nonce}"
        sides = [int(binding[side].rsplit(":", 1)[1]) for side in ("owner", "witness")]
        tried, told = [0, 0], "nothing"
        for attempt in range(6):
            side = attempt % 2
            headers = {
                "idempotency-key": key,
                "dunlinrock-caller": caller,
                "dunlinrock-timeout-ms": "1500",
                "dunlinrock-attempts": f"owner={tried[0]}, witness={tried[1]}",
            }
            try:
                call = f"/v1/call/{service}{path}"
                status, kind, body = http_call(
                    sides[side], "POST", call, b"42 lei", headers, timeout=2.0
                )
            except ConnectionRefusedError:
                continue
            except (OSError, http.client.HTTPException):
                tried[side] += 1
                told = "unknown"
                continue
            tried[side] += 1
            told = self.read(key, path, status, kind, body)
            if told != "unknown":
                break
        with self.lock:
            self.told[key] = told

    def read(self, key, path, status, kind, body):
        if kind == "application/problem+json":
            problem = json.loads(body)
            reason = f"{problem['run']} {problem['type'].rsplit('/', 1)[1]}"
            with self.lock:
                self.reasons[reason] = self.reasons.get(reason, 0) + 1
            return problem["run"]
        if status != 200:
            return "error"
        echo = json.loads(body)
        if (echo["key"], echo["path"]) != (key, path):
            with self.lock:
                self.foreign.append(f"{key} got the answer of {echo['key']} {echo['path']}")
        return "answer"

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()

    def judge(self, runs):
        """Compares what callers were told with what ran; gives counts and breaks."""
        counts, breaks = {}, list(self.foreign)
        for key, told in self.told.items():
            counts[told] = counts.get(told, 0) + 1
            ran = runs.get(key, 0)
            if told == "no" and ran > 0:
                breaks.append(f"wrong `run: no`: {key} ran {ran} times")
            if told in ("answer", "yes") and ran == 0:
                breaks.append(f"{key} was told {told}, and never ran")
        return counts, breaks


class Load:
    """`dunlinrock load` in the background."""

    def __init__(self, fleet, seed, seconds, rate=120.0, mix=0.4, at=None):
        self.path = fleet.dir / f"load-{seed}.json"
        command = [BINARY, "load", "-s", "catalogue", "-s", "records", "--mix", str(mix)]
        command += ["--rate", str(rate), "--time", str(seconds), "--seed", str(seed)]
        command += ["--json", str(self.path)]
        for host in at or fleet.live():
            command += ["--at", f"127.0.0.1:{host.callers}"]
        log = open(fleet.dir / f"load-{seed}.log", "ab")
        fleet.logs.append(log)
        self.process = subprocess.Popen(command, stdout=log, stderr=log)
        fleet.processes.append(self.process)

    def end(self):
        """Waits for the end; gives the counts of all services and whether it went well."""
        code = self.process.wait(timeout=60)
        report = json.loads(self.path.read_text())
        names = ["sent", "answered", "failed", "wrong", "refused", "unknown", "gone"]
        counts = {n: sum(s[n] for s in report["services"].values()) for n in names}
        counts["p99_ms"] = round(max(s["p99_ms"] for s in report["services"].values()), 1)
        return code, counts, report["reasons"]
