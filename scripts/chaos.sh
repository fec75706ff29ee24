#!/usr/bin/env bash
# Injects faults into real processes: 12 hosts in 3 regions on the loopback interface, under load.
# Prints counts, and exits non-zero if a guarantee was violated.
#
# usage: scripts/chaos.sh [STEP ...]     (default: all steps; see scripts/chaos.py)
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
binary=${DUNLINROCK:-$root/target/release/dunlinrock}
if [[ ! -x $binary ]]; then
    (cd "$root" && cargo build --release -p dunlinrock)
fi
DUNLINROCK=$binary exec python3 "$root/scripts/chaos.py" "$@"
