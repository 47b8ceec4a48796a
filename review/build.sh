#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They need nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/standins/*.java
