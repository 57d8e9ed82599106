#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken.
exec "$(dirname "$0")/../play.sh" spoiled review/1
