#!/usr/bin/env bash
# Two of the four servers of alpha send bytes that are no answer without end, as
# body of what begins like an answer, until their caller closes. Clients on
# machines 3 to 6 place orders at alpha; clients on machines 1 and 2 look things
# up at beta, whose servers are sound.
set -u
trouble=${TROUBLE:-1}
source "$(dirname "$0")/../tools/fleet.sh"

start_store
configure "$case_folder/config.json"
for n in 1 2 3 4 5 6; do
  service=alpha
  [ "$n" -gt 4 ] && service=beta
  start_machine "$n" "$service" "z-$((n % 4))"
  start_server "$n" "$service" --slots 7 --work-ms 650 --mb-s 125
done
await_ready 1 2 3 4 5 6
sleep 3.5

note "clients start"
for n in 3 4 5 6; do
  start_client "$n" "order-$n" --method POST --path /order/7 --body-bytes 300 \
    --threads 5 --gap-ms 100 --for-ms 40000 --deadline-ms 12000
done
for n in 1 2; do
  start_client "$n" "look-$n" --path /look/2f --threads 6 --gap-ms 50 \
    --for-ms 40000 --deadline-ms 10000
done
sleep 5
if [ "$trouble" != 0 ]; then
  note "servers 1 and 2 send without end"
  for n in 1 2; do echo "${ENDLESS:-endless-body}" >"$folder/fault-$n"; done
fi
sleep 36.5
note "end"
keep_logs

judge_ends_and_lost
