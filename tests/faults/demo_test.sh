#!/bin/sh
# usage: demo_test.sh DEMO ROUTER LIBRARY ONE_IN SEED
# Runs the demo's requests against a router in which one of ONE_IN system calls fails. All 200 requests over HTTP and
# all 200 over RESP must be served.
set -eu
demo=$1 router=$2 library=$3 one_in=$4 seed=$5
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
port=$((20000 + $$ % 6000 * 2)) # below the ephemeral port range
faults=""
for call in socket bind listen connect accept watch wait loop client_receive client_send server_receive server_send; do
  faults="$faults$call/$one_in "
done
cat >"$folder/router" <<END
#!/bin/sh
STREAMPICK_FAULTS="$faults" STREAMPICK_FAULTS_SEED=$seed LD_PRELOAD="$library" \\
  ASAN_OPTIONS=verify_asan_link_order=0 exec "$router" "\$@"
END
chmod +x "$folder/router"
"$demo" --once --http "$port" --resp $((port + 1)) --router "$folder/router" --log "$folder/log" >"$folder/out" || {
  cat "$folder/out" "$folder/log"
  exit 1
}
cat "$folder/out"
test "$(grep -c '200 served, 0 refused, 0 failed' "$folder/out")" = 2 || {
  cat "$folder/log"
  exit 1
}
