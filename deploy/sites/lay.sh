#!/bin/sh
# Copies what the bench needs beside our site files: lay.sh FOLDER-OF-THE-OPERATORS-SITES. The copies are not committed.
set -eu
from=$1
to=$(dirname "$0")
for file in real.json wire.json unlock.txt; do
    cp "$from/$file" "$to/$file"
    chmod u+w "$to/$file"
done
