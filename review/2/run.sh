#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx128m -Dsun.net.httpserver.nodelay=true -cp target/review LeaveBehindCut review/2/record.txt
