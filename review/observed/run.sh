#!/usr/bin/env bash
# The only head of a model is lost while whole answers are asked of it. TROUBLE=0: it is not lost.
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
exec timeout --preserve-status -k 8 110 python3 lost_head.py
