# Sourced by ./demo: shows the per cents of a build as they come, since one from nothing takes two minutes or more.
# Keeps all lines in the file $1. Only what is really built counts: where all is up to date nothing is shown.
progress() {
  local line last=-1
  while IFS= read -r line; do
    printf '%s\n' "$line" >> "$1"
    [[ $line =~ ^\[\ *([0-9]+)%\]\ (Building|Linking|Generating|Running) ]] || continue
    # Targets built side by side don't count in order.
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
