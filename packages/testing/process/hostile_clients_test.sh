#!/usr/bin/env bash
# Untrusted clients against the daemons as separate processes: hostile_clients_test.sh BIN_DIRECTORY CASE. The process stays alive,
# its peak memory and its open descriptors stay within bounds, and an ordinary request is answered while the clients are connected.
source "$(dirname "$0")/lab.sh" "$1"
examples="$(dirname "$0")/../../../examples"

memory_limit=160000 # kB; memory of the smallest host
connection_limit=800
host_settings="" # more lines of the map entry of the scheduler daemon
spare_descriptors=16 # outgoing connections, and accepted connections that replace others

set_up() {
    lab_platform --list-lag 100
    lab_runners rs-poa loan-desk 1
    lab_daemon entry-1 rs-poa sul-rs "limits:
  connections: $connection_limit"
    lab_cli entry-1 apply --base 0 "$examples/serrano.yaml" >/dev/null
    lab_until 17 lab_ready entry-1
    lab_scheduler scheduler-1 "  connections: $connection_limit
$host_settings"
    for daemon in entry-1 scheduler-1; do lab_until 10 "is_served_$daemon"; done
}

# is_served_DAEMON: whether an ordinary request is answered. The scheduler daemon has no store and answers 503 (status 1).
is_served_entry-1() { lab_cli entry-1 call loan-desk x --team loan-desk --id "probe-$RANDOM-$RANDOM" --idempotency idempotent; }
is_served_scheduler-1() {
    local status=0
    lab_control "${LAB_CALLERS[scheduler-1]}" GET /desk/ || status=$?
    [ "$status" = 1 ]
}

# is_served_agent: besides an ordinary request of a caller, an exchange of a leader without calls is answered.
is_served_agent() {
    lab_control "${LAB_AGENT[scheduler-1]}" POST /agent/exchange $'\x85\x01\x01\x01\xa0\x80' && is_served_scheduler-1
}

peak_memory() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${LAB_PID[$1]}/status"; }
open_descriptors() { find "/proc/${LAB_PID[$1]}/fd" -mindepth 1 | wc -l; }

# attack BEHAVIOUR CONNECTIONS BYTES: runs the clients against each daemon in turn and checks the bounds, all of them before it fails.
attack() {
    local daemon before faults=""
    for daemon in entry-1 scheduler-1; do
        before=$(open_descriptors "$daemon")
        lab_start "client-$daemon" hostile_client --endpoint "${LAB_CALLERS[$daemon]}" --behaviour "$1" --connections "$2" --bytes "$3"
        check_bounds "$daemon" $((before + connection_limit + spare_descriptors))
        kill -TERM "${LAB_PID[client-$daemon]}"
    done
    [ -z "$faults" ] || lab_fail "$faults"
}

# attack_port DAEMON ENDPOINT SERVED DESCRIPTOR_LIMIT CLIENT_ARGUMENTS...: runs clients against one listener of a daemon.
attack_port() {
    lab_start "client-$1" hostile_client --endpoint "$2" "${@:5}"
    check_bounds "$1" "$4" "$3"
    kill -TERM "${LAB_PID[client-$1]}"
}

# attack_agent DESCRIPTOR_LIMIT CLIENT_ARGUMENTS...: against the port on which the scheduler daemon takes orders of leaders.
attack_agent() {
    local faults=""
    attack_port scheduler-1 "${LAB_AGENT[scheduler-1]}" is_served_agent "$@"
    [ -z "$faults" ] || lab_fail "$faults"
}

# attack_other_ports BEHAVIOUR CONNECTIONS BYTES: against the listeners that are not for callers.
attack_other_ports() {
    local faults="" limit=$((connection_limit + 100))
    local arguments=(--behaviour "$1" --connections "$2" --bytes "$3")
    attack_port scheduler-1 "${LAB_READINESS[scheduler-1]}" is_served_scheduler-1 $limit "${arguments[@]}"
    attack_port scheduler-1 "${LAB_AGENT[scheduler-1]}" is_served_agent $limit "${arguments[@]}"
    attack_port entry-1 "$(lab_endpoint entry-1 peers)" is_served_entry-1 $limit "${arguments[@]}"
    [ -z "$faults" ] || lab_fail "$faults"
}

# attack_at_once: several behaviours against the callers of the scheduler daemon, all of them connected at the end.
attack_at_once() {
    local faults="" behaviour
    for behaviour in endless-trailers slow-body many-fields pipelined announced-size idle small-chunks; do
        lab_start "client-$behaviour" hostile_client --endpoint "${LAB_CALLERS[scheduler-1]}" --behaviour "$behaviour" --connections 100 --bytes 250000
    done
    check_bounds scheduler-1 "$1"
    [ -z "$faults" ] || lab_fail "$faults"
}

# check_bounds DAEMON DESCRIPTOR_LIMIT [SERVED]: appends what is out of bounds to `faults`.
check_bounds() {
    local served=no end=$((SECONDS + 20)) memory descriptors
    kill -0 "${LAB_PID[$1]}" 2>/dev/null || lab_fail "$1 has ended"
    descriptors=$(open_descriptors "$1")
    while [ $served = no ] && [ $SECONDS -lt $end ]; do
        "${3:-is_served_$1}" >/dev/null 2>&1 && served=yes
    done
    kill -0 "${LAB_PID[$1]}" 2>/dev/null || lab_fail "$1 has ended"
    memory=$(peak_memory "$1")
    echo "$1: peak memory $memory kB, $descriptors descriptors of $2, ordinary request served: $served"
    [ "$memory" -le "$memory_limit" ] || faults+="$1 has a peak memory of $memory kB; "
    [ "$descriptors" -le "$2" ] || faults+="$1 has $descriptors descriptors; "
    [ $served = yes ] || faults+="$1 does not answer an ordinary request; "
}

EndlessTrailers() { attack endless-trailers 8 32000000; }
LongTrailer() { attack long-trailer 8 32000000; }
LongChunkExtension() { attack long-chunk-extension 8 32000000; }
SmallChunks() { attack small-chunks 64 4000000; }
EndlessHeaders() { attack endless-headers 64 4000000; }
ManyFields() { attack many-fields 750 0; }
Pipelined() { attack pipelined 64 4000000; }
SlowBodies() { attack slow-body 750 250000; }
AnnouncedSizes() { attack announced-size 750 0; }
IdleConnections() { attack idle 300 0; }
MoreConnectionsThanDescriptors() { attack idle 300 0; }
EndlessTrailersOtherPorts() { attack_other_ports endless-trailers 8 32000000; }
ManyFieldsOtherPorts() { attack_other_ports many-fields 300 0; }
SlowBodiesOtherPorts() { attack_other_ports slow-body 300 250000; }
IdleOtherPorts() { attack_other_ports idle 300 0; }
AgentManyValues() { attack_agent 4100 --behaviour agent-many-values --connections 4; }
AgentUnreadableCalls() { attack_agent 4100 --behaviour agent-unreadable-calls --connections 4; }
AgentLargeSpec() { attack_agent 4100 --behaviour agent-large-spec --connections 4; }
AgentManyWorkers() { attack_agent 1000 --behaviour agent-many-workers --connections 4 --silent-workers 150; }
AgentLongAddresses() { for _ in 1 2 3 4 5 6 7 8; do attack_agent 4100 --behaviour agent-long-addresses --connections 8; done; }
# A stop at a worker whose address is not an IP address fails before a connection is opened.
AgentInvalidAddress() {
    local faults=""
    lab_control "${LAB_AGENT[scheduler-1]}" POST /agent/exchange $'\x85\x01\x01\x01\xa0\x81\x8b\x01\x02awax\x01\x01aa\x01\x01\x01\x01' || true
    check_bounds scheduler-1 4100 is_served_agent
    [ -z "$faults" ] || lab_fail "$faults"
}
SeveralBehavioursSmallestHost() { attack_at_once 4100; }
SeveralBehavioursLoweredHost() { attack_at_once 260; }

# The memory and the descriptors of the smallest host, and lowered ones.
case $2 in
    AgentManyWorkers) host_settings=$'  memoryMegabytes: 160\n  descriptors: 1000' ;;
    Agent* | *OtherPorts | SeveralBehavioursSmallestHost) host_settings=$'  memoryMegabytes: 160\n  descriptors: 4100' ;;
    SeveralBehavioursLoweredHost)
        host_settings=$'  memoryMegabytes: 64\n  descriptors: 260'
        memory_limit=64000
        ;;
esac
case $2 in
    IdleConnections) connection_limit=100 ;;
    MoreConnectionsThanDescriptors) ulimit -Sn 160 ;;
esac
set_up
ulimit -Sn 2000 # of the clients
"$2"
echo "hostile_clients_test $2: passed"
