#!/bin/sh
# A backend leaves with DELETE, its node is killed, and a ping arrives late; exits with 1 if the backend gets work.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] || exit 2
exec ../bin/standin late-ping
