#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/gateway/dahliapass-gateway.jar ] && [ -d target/review-2/cases ] || exit 2
exec java -Xmx256m -cp target/review-2 cases.FrozenReaders "$folder"
