#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 plays it without the disruption.
. "$(dirname "$0")/../standins/run.sh"
play Pipeline "$(dirname "$0")"
