#!/bin/sh
# Hundreds of changes; exits with 1 if the configuration cannot be read back or core processes keep ending.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] || exit 2
exec ../bin/standin many-changes
