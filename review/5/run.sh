#!/usr/bin/env bash
# A server of alpha leaves, and its machine acknowledges that. Half a second
# later the processes of all machines are killed and start again. A heartbeat
# that the server had sent just before it left arrives seconds late. Clients on all
# machines place orders at alpha all the time.
set -u
source "$(dirname "$0")/../tools/fleet.sh"

start_store
configure "$case_folder/config.json"
for n in 1 2 3; do
  start_machine "$n" alpha "z-$n"
  start_server "$n" alpha --slots 7 --work-ms 650 --late-ms 2500 \
    --stay-ms 6000
done
await_ready 1 2 3
sleep 3.5

note "clients start"
for n in 1 2 3; do
  start_client "$n" "order-$n" --method POST --path /order/7 --body-bytes 300 \
    --threads 4 --gap-ms 100 --for-ms 19000 --deadline-ms 12000
done
sleep 3
note "server 1 leaves"
echo leave >"$folder/fault-1"
for _ in $(seq 100); do
  grep -q 'leave i-1 acknowledged' "$record" && break
  sleep 0.05
done
grep -q 'leave i-1 acknowledged' "$record" || cannot_run "no acknowledgement"
sleep 0.5
if [ "$trouble" != 0 ]; then
  note "all processes are killed"
  for n in 1 2 3; do kill -KILL "$(daemon_of "$n")"; done
fi
sleep 14
note "end"
keep_logs

# DRAIN: a request reaches a server later than drain_s (2 s) after a machine in
# touch acknowledged that it is gone, taken from the client and sent on by
# machines in touch: they have run for stable_window_s (3 s).
late=$(awk '
  $2 == "leave" && $4 == "acknowledged" { left = $1 }
  $2 == "machine" && $4 == "started" { up = $1 }
  $2 == "sent" { sent[$3] = $1 }
  $2 == "run" && $3 == "i-1" && left && $1 > left + 2000 && $1 > up + 3000 &&
    sent[$4] > up + 3000 { ++late }
  END { print late + 0 }' "$record")
cut=$(awk '
  $2 == "leave" && $4 == "acknowledged" { left = $1 }
  $2 == "run" && $3 == "i-1" && left && $1 > left + 2000 { at[$4] = 1 }
  $2 == "answer" && at[$3] && $4 != 200 { ++cut }
  END { print cut + 0 }' "$record")
answered=$(grep -c ' answer .* 200 ' "$record")
echo "answered: $answered, reached the server that had left: $late"
echo "of these not answered with success: $cut"
[ "$answered" -gt 50 ] || exit 2
[ "$late" -gt 0 ] && exit 1
exit 0
