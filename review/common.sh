# Shared by the scripts of the cases: a small deployment of the project's own
# daemons, started with the command of the deploy file, on loopback addresses.
# Source it with $case set to the folder of the case.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
out=$root/review/out
daemon=$root/target/apps/porttiller/porttiller
trouble=${TROUBLE:-1}
record=$case/record.txt
work=$(mktemp -d)
# An address of its own for each machine, with the same ports on all of them.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
declare -A daemons=()

cannot_run() {
  echo "the case could not run: $1"
  exit 2
}

# Ends all processes that the case started, by their ids.
clean_up() {
  local pid
  exec 2>/dev/null # the shell's notes on killed processes
  for pid in "${daemons[@]}" ${standin_pid:-}; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait || true
  rm -rf "$work"
}
trap clean_up EXIT

start_standins() {
  : >"$record"
  [ -x "$out/mesh_standin" ] || cannot_run "review/build.sh has not run"
  [ -x "$daemon" ] || cannot_run "the build of the deploy file has not run"
  coproc standin { exec "$out/mesh_standin" "$record"; }
  standin_pid=$standin_PID
}

# Sends a command to the stand-ins; its answer is in $answer.
say() {
  echo "$*" >&"${standin[1]}"
  read -r -t 30 answer <&"${standin[0]}" || cannot_run "no answer to: $*"
}

# Milliseconds since the stand-ins started.
now() {
  say time
  echo "$answer"
}

# sleep_until MS, on the clock of the stand-ins
sleep_until() {
  say time
  local left=$(($1 - answer))
  [ "$left" -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

ip_of() { echo "$net.$((10 + $1))"; }

# write_settings N FIRST_START: the fields of deploy/porttiller.json, filled in
# for machine N.
write_settings() {
  local ip
  ip=$(ip_of "$1")
  cat >"$work/node-$1.json" <<END
{
  "dialect": "mesh",
  "box": "sidecar-a-$1",
  "zone": "hall-a",
  "service": "ledger",
  "callers": { "address": "$ip:8147" },
  "peers": {
    "home_address": "$ip:8146",
    "control_address": "$ip:7380",
    "seeds": ["$(ip_of 0):8144", "$(ip_of 1):8144", "$(ip_of 2):8144"],
    "seed_port": 7380,
    "connections_per_box": 64
  },
  "admin_address": "$ip:9464",
  "readiness": { "address": "$ip:8141", "path": "/porttiller/ready" },
  "registration": { "address": "$ip:8144", "first_start": $2 },
  "platform_address": "$net.7:8142",
  "failing_servers": "break",
  "retries": { "share": 0.2, "burst": 56, "window_s": 10 },
  "workspace_limits": { "window_s": null, "over": null, "slack": null },
  "long_requests": { "min_target_ms": 4000 },
  "resources": { "memory_mb": 260, "descriptors": 4100 },
  "timing": { "drain_notice_ms": 2300, "apply_ms": 2000, "grace_s": 6 }
}
END
}

# start_node N FIRST_START
start_node() {
  write_settings "$1" "$2"
  (cd "$root" && PORTTILLER_CONFIG=$work/node-$1.json exec \
    target/apps/porttiller/porttiller --config-env PORTTILLER_CONFIG \
    >>"$work/node-$1.log" 2>&1) &
  daemons[$1]=$!
  say note "node $1 starts"
}

# signal_node N SIGNAL: sends it and waits until the process has ended.
signal_node() {
  say note "node $1 gets SIG$2"
  kill "-$2" "${daemons[$1]}"
  { wait "${daemons[$1]}" || true; } 2>/dev/null
  unset "daemons[$1]"
}

wait_ready() {
  local i
  for i in $(seq 150); do
    say get "$(ip_of "$1"):8141" /porttiller/ready
    [ "$answer" != 200 ] || return 0
    sleep 0.1
  done
  cannot_run "node $1 does not become ready"
}

route() { # NAME PREFIX KIND TIMEOUT_MS TARGET_MS
  printf '"%s":{"Host":"a.example","Prefix":"%s","Kind":"%s","TimeoutMs":%s,"TargetLatencyMs":%s,"Priority":0,"Service":"ledger","MaxAttempts":2}' "$@"
}

configure() {
  say config "{\"Version\":7,\"Routes\":{$(route once /once/ unsafe 2500 800),$(route safe /safe/ safe 2000 800)},\"Services\":{\"ledger\":{\"HealthPath\":\"/health\",\"MaxConnections\":330}},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}"
}

# start_deployment COUNT WORK_MS: machines 0 to COUNT - 1, each with a node and
# a server.
start_deployment() {
  local i
  start_standins
  say store "$net.7:8142"
  configure
  for i in $(seq 0 $(($1 - 1))); do
    start_node "$i" true
  done
  sleep 0.5
  for i in $(seq 0 $(($1 - 1))); do
    say server "s$i" "i-$i" ledger "$(ip_of "$i"):8145" "$(ip_of "$i"):8144" "$2"
  done
  for i in $(seq 0 $(($1 - 1))); do
    wait_ready "$i"
  done
  sleep 3
}
