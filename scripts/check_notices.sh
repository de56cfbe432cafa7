# Checks of what endpoints state of themselves in their responses: request
# limits, that they leave, pauses. Sourced by scripts/check.

# An endpoint names a limit on the requests that it takes from all VMs together,
# while callers at some VMs ask far more often than at others. Counts what reaches
# it in 4 s, from 3 s after it has named the limit, on each path.
check_request_limit() { notice_deployment && both_paths limit_holds; }
limit_holds() { # front|own
  local callers round arrived=() limit=5 allowed used answers served
  allowed=$((limit * 4 * 3 / 2 + 5))
  used=$((limit * 4 * 7 / 10))
  ask_unevenly "$1" 14 &
  callers=$!
  sleep 2
  fault naplo-app-1 limit "$limit"
  sleep 3.5
  for round in 1 2; do
    arrived+=("$(count_arrivals naplo-app-1 4)")
  done
  fault naplo-app-1 limit -1
  wait "$callers"
  facts="$facts $1: arrived=${arrived[*]} allowed=$allowed least=$used"
  count_answers "$1"
  for round in "${arrived[@]}"; do
    ((round <= allowed && round >= used)) || return 1
  done
}
arrivals_at() { # ENDPOINT
  curl -s http://127.0.2.1:9000/ledger | grep -oE '"arrivals":\{[^}]*\}' |
    grep -oE "\"$1\":[0-9]+" | cut -d: -f2
}
# 30 requests a second at the first of nine VMs, 4 or another rate at the others.
ask_unevenly() { # front|own SECONDS [RATE of the other VMs]
  local vm callers=()
  for ((vm = 1; vm <= entry_count; vm++)); do
    ask_at_rate "$1" "$vm" $((vm == 1 ? 30 : ${3:-4})) "$2" &
    callers+=($!)
  done
  wait "${callers[@]}"
  cat "$work/limit-$1-"*.codes >"$work/limit-$1.codes"
}
ask_at_rate() { # front|own VM RATE SECONDS
  local url
  url="http://$(front_address "$2")/app/limited"
  [[ $1 == own ]] && url="http://$(entry_address "$2")/services/naplo-app/limited"
  curl -s --rate "$3/s" -m 8 -H 'Host: app.example' \
    -H 'Authorization: Bearer token-1' -d "limited $2" -w '%{http_code}\n' \
    -o "$work/limited-$2.out" "$url?[1-$(($3 * $4))]" \
    >"$work/limit-$1-$2.codes" 2>"$work/limit-$1-$2.err"
}

notice_deployment() {
  front_deployment || return 1
  "$build/pollenloft-standin" --fleet kincsnaplo --show patch >"$work/patch.json"
  operator --base 0 --id first-services config apply "$work/patch.json" \
    >"$work/apply.out" || return 1
  kill_hard restarter
}
both_paths() { # FUNCTION: on the front, then on the own interface
  local holds=1
  "$1" front naplo-app-1 || holds=0
  "$1" own naplo-app-2 || holds=0
  ((holds))
}
count_arrivals() { # ENDPOINT SECONDS: prints how many requests it gets in them
  local before
  before=$(arrivals_at "$1")
  sleep "$2"
  echo $(($(arrivals_at "$1") - before))
}
count_answers() { # front|own
  answers=$(grep -c . "$work/limit-$1.codes")
  served=$(grep -c '^200' "$work/limit-$1.codes")
  facts="$facts answers=$answers served=$served"
}
all_served() { # front|own
  local answers served
  count_answers "$1"
  ((answers > 0 && served == answers))
}

# An endpoint says in its answers alone that it leaves; its heartbeats go on. Half
# of the platform's bound of 2 s later no VM sends it a request, also after the
# leader is lost. Its next process gets requests again.
check_leaving_answers() { notice_deployment && both_paths leaving_holds; }
leaving_holds() { # front|own ENDPOINT
  local asking later leaderless back leader
  ask_unevenly "$1" 14 &
  asking=$!
  sleep 2
  fault "$2" say-leaving
  sleep 1
  later=$(count_arrivals "$2" 2)
  leader=$(leader_number)
  kill_hard "control-$leader"
  leaderless=$(count_arrivals "$2" 3)
  start_platform_control "$leader"
  fault "$2" restart
  sleep 2
  back=$(count_arrivals "$2" 2)
  wait "$asking"
  facts="$facts $1: later=$later leaderless=$leaderless back=$back"
  all_served "$1" && ((later == 0 && leaderless == 0 && back > 0))
}

# An endpoint refuses requests and asks each VM for a pause. From half a second
# after its refusals on it gets none until the end, and is used again then.
check_pause() { notice_deployment && both_paths pause_holds; }
pause_holds() { # front|own ENDPOINT
  local asking during back listed
  ask_unevenly "$1" 14 8 &
  asking=$!
  sleep 2
  fault "$2" pause 6
  sleep 1.5
  operator endpoints >"$work/endpoints.out"
  sleep 0.3 # by then each VM has been refused once, but for 2 in 100 runs
  during=$(count_arrivals "$2" 4)
  listed=$(grep -cE "^$2 .* up +[1-9]" "$work/endpoints.out")
  sleep 3
  back=$(count_arrivals "$2" 2)
  wait "$asking"
  facts="$facts $1: during=$during back=$back listed=$listed"
  all_served "$1" && ((during <= 2 && back > 0 && listed == 1))
}

# All endpoints of a service pause: callers are refused at once with the time of
# the end, and served when they return then.
check_pause_all() { notice_deployment && both_paths pause_all_holds; }
pause_all_holds() { # front|own
  local i url slowest retry refused=0 served
  for i in 1 2 3; do fault "naplo-app-$i" pause 4; done
  url="http://$(front_address 5)/app/paused"
  [[ $1 == own ]] && url="http://$(entry_address 5)/services/naplo-app/paused"
  for i in 1 2 3 4 5 6; do
    ask_paused "$1" "$i" "$url"
  done >"$work/paused-$1.codes"
  refused=$(grep -c '^503' "$work/paused-$1.codes")
  slowest=$(sort -k2 -n "$work/paused-$1.codes" | tail -1 | cut -d' ' -f2)
  retry=$(grep -i '^Retry-After' "$work/paused-$1-6.headers" | tr -dc '0-9.')
  sleep "$retry"
  served=$(ask_paused "$1" 7 "$url" | cut -d' ' -f1)
  facts="$facts $1: refused=$refused slowest_s=$slowest retry_after_s=$retry later=$served"
  ((refused == 6)) && [[ $served == 200 ]] &&
    awk -v s="$slowest" -v r="$retry" 'BEGIN { exit !(s < 0.5 && r > 1 && r < 15) }'
}
ask_paused() { # front|own NUMBER URL: prints the status and the time
  curl -s -m 8 -H 'Host: app.example' -H 'Authorization: Bearer token-1' \
    -d "paused $1 $2" -D "$work/paused-$1-$2.headers" -o "$work/paused.out" \
    -w '%{http_code} %{time_total}\n' "$3"
}
