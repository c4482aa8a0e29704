#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/limits
if [ ! -x target/release/hemlockd ] || [ ! -x "$program" ]; then
	echo "build the deploy file's programs and run review/build-3.sh first"
	exit 2
fi
folder=$(mktemp -d) || exit 2
"$program" "$folder" "review/15/record.txt"
result=$?
rm -rf "$folder"
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
