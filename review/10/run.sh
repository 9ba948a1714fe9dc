#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/cardamompondd ] && [ -x build-review-2/case-10 ] || exit 2
exec build-review-2/case-10 review/10/record.txt
