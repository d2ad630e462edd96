#!/bin/sh
exec "$(dirname "$0")/../common-2/run.sh" 10
