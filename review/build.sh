#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the daemon: the stand-ins.
# The daemon itself is built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o ../target/review/standin \
  tools/standin.cc
