#!/bin/sh
# Builds the stand-ins that the scripts in review/4 and up start. They need no other packages.
set -eu
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
