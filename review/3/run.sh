#!/bin/sh
# TROUBLE=0 runs the same without the disruption.
exec sh "$(dirname "$0")/../common/run.sh" "$(dirname "$0")"
