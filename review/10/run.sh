#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-10
[ -x "$program" ] && [ -x target/release/thistle-scheduler ] || exit 2
dir=$(mktemp -d) || exit 2
end_all() {
  if [ -f "$dir/pids" ]; then
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$dir/pids"
  fi
  [ -n "${KEEP_LOGS:-}" ] && cp "$dir"/*.log "$KEEP_LOGS"/
  rm -rf "$dir"
}
trap end_all EXIT
"$program" review/10 "$dir"
