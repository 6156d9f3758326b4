#!/usr/bin/env bash
# Derives sites of other shapes from one of the users' site files, to play days on deployments that
# nobody has described: vary-site.sh SITE.toml FOLDER. The folder gets the files that a site needs.
set -euo pipefail
site=$1
folder=$2
mkdir -p "$folder"
cp "$(dirname "$site")"/{wire.json,CUT} "$folder"

# vary NAME EXPRESSION...: one site file, changed by expressions of sed.
vary() {
  local name=$1
  shift
  sed -E "$@" "$site" > "$folder/$name.toml"
  cp "${site%.toml}.days" "$folder/$name.days"
}

machines='/class = "front"/'
vary three-vms -e "$machines s/count = [0-9]+/count = 1/"
vary untold-load -e 's/load_header = true/load_header = false/'
vary reset-on-full -e 's/on_full = "[a-z]+"/on_full = "reset"/'
vary several-cores -e "$machines s/cores = 1/cores = 4/"
vary tight -e "$machines s/memory_mb = [0-9]+/memory_mb = 96/" \
  -e "$machines s/link_mbps = [0-9.]+/link_mbps = 20/" \
  -e "$machines s/cpu_share = [0-9.]+/cpu_share = 0.1/"
vary short-of-processor -e "$machines s/cpu_share = 0.1,/cpu_share = 0.02,/" \
  -e "$machines s/cpu_share = 0.2,/cpu_share = 0.06,/" -e "$machines s/cpu_share = 0.5,/cpu_share = 0.07,/"
vary quiet-neighbours -e 's/noise = \{ share = [0-9.]+/noise = { share = 0.0/'
