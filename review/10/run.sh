#!/usr/bin/env bash
# Plays the case; claim.txt tells what it shows. Writes record.txt beside it.
cd "$(dirname "$0")" && exec node case.mjs "$PWD/record.txt"
