#!/bin/sh
# Builds the stand-ins and the clients of the cases 4 to 8. Needs a JDK 17 only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/stage/*.java review/standins-2/cases/*.java
