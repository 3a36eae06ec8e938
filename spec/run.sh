#!/usr/bin/env bash
# Runs each check of checks.txt with spin and prints its verdict. Exits 1 unless
# every search was complete and every verdict is the expected one.
#
#   run.sh            run all checks, JOBS at a time (4)
#   run.sh --one ...  run one check: number, specification, expectation, flags
set -euo pipefail
cd "$(dirname "$0")"
self="$PWD/run.sh"

readonly depth_limit=400000  # steps
readonly memory_limit=3000   # MB for each check
readonly time_limit=300      # seconds for each check

# build <folder> <specification> <expectation> <flags...>: makes the checker in the
# folder. A search that ends at a violation is short, and so is its compilation.
build() {
  local folder=$1 specification=$2 optimisation=-O2 flag name
  [ "$3" = violated ] && optimisation=-O1
  shift 3
  for flag in "$@"; do
    name=${flag#-D}
    name=${name%%=*}
    grep -qw -- "$name" "$specification.pml" || { echo "unknown flag $flag"; return 1; }
  done
  cp "$specification.pml" "$folder/"
  (cd "$folder" &&
    spin -a "$@" "$specification.pml" >spin.log 2>&1 &&
    ! grep -qi 'error' spin.log &&
    gcc $optimisation -w -DSAFETY -DNOREDUCE -DMEMLIM=$memory_limit -o checker pan.c >gcc.log 2>&1) ||
    { echo "not built"; cat "$folder"/spin.log "$folder"/gcc.log 2>/dev/null; return 1; }
}

# judge <log>: prints hold, violated or incomplete.
judge() {
  if ! grep -q 'errors: ' "$1" || grep -qiE 'max search depth too small|out of memory|reached -DMEMLIM|-DVECTORSZ|hint:' "$1"; then
    echo incomplete
  elif grep -q 'assertion violated' "$1" && ! grep -q 'errors: 0' "$1"; then
    echo violated
  elif grep -q 'errors: 0' "$1" && ! grep -q 'Search not completed' "$1"; then
    echo hold
  else
    echo incomplete
  fi
}

run_one() {
  local number=$1 specification=$2 expected=$3 folder states depth seconds verdict result
  shift 3
  folder="build/$number-$specification"
  rm -rf "$folder"
  mkdir -p "$folder"
  if ! build "$folder" "$specification" "$expected" "$@" >"$folder/build.log" 2>&1; then
    printf '%-14s %-10s FAILED: %s %s\n' "$specification" "$expected" "$(head -c 600 "$folder/build.log")" "$*"
    return 1
  fi
  (cd "$folder" && timeout $time_limit ./checker -E -m$depth_limit -w22 >checker.log 2>&1) || true
  verdict=$(judge "$folder/checker.log")
  states=$(awk '/states, stored/ {print $1; exit}' "$folder/checker.log")
  depth=$(sed -nE 's/.*depth reached ([0-9]+).*/\1/p' "$folder/checker.log" | head -1)
  seconds=$(sed -nE 's/.*elapsed time ([0-9.e+]+) seconds.*/\1/p' "$folder/checker.log" | head -1)
  result=ok
  [ "$verdict" = "$expected" ] || result=UNEXPECTED
  printf '%-14s %-10s %-10s %10s states %7s deep %6ss %-10s %s\n' \
    "$specification" "$expected" "$verdict" "${states:--}" "${depth:--}" "${seconds:--}" "$result" "$*"
  [ "$result" = ok ]
}

if [ "${1:-}" = --one ]; then
  shift
  run_one "$@"
  exit
fi

command -v spin >/dev/null || { echo "spin is not installed: run 'apt-get install spin'"; exit 1; }
checks=$(grep -vE '^[[:space:]]*(#|$)' checks.txt | awk '{print NR, $0}')
printf '%-14s %-10s %-10s\n' specification expected found
status=0
echo "$checks" | xargs -P "${JOBS:-4}" -d '\n' -I{} bash -c "exec bash '$self' --one {}" || status=1
count=$(echo "$checks" | wc -l)
if [ $status -ne 0 ]; then
  echo "specifications: of $count checks at least one has failed"
  exit 1
fi
echo "specifications: $count checks, all as expected"
