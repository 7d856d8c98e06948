#!/bin/sh
# Plays the case "same-hash" (review/second/samehash.go). Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jacinthnotchd ] && [ -x target/review-2/rig ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2/rig same-hash target/jacinthnotchd review/10/record.txt
