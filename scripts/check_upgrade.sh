# The check of upgrades: processes of two versions side by side. Sourced by
# scripts/check. --from COMMIT names the other version; by default it is that of
# the last landing.

# Nine entry VMs and five control VMs of the other version are replaced one after
# the other, under streams, plain calls, calls that may not run twice, changes of
# the configuration and of the document, a withdrawn key and an endpoint that
# limits its requests: control VMs first, with a leader killed midway, then back
# to the other version with entry VMs first, then forward in mixed order.
check_upgrade() {
  local other limited_from arrived seconds_limited
  other=$(release_build "${from:-$(<support/previous-landing)}") || return 1
  upgrade_deployment "$other" || return 1
  start_upgrade_load
  limited_from=$SECONDS
  changes=0 stale=0 denied=0 cut=0 revoked=0
  replace_all "$root" "$build" "$(control_names) $(entry_names)" 3
  replace_all "$other/source" "$other" "$(entry_names) $(control_names)"
  replace_all "$root" "$build" "$(mixed_names)"
  seconds_limited=$((SECONDS - limited_from))
  arrived=$(arrivals_at naplo-app-1)
  wait "$load_pid"
  local version document
  version=$(operator --json true status | grep -oE '"version":[0-9]+' | tail -n 1 | cut -d: -f2)
  document=$(entry_metric 1 pollenloft_document_number)
  facts="$facts seconds=$seconds_limited changes=$changes version=$version document=$document"
  facts="$facts stale=$stale denied=$denied revoked_served=$revoked cut=$cut"
  facts="$facts served=$(value served) of=$(value requests) unknown=$(value unknown) not_run=$(value not_run)"
  facts="$facts limited=$arrived"
  answers_correct && ((stale + denied + revoked + cut == 0)) &&
    ((version == changes + 1 && document == changes + 1)) &&
    ((arrived <= limit_per_second * seconds_limited * 3 / 2 + 5)) &&
    [[ $(value served) == $(value requests) ]]
}
limit_per_second=5

control_names() { echo control-{1..5}; }
entry_names() { echo entry-{1..9}; }
mixed_names() {
  echo entry-{1..2} control-1 entry-3 control-{2..3} entry-{4..6} control-4 \
    entry-7 control-5 entry-{8..9}
}

upgrade_deployment() { # FOLDER of the version that runs first
  work=$(mktemp -d)
  control_count=5
  control_list="1=127.0.1.1:7101,2=127.0.1.4:7102,3=127.0.1.7:7103,4=127.0.1.10:7104,5=127.0.1.13:7105"
  front_flags="--retry-slack 1000 --drain-notice-ms 500 --key-freshness-ms 1500"
  local i name
  for name in $(control_names) $(entry_names); do
    start_version "$1/source" "$1" "$name"
  done
  wait_for 20 operator status || return 1
  "$build/pollenloft-standin" --fleet kincsnaplo --show patch >"$work/patch.json"
  operator --base 0 --id first-services config apply "$work/patch.json" \
    >"$work/apply.out" || return 1
  start_standin kincsnaplo "$seed"
  upgrade_document 1 >"$work/document-1"
  wait_for 20 document_accepted 1 || return 1
  for i in {1..9}; do
    wait_for 20 entry_ready "$i" || return 1
    wait_for 20 endpoints_known "$i" 43 || return 1
  done
  fault naplo-app-1 limit "$limit_per_second"
}
start_version() { # SOURCE-FOLDER BUILD-FOLDER PROCESS
  local start=start_platform_control
  [[ $3 == entry-* ]] && start=start_front_entry
  root=$1 build=$2 "$start" "${3#*-}"
}
start_upgrade_load() {
  load_in_background --requests 13000 --rate 100 --plain-percent 30 \
    --resend-percent 20 --tokens 16 --retry-refused true
}
replace_all() { # SOURCE-FOLDER BUILD-FOLDER PROCESSES [LOST: kill a leader after so many]
  local name replaced=0
  for name in $3; do
    if ((replaced == ${4:-0} && replaced > 0)); then
      replace_leader "$1" "$2"
    fi
    kill_process "$name" TERM
    wait "${pids[$name]}" || cut=$((cut + 1))
    unset "pids[$name]"
    start_version "$1" "$2" "$name"
    replaced=$((replaced + 1))
    change_all
  done
  check_withdrawn_key
}
# The next process replaced may be the same one. A SIGTERM before it handles
# signals would end it with a code that counts as a cut.
replace_leader() { # SOURCE-FOLDER BUILD-FOLDER: the leader is lost without a stop
  local leader starts
  leader=$(leader_number)
  kill_hard "control-$leader"
  starts=$(starts_of "control-$leader")
  start_version "$1" "$2" "control-$leader"
  wait_for 15 has_started "control-$leader" "$starts"
}
starts_of() { grep -c event=started "$work/$1.log"; }
has_started() { (($(starts_of "$1") > $2)); } # PROCESS STARTS-BEFORE

# One change of the configuration and one of the document; both must be in force
# on all VMs that are ready 0.8 s later.
change_all() {
  local number=$((changes + 2))
  echo "{\"accounts\":{\"upgrade-$number\":{\"token\":\"upgrade-$number\"}}}" \
    >"$work/change.json"
  wait_for 15 change_accepted "$number" || return
  upgrade_document "$number" >"$work/document-$number"
  wait_for 15 document_accepted "$number" || return
  changes=$((changes + 1))
  sleep 0.8
  local i
  for i in {1..9}; do ask_new_route "$i" "$number"; done
}
change_accepted() { # NUMBER
  operator --base $(($1 - 1)) --id "upgrade-$1" config apply "$work/change.json"
}
ask_new_route() { # VM NUMBER
  local code
  entry_ready "$1" || return
  code=$(curl -s -m 5 -H 'Host: app.example' -H 'Api-Key: kept' -d "new $1 $2" \
    -o "$work/new.out" -w '%{http_code}' "http://$(front_address "$1")/r$2/x")
  case $code in
    200 | 503) ;;
    404 | 401) stale=$((stale + 1)) ;;
    *) denied=$((denied + 1)); echo "vm $1 document $2: $code" >&2 ;;
  esac
}
check_withdrawn_key() { # the key of the latest document is the only one
  local i code
  for i in {1..9}; do
    code=$(curl -s -m 5 -H 'Host: app.example' -H "Api-Key: key-$changes" -d old \
      -o "$work/old.out" -w '%{http_code}' "http://$(front_address "$i")/r1/x")
    [[ $code == 200 ]] && revoked=$((revoked + 1))
  done
}
upgrade_document() { # NUMBER: its routes, a key that stays and one of its own
  local i
  cat <<DOCUMENT
{"Version": $1, "Services": [{"Name": "naplo-app"}], "Limits": {},
 "Tenants": [{"Name": "a", "ApiKeys": ["kept", "key-$1"]}], "Routes": [
DOCUMENT
  for ((i = 1; i <= $1; i++)); do
    ((i == 1)) || echo ","
    cat <<DOCUMENT
{"Name": "r$i", "Hostname": "app.example", "PathPrefix": "/r$i/",
 "Type": "idempotent", "TimeoutMs": 5000, "SloMs": 500, "Attempts": 3,
 "Priority": 1, "Public": false, "Backend": "naplo-app"}
DOCUMENT
  done
  echo "]}"
}

# A control VM starts on the data folder that the last landing wrote.
check_recorded_data() {
  work=$(mktemp -d)
  control_list="1=127.0.1.1:7101"
  cp -r test/recorded/data "$work/data-1"
  control_flags="--platform-listen 127.0.5.1:7200" start_control 1
  wait_for 20 operator status || return 1
  local version document
  version=$(operator --json true config show | grep -oE '"a-[01]"' | sort -u | wc -l)
  document=$(curl -s http://127.0.5.1:7200/config | grep -oE '"Version": 7')
  facts=" accounts=$version document=${document##* }"
  [[ $version == 2 && $document == '"Version": 7' ]]
}
