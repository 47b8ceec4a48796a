#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Needs a JDK only; everything goes below target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java
