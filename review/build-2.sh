#!/bin/sh
# Compiles the stand-ins of the scripts in review/6 and up into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java
