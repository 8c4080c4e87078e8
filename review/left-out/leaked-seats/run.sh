#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../../play-2.sh" review-2/release/leaked-seats "$here/record.txt"
