"""Measures what a host costs: processor time, memory, bytes for control, store calls.

usage: python3 scripts/capacity.py [--rate N] [HOSTS ...]     (12 24 48 where none is given)

At rest, or with N requests a second over all hosts, whose cost then counts as well.

Starts that many hosts on the loopback interface with the stand-ins, lets them settle, and takes
two looks at each, SECONDS apart. Ends only processes that it started.
"""

import os
import sys
import time

from fleet import DOMAINS, Fleet, Load

SECONDS = 10.0
TICKS = os.sysconf("SC_CLK_TCK")


def cost(host):
    """Processor time in seconds and resident memory in bytes of a host's process."""
    with open(f"/proc/{host.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    page = os.sysconf("SC_PAGE_SIZE")
    return (int(fields[11]) + int(fields[12])) / TICKS, int(fields[21]) * page


def look(host):
    cpu, memory = cost(host)
    return time.monotonic(), cpu, memory, host.dump()["counts"]


def row(hosts):
    before = [look(host) for host in hosts]
    time.sleep(SECONDS)
    after = [look(host) for host in hosts]
    rates = []
    for (t0, c0, _, n0), (t1, c1, m1, n1) in zip(before, after):
        span = t1 - t0
        byte_rate = lambda *names: sum(n1[n] - n0[n] for n in names) / span
        rates.append((
            100 * (c1 - c0) / span,
            m1 / 1e6,
            byte_rate("peer.control_in_bytes", "peer.control_out_bytes"),
            byte_rate("peer.steer_in_bytes", "peer.steer_out_bytes"),
            60 * (n1["store.calls"] - n0["store.calls"]) / span,
        ))
    middle = [sorted(column)[len(column) // 2] for column in zip(*rates)]
    most = [max(column) for column in zip(*rates)]
    return middle, most


def main():
    words = sys.argv[1:]
    rate = float(words[1]) if words[:1] == ["--rate"] else 0.0
    sizes = [int(text) for text in (words[2:] if rate else words)] or [12, 24, 48]
    print("| hosts | core, % | memory, MB | control, B/s | steering, B/s | store calls/min |")
    print("|---:|---:|---:|---:|---:|---:|")
    for size in sizes:
        fleet = Fleet()
        try:
            hosts = [fleet.start(DOMAINS[n % len(DOMAINS)]) for n in range(size)]
            fleet.apply(fleet.config, "capacity")
            fleet.settle(1, 60.0)
            load = Load(fleet, 1, 2 * SECONDS + 5.0, rate=rate, mix=0.2) if rate else None
            time.sleep(SECONDS)
            middle, most = row(hosts)
            cells = [f"{m:.2f} ({x:.2f})" for m, x in zip(middle, most)]
            print(f"| {size} | {' | '.join(cells)} |", flush=True)
            if load:
                load.end()
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
