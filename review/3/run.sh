#!/bin/bash
# Plays case 3 against the build of the deploy file; see claim.txt. TROUBLE=0 leaves out the SIGTERM.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/shallotfork-node target/review/standin; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build.sh first"
        exit 2
    fi
done
exec target/review/standin early-close review/3
