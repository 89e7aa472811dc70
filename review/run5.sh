#!/usr/bin/env bash
# Plays a case once with TROUBLE=0 and then five times, and keeps what it prints in results.txt.
cd "$(dirname "$0")/$1" || exit 2
{
    echo "== run with TROUBLE=0"
    TROUBLE=0 ./run.sh 2>&1
    echo "exit code $?"
    for n in 1 2 3 4 5; do
        echo "== run $n"
        ./run.sh 2>&1 | cut -c1-220 | awk '/^BROKEN/ && ++shown > 3 { more++; next } { print } END { if (more) print "(" more " more lines of BROKEN)" }'
        echo "exit code ${PIPESTATUS[0]}"
    done
} >results.txt
grep -c '^exit code 1' results.txt
