# Sourced by ./demo: reads a build's output from standard input, shows its progress in per cent (a full build takes
# two minutes or more) and writes all lines to the file $1. Shows nothing if all targets are up to date.
progress() {
  local line last=-1
  while IFS= read -r line; do
    printf '%s\n' "$line" >> "$1"
    [[ $line =~ ^\[\ *([0-9]+)%\]\ (Building|Linking|Generating|Running) ]] || continue
    # Targets that are built in parallel report percentages out of order.
    ((BASH_REMATCH[1] > last)) || continue
    last=${BASH_REMATCH[1]}
    if [[ -t 1 ]]; then
      printf '\rdemo: building, %3d%%' "$last"
    elif ((last % 20 == 0)); then
      printf 'demo: building, %d%%\n' "$last"
    fi
  done
  if [[ -t 1 ]] && ((last >= 0)); then printf '\n'; fi
}
