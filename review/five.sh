#!/bin/sh
# Runs a case five times with its disruption and once without it, and prints the exit codes.
# usage: review/five.sh N
cd "$(dirname "$0")"
for run in 1 2 3 4 5; do
  "$1/run.sh"
  echo "case $1, run $run: exit code $?"
done
TROUBLE=0 "$1/run.sh"
echo "case $1, TROUBLE=0: exit code $?"
