"""Injects faults into a deployment of real processes; see scripts/chaos.sh."""

import json
import shutil
import signal
import sys
import threading
import time
from contextlib import contextmanager

from fleet import (
    DOMAINS,
    DrillError,
    Callers,
    Fleet,
    Load,
    RevisionWatch,
    get_json,
    http_call,
    wait_for,
)

# Seconds within which every host knows of leaving targets and quarantined requests.
PROPAGATION_TIME = 3.0


class Drill:
    """A deployment, the watch on its revisions, and the violations found."""

    def __init__(self):
        self.fleet = Fleet()
        self.watch = RevisionWatch(self.fleet)
        self.violations = []
        self.revision = 0
        self.seed = 0
        self.accepted = {}  # ids of accepted applies

    def check(self, condition, text):
        if not condition:
            self.violations.append(text)
            print(f"  BROKEN: {text}", flush=True)

    def apply(self, directory, ident):
        code, output = self.fleet.apply(directory, ident)
        if code != 0:
            raise DrillError(f"apply {ident}: exit code {code}: {output}")
        self.accepted[ident] = True
        self.revision = self.fleet.history()[0][1]

    @contextmanager
    def load(self, seconds, **kwargs):
        """Runs a load during a step, prints its results and checks them."""
        self.seed += 1
        load = Load(self.fleet, self.seed, seconds, **kwargs)
        yield
        code, counts, reasons = load.finish()
        print("  load: " + ", ".join(f"{k} {v}" for k, v in counts.items()), flush=True)
        for reason, number in sorted(reasons.items(), key=lambda r: -r[1])[:4]:
            print(f"    {number} x {reason}")
        self.check(code == 0, f"the load ended with code {code}")
        self.check(counts["wrong"] == 0, f"{counts['wrong']} answers to the wrong caller")
        share = counts["answered"] / max(counts["sent"], 1)
        self.check(share > 0.8, f"only {share:.0%} of the load was answered")

    def variant(self, name, **queues):
        """Returns a copy of the configuration with other queue capacities."""
        directory = self.fleet.dir / f"config-{name}"
        shutil.rmtree(directory, ignore_errors=True)
        shutil.copytree(self.fleet.config, directory)
        path = directory / "services.toml"
        text = path.read_text()
        for old, new in queues.items():
            text = text.replace(f"queue = {old[1:]}\n", f"queue = {new}\n")
        path.write_text(text)
        return directory

    def replace(self, hosts):
        """Starts a replacement in the domain of each host, and waits until all hosts agree."""
        started = [self.fleet.start(host.domain) for host in hosts]
        for host in started:
            wait_for(f"{host.name} is ready", host.is_ready, 15.0)
            held = host.dump()["revision"]
            self.check(
                held >= self.revision, f"{host.name} was ready at {held}, not {self.revision}"
            )
        self.fleet.settle(self.revision)
        return started


def busiest_owner(drill):
    """Returns the host with the most ledger records among those that own a pool."""
    def weight(host):
        dump = host.dump()
        return bool(dump["owned"]), dump["ledger"]["records"]

    return max(drill.fleet.live(), key=weight)


def wait_for_takeover(drill, name, timeout_s):
    """Waits until no other host lists the host as a member or an owner; returns the seconds."""
    mismatches = []

    def is_taken_over():
        mismatches.clear()
        for host in drill.fleet.live():
            if host.name == name:
                continue
            dump = host.dump()
            if any(m["name"] == name for m in dump["members"]):
                mismatches.append(f"{host.name} names it")
            mismatches.extend(
                f"{host.name}: {p['service']} in {p['domain']} is owned by {p['owner']}"
                for p in dump["pools"]
                if p["owner"] in (name, None)
            )
        return not mismatches

    try:
        return wait_for(f"the others take over from {name}", is_taken_over, timeout_s)
    except DrillError as error:
        raise DrillError(f"{error}: {'; '.join(mismatches[:6])}") from None


def kill(drill):
    """A host that owns pools and keys is killed."""
    with drill.load(8):
        time.sleep(2)
        victim = busiest_owner(drill)
        dump = victim.dump()
        victim.process.kill()
        victim.process.wait()
        drill.fleet.remove_host(victim)
        elapsed_s = wait_for_takeover(drill, victim.name, 15.0)
        print(
            f"  killed {victim.name}, owner of {len(dump['owned'])} pools and holder of "
            f"{dump['ledger']['records']} records; taken over after {elapsed_s:.1f} s"
        )
        drill.replace([victim])


def pause(drill):
    """A host that owns pools and keys is paused for 6 s and resumes."""
    with drill.load(11):
        time.sleep(1)
        victim = busiest_owner(drill)
        victim.process.send_signal(signal.SIGSTOP)
        try:
            elapsed_s = wait_for_takeover(drill, victim.name, 6.0)
            time.sleep(max(0.0, 6.0 - elapsed_s))
        finally:
            victim.process.send_signal(signal.SIGCONT)
        back = drill.fleet.settle(drill.revision)
        print(
            f"  paused {victim.name}: taken over after {elapsed_s:.1f} s, "
            f"back after {back:.1f} s"
        )


def store_down(drill):
    """The store is down; a host that starts meanwhile reads the configuration from peers."""
    drill.fleet.control(drill.fleet.store, "down?how=close")
    try:
        with drill.load(9):
            time.sleep(2)
            before = get_json(drill.fleet.store, "/fake/counts")
            [host] = drill.replace([drill.fleet.live()[0]])
            code, _ = drill.fleet.apply(drill.variant("down", _256=999), "while-down")
            drill.check(code in (4, 5), f"an apply with the store down ended with code {code}")
            time.sleep(3)
            after = get_json(drill.fleet.store, "/fake/counts")
    finally:
        drill.fleet.control(drill.fleet.store, "up")
    ids = [ident for ident, _ in drill.fleet.history()]
    drill.check("while-down" not in ids, "an apply that was reported as failed (`away`) is active")
    failed = after["failed"] - before["failed"]
    print(f"  {host.name} became ready from peers; {failed} store calls failed meanwhile")


def race(drill):
    """Two operators apply different files in a loop."""
    rounds, results, lock = 12, {}, threading.Lock()

    def operator(name, start):
        for n in range(rounds):
            directory = drill.variant(name, _256=start + n, _128=start + n)
            code, output = drill.fleet.apply(directory, f"{name}-{n}")
            with lock:
                results[f"{name}-{n}"] = (code, output)

    with drill.load(8):
        threads = [threading.Thread(target=operator, args=a) for a in (("ana", 300), ("ion", 600))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        history = dict(drill.fleet.history())
        drill.revision = max(history.values())
        elapsed_s = drill.fleet.settle(drill.revision)
    codes = [code for code, _ in results.values()]
    for ident, (code, output) in results.items():
        if code == 0:
            drill.accepted[ident] = True
            drill.check(ident in history, f"accepted apply {ident} is not in the history: {output}")
        elif code == 3:
            drill.check(ident not in history, f"overtaken apply {ident} is in the history")
        else:
            drill.check(False, f"apply {ident} ended with code {code}: {output}")
    print(
        f"  {len(codes)} applies: {codes.count(0)} accepted, {codes.count(3)} overtaken; "
        f"revision {drill.revision} at every host {elapsed_s:.1f} s after the last"
    )


def rolling(drill):
    """Every host is replaced under load, one in each region at a time."""
    with drill.load(24):
        old, drain_times = list(drill.fleet.live()), []
        while old:
            batch = []
            for region in ("bucharest", "cluj", "iasi"):
                batch += [h for h in old if h.region == region][:1]
            start = time.monotonic()
            for host in batch:
                host.process.send_signal(signal.SIGTERM)
            for host in batch:
                code = host.process.wait(timeout=30)
                drain_times.append(time.monotonic() - start)
                drill.check(code == 0, f"{host.name} stopped with exit code {code}")
                drill.fleet.remove_host(host)
                old.remove(host)
            drill.replace(batch)
    print(f"  {len(drain_times)} hosts replaced; drain time up to {max(drain_times):.1f} s")


def lost_writes(drill):
    """Responses of the store are lost after its writes took effect."""
    before = len(drill.fleet.history())
    with drill.load(5):
        for n in range(4):
            drill.fleet.control(drill.fleet.store, f"lose?writes={n + 1}")
            drill.apply(drill.variant("lost", _256=900 + n), f"lost-{n}")
        drill.fleet.control(drill.fleet.store, "lose?writes=0")
        drill.fleet.settle(drill.revision)
    ids = [ident for ident, _ in drill.fleet.history()]
    added = len(ids) - before
    drill.check(added == 4, f"4 applies made {added} revisions")
    lost = get_json(drill.fleet.store, "/fake/counts")["lost"]
    print(f"  4 applies whose answers were lost ({lost} writes): each in force once")


def killer(drill):
    """A request that kills its targets is sent through several hosts."""
    fleet = drill.fleet

    def deaths():
        return sum(fleet.counts(name)["killed"] for name in fleet.targets)

    def send(host):
        path = "/v1/call/records/kill/7"
        headers = {"dunlinrock-caller": "one of many"}
        return http_call(host.callers, "GET", path, headers=headers, timeout=6.0)

    with drill.load(14):
        start, sent = deaths(), 0
        while deaths() - start < 2 and sent < 40:
            send(fleet.live()[sent % len(fleet.live())])
            sent += 1
        drill.check(deaths() - start >= 2, f"fewer than two deaths after {sent} sends")
        time.sleep(PROPAGATION_TIME)
        fleet.save_dumps("killer-before")
        before = deaths()
        for host in fleet.live():
            status, _, body = send(host)
            kind = json.loads(body).get("type", "") if status != 200 else "an answer"
            drill.check(
                kind == "/problems/quarantined", f"{host.name} answered {status} {kind}"
            )
        after = deaths()
        drill.check(after == before, f"{after - before} deaths after the quarantine had spread")
        fleet.save_dumps("killer")
        other = http_call(fleet.live()[0].callers, "GET", "/v1/call/records/grades/7")[0]
        drill.check(other == 200, f"another request was answered {other}")
        print(f"  {sent} sends, {before - start} deaths; refused by {len(fleet.live())} hosts")


def leaving(drill):
    """One target reports that it leaves, operators drain another: neither gets new work."""
    fleet = drill.fleet

    def received(name):
        counts = fleet.counts(name)
        return counts["started"] + counts["shed"]

    with drill.load(10):
        time.sleep(1)
        fleet.control(fleet.targets["catalogue-01"], "leave")
        directory = drill.variant("drain")
        (directory / "drains.toml").write_text(
            '[drains.evening]\nkind = "target"\nname = "records-05"\n'
        )
        drill.apply(directory, "drain")
        time.sleep(PROPAGATION_TIME)
        names = ["catalogue-01", "records-05"]
        before = [received(name) for name in names]
        time.sleep(4)
        new = [received(name) - n for name, n in zip(names, before)]
        drill.check(new == [0, 0], f"new work after {PROPAGATION_TIME:.0f} s: {new}")
        busy = fleet.counts("catalogue-02")["started"]
        print(
            f"  new work after {PROPAGATION_TIME:.0f} s at {names}: {new}; "
            f"a neighbour ran {busy}"
        )
    fleet.control(fleet.targets["catalogue-01"], "return")
    drill.apply(drill.variant("drained"), "drained")


STEPS = [kill, pause, store_down, race, rolling, lost_writes, killer, leaving]


def exit_on_signal(number, _frame):
    """Exits through `sys.exit` on a signal, so that `main` stops the deployment."""
    sys.exit(128 + number)


def main(names):
    signal.signal(signal.SIGTERM, exit_on_signal)
    steps = [step for step in STEPS if not names or step.__name__ in names]
    start = time.monotonic()
    drill = Drill()
    try:
        run_steps(drill, steps)
    except (DrillError, OSError) as error:
        drill.check(False, str(error))
    finally:
        drill.fleet.stop()
    print(f"{time.monotonic() - start:.0f} s; logs in {drill.fleet.dir}")
    if drill.violations:
        print(f"{len(drill.violations)} promises broke:")
        print("\n".join(f"  {text}" for text in drill.violations[:20]))
        return 1
    print("every promise held")
    shutil.rmtree(drill.fleet.dir)
    return 0


def run_steps(drill, steps):
    for domain in DOMAINS * 2:
        drill.fleet.start(domain)
    drill.apply(drill.fleet.config, "first")
    elapsed_s = drill.fleet.settle(drill.revision)
    print(f"12 hosts in 3 regions are ready after {elapsed_s:.1f} s")
    drill.watch.start()
    callers = Callers(drill.fleet)
    try:
        for step in steps:
            print(f"{step.__name__}: {step.__doc__}", flush=True)
            try:
                step(drill)
            except (DrillError, OSError, ValueError) as error:
                drill.check(False, f"{step.__name__}: {error}")
                drill.fleet.save_dumps(step.__name__)
    finally:
        drill.fleet.control(drill.fleet.store, "up")
        callers.stop()
        drill.watch.stop_event.set()
        drill.watch.join()
        verify(drill, callers)


def verify(drill, callers):
    runs = drill.fleet.runs()
    duplicates = {key: n for key, n in runs.items() if n > 1}
    counts, violations = callers.check_results(runs)
    summary = ", ".join(f"{k} {n}" for k, n in sorted(counts.items()))
    print(
        f"callers apart: {len(callers.results)} keys, told {summary}; "
        f"problems {callers.problems}"
    )
    print(f"{len(runs)} keys ran, {len(duplicates)} of them twice")
    watch = drill.watch
    print(f"{watch.samples} looks at revisions, {len(watch.regressions)} falls")
    for text in violations:
        drill.check(False, text)
    drill.check(not duplicates, f"keys run twice: {duplicates}")
    drill.check(not watch.regressions, f"revisions fell: {watch.regressions}")
    ids = {ident for ident, _ in drill.fleet.history()}
    lost = [ident for ident in drill.accepted if ident not in ids]
    drill.check(not lost, f"accepted applies that are not in the history: {lost}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
