#!/usr/bin/env bash
# Formats the named modules, then builds and checks them with what they need; prints findings only.
# Usage: build-tools/check.sh MODULE[,MODULE]
set -u
cd "$(dirname "$0")/.."
mvn -q -B spotless:apply -pl "$1" || exit 1
# By a file: a pipe into head would end Maven when the output is long, and look like a failure.
output=$(mktemp)
trap 'rm -f "$output"' EXIT
mvn -B verify -pl "$1" -am > "$output" 2>&1
code=$?
grep -vE '^\[INFO\]|^ *$' "$output" | head -150
exit "$code"
