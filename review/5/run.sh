#!/usr/bin/env bash
# Shows the case of claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the
# disruption. Needs target/sequoiastall (the build of the deploy file) and review/build.sh.
set -eu
cd "$(dirname "$0")/../.."
exec review/bin/standin cancel-compaction review/5
