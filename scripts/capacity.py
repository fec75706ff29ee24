"""Measures the resource use of a host: processor time, memory, control traffic, store calls.

usage: python3 scripts/capacity.py [--rate N] [HOSTS ...]     (default: 12 24 48)

Measures idle hosts, or with --rate hosts that serve N requests per second in total; the use then
includes these requests.

Starts HOSTS hosts and the stand-ins on the loopback interface, waits until the hosts have settled,
and samples each host twice, SECONDS apart. Stops only processes that it started.
"""

import os
import sys
import time

from fleet import DOMAINS, Fleet, Load

SECONDS = 10.0
TICKS = os.sysconf("SC_CLK_TCK")


def process_usage(host):
    """Returns a host process's processor time in seconds and resident memory in bytes."""
    with open(f"/proc/{host.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    page = os.sysconf("SC_PAGE_SIZE")
    return (int(fields[11]) + int(fields[12])) / TICKS, int(fields[21]) * page


def sample(host):
    cpu, memory = process_usage(host)
    return time.monotonic(), cpu, memory, host.dump()["counts"]


def measure(hosts):
    before = [sample(host) for host in hosts]
    time.sleep(SECONDS)
    after = [sample(host) for host in hosts]
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
    medians = [sorted(column)[len(column) // 2] for column in zip(*rates)]
    maxima = [max(column) for column in zip(*rates)]
    return medians, maxima


def main():
    args = sys.argv[1:]
    rate = float(args[1]) if args[:1] == ["--rate"] else 0.0
    sizes = [int(text) for text in (args[2:] if rate else args)] or [12, 24, 48]
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
            medians, maxima = measure(hosts)
            cells = [f"{m:.2f} ({x:.2f})" for m, x in zip(medians, maxima)]
            print(f"| {size} | {' | '.join(cells)} |", flush=True)
            if load:
                load.finish()
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
