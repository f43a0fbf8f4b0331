#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
rm -f "$folder/record.txt"
PYTHONPATH=. python3 "$folder/case.py"
case "$(tail -n 1 "$folder/record.txt" 2>/dev/null)" in
    *" s  broken") exit 1 ;;
    *" s  held") exit 0 ;;
    *) exit 2 ;;
esac
