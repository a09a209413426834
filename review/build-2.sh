#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, besides the build of the deploy file: one
# program with the stand-ins of the platform, the databases and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-lab ./review/lab
