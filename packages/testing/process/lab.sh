# The fixture of process tests and of the demonstration: starts stand-ins and daemons on free ports of
# the loopback interface, in a directory of its own, and ends them by pid.
#
#     source lab.sh BIN_DIRECTORY
#     lab_platform
#     lab_workers rs-poa 2
#     lab_runners rs-poa loan-desk 2
#     lab_daemon entry-1 rs-poa sul-rs
#     lab_registered

set -euo pipefail

LAB_BIN=$1
LAB_DIR=$(mktemp -d)
LAB_PIDS=()
declare -A LAB_PID LAB_CALLERS LAB_READINESS LAB_AGENT

lab_cleanup() {
    local pid
    for pid in "${LAB_PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$LAB_DIR"
}
trap lab_cleanup EXIT

lab_fail() {
    echo "FAILED: $*" >&2
    tail -n 20 "$LAB_DIR"/*.log >&2 || true
    exit 1
}

# lab_until SECONDS COMMAND...: waits until the command succeeds.
lab_until() {
    local limit=$1 deadline
    shift
    deadline=$((SECONDS + limit))
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $deadline ] || lab_fail "within $limit s: $*"
        sleep 0.05
    done
}

# lab_start NAME PROGRAM ARGS...: starts a program that writes its endpoints to NAME.endpoints.
lab_start() {
    local name=$1 program=$2
    shift 2
    rm -f "$LAB_DIR/$name.endpoints"
    "$LAB_BIN/$program" --endpoints-file "$LAB_DIR/$name.endpoints" "$@" >>"$LAB_DIR/$name.log" 2>&1 &
    LAB_PID[$name]=$!
    LAB_PIDS+=($!)
    lab_until 20 test -s "$LAB_DIR/$name.endpoints"
}

# lab_endpoint NAME KEY: one endpoint that a started program wrote.
lab_endpoint() { sed -n "s/^$2=//p" "$LAB_DIR/$1.endpoints"; }

lab_platform() {
    lab_start platform platform_standin "$@"
    LAB_PLATFORM=$(lab_endpoint platform platform)
}

lab_workers() { lab_start "workers-$1" worker_standin --platform "$LAB_PLATFORM" --data-centre "$1" --count "$2" "${@:3}"; }
lab_runners() { lab_start "runners-$1" runner_standin --platform "$LAB_PLATFORM" --data-centre "$1" --service "$2" --count "$3" "${@:4}"; }

# lab_daemon NAME DATA_CENTRE REGION [SETTINGS]: starts one daemon, with more lines of settings, and puts it on the platform's list.
lab_daemon() {
    local name=$1 centre=$2 region=$3
    cat >"$LAB_DIR/$name.yaml" <<SETTINGS
host: $name
dataCentre: $centre
region: $region
callers: 127.0.0.1:0
peers: 127.0.0.1:0
platform: $LAB_PLATFORM
${4:-}
SETTINGS
    lab_start "$name" dragonflytrayd --settings "$LAB_DIR/$name.yaml"
    LAB_CALLERS[$name]=$(lab_endpoint "$name" callers)
    lab_control "$LAB_PLATFORM" PUT "/hosts/$name" "{\"name\":\"$name\",\"kind\":\"entry-host\",\"endpoint\":\"${LAB_CALLERS[$name]}\",\"peerEndpoint\":\"$(lab_endpoint "$name" peers)\",\"dataCentre\":\"$centre\"}" >/dev/null
}

# lab_scheduler NAME [SETTINGS]: starts a scheduler daemon without a store, with more lines of the map `entry`. Its settings name no
# free port by 0, so ports below the range of outgoing connections are tried.
lab_scheduler() {
    local name=$1 port attempt
    for attempt in 1 2 3 4 5 6 7 8; do
        port=$((20000 + (RANDOM % 3000) * 4))
        cat >"$LAB_DIR/$name.yaml" <<SETTINGS
host: $name
dataCentre: rs-poa
entry:
  callers: 127.0.0.1:$port
  readiness: 127.0.0.1:$((port + 1))
  store: 127.0.0.1:$((port + 2))
  agent: 127.0.0.1:$((port + 3))
  dataCentres:
    - { name: rs-poa, region: sul-rs }
${2:-}
SETTINGS
        "$LAB_BIN/dragonflytrayd" --settings "$LAB_DIR/$name.yaml" >>"$LAB_DIR/$name.log" 2>&1 &
        LAB_PID[$name]=$!
        LAB_CALLERS[$name]=127.0.0.1:$port
        LAB_READINESS[$name]=127.0.0.1:$((port + 1))
        LAB_AGENT[$name]=127.0.0.1:$((port + 3))
        lab_until 20 lab_serves_or_ended "$name" $((port + 1))
        if kill -0 "${LAB_PID[$name]}" 2>/dev/null; then
            LAB_PIDS+=("${LAB_PID[$name]}")
            return 0
        fi
    done
    lab_fail "no free ports for $name after $attempt attempts"
}

# lab_serves_or_ended NAME READINESS_PORT: whether the process has answered a metrics request or has ended.
lab_serves_or_ended() {
    ! kill -0 "${LAB_PID[$1]}" 2>/dev/null || lab_control "127.0.0.1:$2" GET /metrics
}

lab_control() { "$LAB_BIN/standin_control" "$@"; }
lab_fault() { lab_control "$1" POST /faults "$2" >/dev/null; }

# lab_cli DAEMON ARGS...: the command line against one daemon.
lab_cli() { "$LAB_BIN/dragonflytray" --host "${LAB_CALLERS[$1]}" "${@:2}"; }

lab_ready() { lab_control "${LAB_CALLERS[$1]}" GET /ready; }

# lab_job_state DAEMON JOB STATE: whether the daemon sees the job in the state.
lab_job_state() { lab_cli "$1" --output json explain job "$2" | grep -q "\"state\": \"$3\""; }

# lab_stop NAME: graceful stop; the exit status of the process.
lab_stop() {
    kill -TERM "${LAB_PID[$1]}"
    wait "${LAB_PID[$1]}"
}
