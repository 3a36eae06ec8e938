#!/bin/bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it does the
# same without the disruption.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 115 ../../target/review/standins surplus record.txt ../../target/rockwind-site
