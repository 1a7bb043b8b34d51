#!/bin/sh
# Measures what control costs and rewrites the tables of docs/CAPACITY.md.
# usage: scripts/capacity.sh [DIRECTORY [NAMES]]
# The results go to DIRECTORY (a new temporary one by default). NAMES, separated by commas, limits the runs; with "none"
# the tables are written from the results that are there.
set -eu
cd "$(dirname "$0")/.."
directory=${1:-$(mktemp -d)}
mkdir -p "$directory"
go build -o "$directory/sequoiastall" ./cmd/sequoiastall
case "${2:-}" in
none) ;;
"") "$directory/sequoiastall" load --slopes --directory "$directory" >/dev/null ;;
*) "$directory/sequoiastall" load --slopes --directory "$directory" --only "$2" >/dev/null ;;
esac
"$directory/sequoiastall" load --tables "$directory" >"$directory/tables.md"
awk -v tables="$directory/tables.md" '
/^<!-- tables begin -->/ { print; while ((getline line < tables) > 0) print line; skip = 1 }
/^<!-- tables end -->/ { skip = 0 }
!skip { print }' docs/CAPACITY.md >"$directory/page.md"
cp "$directory/page.md" docs/CAPACITY.md
