#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. A play that is broken off exits with 2.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../play-2.sh" lone "$folder"
