#!/usr/bin/env bash
# Runs a day on a modified copy of a deployment file, with the users' bench.
#
#   tools/derive-site.sh FLEETBENCH SITE DAY 's/OLD/NEW/'...
#
# Examples: a longer delay between regions, and no synchronous replica:
#
#   tools/derive-site.sh "$bench" "$site" quiet-1 's/cross_region_ms = 12.0/cross_region_ms = 35.0/'
#   tools/derive-site.sh "$bench" "$site" trouble-2 's/db = { sync = 1/db = { sync = 0/'
#
# Fails if one of the sed expressions changes nothing.
#
# The copy is in a temporary directory that is removed on exit. The bench adds the
# run to the journal.
set -euo pipefail
if [ $# -lt 4 ]; then
  sed -n '2,11s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$1 site=$2 day=$3
shift 3
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cp "$(dirname "$site")"/wire.json "$(dirname "$site")"/CUT "$dir/"
derived=$dir/$(basename "$site")
cp "$site" "$derived"
for change in "$@"; do
  before=$(cksum <"$derived")
  sed -i "$change" "$derived"
  if [ "$before" = "$(cksum <"$derived")" ]; then
    echo "derive-site: $change changes nothing in $site" >&2
    exit 1
  fi
done
"$bench" run "$derived" "$day" --why "derived from $(basename "$site"): $*"
