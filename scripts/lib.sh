# Shared by scripts/demo, scripts/check and scripts/bench: starts the processes
# of a deployment on loopback addresses and stops only these processes.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${POLLENLOFT_BUILD:-$root/build}
work=
declare -A pids=()

entry_count=9
control_list="1=127.0.1.1:7101,2=127.0.1.4:7102,3=127.0.1.7:7103"

entry_address() { echo "127.0.1.$1:8080"; }
control_address() { echo "127.0.1.$((3 * $1 - 2)):710$1"; }
entry_zone() { echo "zone-$((($1 - 1) / 3 + 1))"; }
entry_list() {
  local list= i
  for ((i = 1; i <= entry_count; i++)); do
    list="$list${list:+,}e$i=$(entry_address "$i")"
  done
  echo "$list"
}

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

start_control() { # NUMBER
  start_process "control-$1" "$build/pollenloft-controld" --id "$1" \
    --listen "$(control_address "$1")" --peers "$control_list" \
    --data "$work/data-$1" ${control_flags:-}
}

start_entry() { # NUMBER
  start_process "entry-$1" "$build/pollenloft-entryd" --vm "vm-$1" \
    --zone "$(entry_zone "$1")" --listen "$(entry_address "$1")" \
    --control "$control_list" --charts "$root/charts" --seed "$1" \
    ${entry_flags:-}
}

start_standin() { # FLEET SEED
  fleet=$1
  start_process standin "$build/pollenloft-standin" --fleet "$1" \
    --entries "$(entry_list)" --seed "$2"
}

operator() { "$build/pollenloft" --control "$control_list" "$@"; }
load() {
  "$build/pollenloft-load" --fleet "$fleet" --entries "$(entry_list)" "$@"
}
fault() { # ENDPOINT FAULT [FACTOR]
  curl -s -o "$work/fault.out" -X POST http://127.0.2.1:9000/fault \
    -d "{\"endpoint\":\"$1\",\"fault\":\"$2\",\"factor\":${3:-1}}"
}

# Builds the daemons of an earlier version from the repository's history.
release_build() { # COMMIT: prints the folder of its daemons
  local folder=$root/build/releases/$1
  mkdir -p "$folder/source"
  git -C "$root" archive "$1" | tar -x -C "$folder/source" || return 1
  cmake -S "$folder/source" -B "$folder" -G Ninja >"$folder/cmake.out" || return 1
  ninja -C "$folder" --quiet pollenloft-entryd pollenloft-controld \
    >"$folder/ninja.out" || return 1
  echo "$folder"
}

wait_for() { # SECONDS COMMAND...
  local until=$((SECONDS + $1))
  shift
  until "$@" >>"$work/wait.out" 2>&1; do
    ((SECONDS < until)) || { echo "timed out: $*" >&2; return 1; }
    sleep 0.1
  done
}

entry_ready() { curl -sf -o "$work/ready.out" "http://$(entry_address "$1")/readyz"; }
endpoints_known() { # NUMBER COUNT
  curl -s "http://$(entry_address "$1")/metrics" |
    grep -q "^pollenloft_endpoints_known $2\$"
}

# Starts 3 control VMs, the entry VMs and pollenloft-standin, applies the
# configuration of its fleet and waits until all entry VMs know all endpoints.
start_deployment() { # FLEET SEED
  work=$(mktemp -d)
  local i
  for i in 1 2 3; do start_control "$i"; done
  for ((i = 1; i <= entry_count; i++)); do start_entry "$i"; done
  wait_for 20 operator status || return 1
  "$build/pollenloft-standin" --fleet "$1" --show patch >"$work/patch.json"
  operator --base 0 --id first-services config apply "$work/patch.json" \
    >"$work/apply.out" || return 1
  start_standin "$1" "$2"
  for ((i = 1; i <= entry_count; i++)); do
    wait_for 20 entry_ready "$i" || return 1
    wait_for 20 endpoints_known "$i" 43 || return 1
  done
}

kill_process() { # NAME [SIGNAL]
  kill "-${2:-KILL}" "${pids[$1]}"
}
kill_hard() { # NAME
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null
  unset "pids[$1]"
}

stop_all() {
  local name
  [[ $BASHPID == $$ ]] || return 0 # a subshell that ends leaves the processes
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null
    kill -KILL "${pids[$name]}" 2>/dev/null
  done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null; done
  pids=()
  if [[ -n $work && -z ${POLLENLOFT_KEEP:-} ]]; then rm -rf "$work"; fi
}
trap stop_all EXIT
trap 'exit 143' INT TERM
