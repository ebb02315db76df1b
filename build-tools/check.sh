#!/usr/bin/env bash
# Formats the named modules, then builds and checks them with what they need; prints findings only.
# Usage: build-tools/check.sh MODULE[,MODULE]
set -u
cd "$(dirname "$0")/.."
mvn -q -B spotless:apply -pl "$1" || exit 1
mvn -B verify -pl "$1" -am 2>&1 | grep -vE '^\[INFO\]|^ *$' | head -150
exit "${PIPESTATUS[0]}"
