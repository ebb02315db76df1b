#!/usr/bin/env bash
# Builds the stand-ins of the cases from plain Java; needs the JDK only, no network.
set -eu
cd "$(dirname "$0")"
mkdir -p target/classes
javac -Xlint:all,-serial -d target/classes standins/*.java
