#!/usr/bin/env bash
# A server leaves while the store is away, and its node is stopped and started
# again soon after it has acknowledged that. See claim.txt. STOP=KILL kills the
# node's process instead.
set -eu
case=$(cd "$(dirname "$0")" && pwd)
source "$case/../common.sh"

drain_ms=2000   # DrainMs
contact_ms=3000 # ContactMs

start_deployment 3 20
for i in 0 1 2; do
  say clients "c$i" "$(ip_of "$i"):8147" 4
done
sleep 1
start=$(now)
store_back=0
[ "$trouble" = 0 ] || say store-down 1
sleep_until $((start + 300))
say leave s0
left=$answer
[ "$left" != none ] || cannot_run "the leave call was not acknowledged"
sleep_until $((left + 300))
signal_node 0 "${STOP:-TERM}"
sleep 0.2
start_node 0 false
restarted=$(now)
if [ "$trouble" != 0 ]; then
  sleep_until $((start + 4500))
  say store-down 0
  store_back=$(now)
fi
sleep_until $((left + 10000))
say end s0
ended=$(now)
sleep 2
say stop-clients

# From here on the nodes that pass requests on are in touch again.
from=$((left + drain_ms))
for moment in "$restarted" "$store_back"; do
  [ $((moment + contact_ms)) -le "$from" ] || from=$((moment + contact_ms))
done
late=$(awk -v from="$from" '$1 > from && /server s0: request .* arrives/' "$record" | wc -l)
served=$(awk -v from="$from" '$1 > from && /got 200/' "$record" | wc -l)
echo "leave acknowledged at $left ms, in touch from $from ms, server ended at $ended ms"
echo "requests that reached the server in between: $late; answered in all: $served"
[ "$served" -gt 50 ] || cannot_run "the deployment does not serve"
[ "$late" -eq 0 ]
