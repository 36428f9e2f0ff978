#!/usr/bin/env bash
# Lookups that take 2.3 s fill the slots of alpha's only server; more of them wait
# at its machine. The machine where they all began is stopped while they wait.
set -u
trouble=${TROUBLE:-1}
source "$(dirname "$0")/../tools/fleet.sh"

start_store
configure "$case_folder/config.json"
start_machine 1 beta z-1
start_server 1 beta --slots 7 --work-ms 200
start_machine 2 alpha z-2
start_server 2 alpha --slots 7 --work-ms 200
await_ready 1 2
sleep 3.5

note "lookups that take 0.85 s"
start_client 1 short --path /look/w850 --threads 3 --gap-ms 20 --for-ms 4000
wait "$last"
note "lookups that take 2.3 s"
start_client 1 look --path /look/w2300 --threads 14 --requests 1 \
  --deadline-ms 10000 --for-ms 1000
looks=$last
sleep 0.25
[ "$trouble" = 0 ] || terminate 1
wait "$looks"
note "end"
keep_logs

# LOST: after the SIGTERM a lookup at which its server is at work is broken off and
# gets an answer of the fleet's own, although its deadline and its route's timeout
# (10 s) aren't reached and the last sixth of the grace period (6 s) has not begun.
lost=$(awk '
  $2 == "case" && $3 == "SIGTERM" { stop = $1 }
  $2 == "sent" { sent[$3] = $1 }
  $2 == "dropped" && stop && $1 > stop && $1 < stop + 5000 { cut[$4] = $1 }
  $2 == "done" { done[$4] = 1 }
  ($2 == "answer" && $6 == "unsigned") || $2 == "closed" { own[$3] = $1 }
  END {
    for (id in own)
      if (cut[id] && !done[id] && own[id] < sent[id] + 9900)
        ++lost
    print lost + 0
  }' "$record")
served=$(grep -c ' answer look.* 200 .* signed' "$record")
echo "lookups answered with success: $served, broken off: $lost"
[ "$(grep -c ' answer short.* 200 ' "$record")" -gt 5 ] || exit 2
[ "$lost" = 0 ] || exit 1
exit 0
