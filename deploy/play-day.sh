#!/usr/bin/env bash
# Plays one day of a site and keeps what all processes wrote, so that a finding can be
# traced when it does not come again:
#
#     deploy/play-day.sh FOLDER WHY SITE DAY [--seed N] [--vary] ...
#
# FOLDER lies outside the repository and is made; WHY is the line for the journal.
# FLEETBENCH names the users' bench. The exit code is the bench's.
set -euo pipefail
if [ $# -lt 4 ]; then
  sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
folder=$1 why=$2 site=$3 day=$4
shift 4
: "${FLEETBENCH:?is to name the program of the bench}"
top=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
case "$folder/" in
"$top"/*)
  echo "$folder lies in the repository" >&2
  exit 2
  ;;
esac
out=$folder/$(basename "$site" .toml)-$(basename "$day" .toml)-$(date +%H%M%S)-$$
code=0
"$FLEETBENCH" run "$site" "$day" "$@" --log all --report "$out.report" --why "$why" >"$out.lines" 2>&1 || code=$?
tail -n 40 "$out.lines" | grep -v '"event":' || true # the verdict
gzip -f "$out.lines"
echo "lines in $out.lines.gz, report in $out.report"
exit "$code"
