#!/usr/bin/env bash
# Fails when a name of the users' platform is spelled outside platform/, its tests and stand-ins, or
# when the product names a deployment or a day: no decision may depend on one.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Chicorylink-(Request|Deadline|Server|Tenant|Expect|Instance|Prompt|Token-Count|Key|Model|Pin|Hold|Kv|Weight|Not-Run|Cold|Length)|Server-Leaving|Kv-From|Kv-Fetch|/kv-(key|range|watch)|/readiness|/resolve\b|seedAddrs|internalPorts|CHICORYLINK_BOOT|pathPrefix|apiKeys|ratePerS|coldPerS|coldLeftMs|allowedRegions|"tombstone"|"asOf"|"op/'
if git ls-files --cached --others --exclude-standard src include programs | grep -v '_generated.h' |
  xargs grep -nE "$names"; then
  echo "names of the users' platform belong into platform/" >&2
  exit 1
fi
deployments='flagdag|naipes|rihla|colacion|fleetbench|(trouble|scale|quiet)-[0-9]'
if git ls-files --cached --others --exclude-standard src include programs platform |
  grep -v '_test.cpp$' | xargs grep -niE "$deployments"; then
  echo "nothing in the product may depend on a deployment or a day" >&2
  exit 1
fi
