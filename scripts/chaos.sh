#!/usr/bin/env bash
# Faults on real processes: 12 hosts in 3 regions on the loopback interface, under load.
# Ends by itself, prints counts, and exits non-zero when a promise broke.
#
# usage: scripts/chaos.sh [STEP ...]     (all steps where none is named; see scripts/chaos.py)
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
binary=${DUNLINROCK:-$root/target/release/dunlinrock}
if [[ ! -x $binary ]]; then
    (cd "$root" && cargo build --release -p dunlinrock)
fi
DUNLINROCK=$binary exec python3 "$root/scripts/chaos.py" "$@"
