#!/bin/sh
# Builds the stand-ins and checks that the scripts of review/ start. They use the standard library only.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked
