#!/usr/bin/env bash
# Requests under faults as separate processes: killed, frozen, silent and stopped runners and daemons,
# lost answers. Every caller gets the whole of their own answer or an honest outcome.
source "$(dirname "$0")/lab.sh" "$1"
examples="$(dirname "$0")/../../../examples"

set_up() {
    lab_platform --list-lag 100
    lab_runners rs-poa loan-desk 2 --prefix steady --service-time 5
    lab_start runners-frail runner_standin --platform "$LAB_PLATFORM" --data-centre rs-poa --service loan-desk --count 1 --prefix frail --service-time 5
    lab_daemon entry-1 rs-poa sul-rs
    lab_daemon entry-2 rs-poa sul-rs
    lab_cli entry-1 apply --base 0 "$examples/serrano.yaml" >/dev/null
    lab_until 17 lab_ready entry-1
    lab_until 17 lab_ready entry-2
    lab_until 5 lab_cli entry-1 call loan-desk x --team loan-desk --id probe-1 --idempotency idempotent
    lab_until 5 lab_cli entry-2 call loan-desk x --team loan-desk --id probe-2 --idempotency idempotent
}

# load SECONDS IDEMPOTENCY [DEADLINE]: a steady load over both entry hosts, as JSON in $LAB_DIR/load.
load() {
    "$LAB_BIN/dragonflytray" --output json bench --entry-host "${LAB_CALLERS[entry-1]}" --entry-host "${LAB_CALLERS[entry-2]}" \
        --stream "name=load,team=loan-desk,service=loan-desk,rate=100,seconds=$1,idempotency=$2,deadline=${3:-2}" >"$LAB_DIR/load"
}

# count KEY: one number of the last load.
count() { sed -n "s/^ *\"$1\": \([0-9]*\).*/\1/p" "$LAB_DIR/load" | head -n 1; }

expect_none() {
    local key
    for key in "$@"; do
        [ "$(count "$key")" = 0 ] || lab_fail "$key is $(count "$key"): $(cat "$LAB_DIR/load")"
    done
}

# expect_no_repeats NAME: no runner of the process ran a request id twice.
expect_no_repeats() {
    local line
    while read -r line; do
        lab_control "${line#*=}" GET /statistics | grep -q '"repeated":\[\]' || lab_fail "a request was run twice at ${line%%=*}"
    done <"$LAB_DIR/$1.endpoints"
}

Load_noFault_isAnsweredWhole() {
    load 2 idempotent
    expect_none not-run unknown no-answer mismatched
}

Runner_silentConnections_costsIdempotentCallersNothing() {
    load 3 idempotent 3 &
    local running=$!
    sleep 1
    lab_fault "$(lab_endpoint runners-frail rs-poa-frail-1)" '{"fault":"silent-connections"}'
    wait "$running"
    lab_fault "$(lab_endpoint runners-frail rs-poa-frail-1)" '{"fault":"none"}'
    expect_none not-run unknown no-answer mismatched
}

Runner_killed_costsIdempotentCallersNothing() {
    load 3 idempotent &
    local running=$!
    sleep 1
    kill -KILL "${LAB_PID[runners-frail]}"
    wait "$running"
    expect_none not-run unknown no-answer mismatched
}

NonIdempotent_runnerLosesAnswers_isNeverRunTwice() {
    local endpoint
    endpoint=$(lab_endpoint runners-rs-poa rs-poa-steady-1)
    lab_fault "$endpoint" '{"fault":"lose-answers"}'
    load 2 non-idempotent
    lab_fault "$endpoint" '{"fault":"none"}'
    expect_none no-answer mismatched
    [ "$(count unknown)" -gt 0 ] || lab_fail "no outcome was unknown: $(cat "$LAB_DIR/load")"
    expect_no_repeats runners-rs-poa
}

EntryHost_platformDown_goesOnServing() {
    lab_fault "$LAB_PLATFORM" '{"fault":"down"}'
    load 2 idempotent
    lab_fault "$LAB_PLATFORM" '{"fault":"none"}'
    expect_none not-run unknown no-answer mismatched
}

EntryHost_platformSilent_goesOnServing() {
    lab_fault "$LAB_PLATFORM" '{"fault":"silent"}'
    load 2 idempotent
    lab_fault "$LAB_PLATFORM" '{"fault":"none"}'
    expect_none not-run unknown no-answer mismatched
}

EntryHost_plannedStop_cutsOffNoRequest() {
    load 3 idempotent &
    local running=$!
    sleep 1
    # The balancer would take a host that is not ready out of turn; this load does not, so what comes after
    # the listener has closed is refused at connect and is no request that was cut off.
    lab_stop entry-2 || lab_fail "the daemon did not end cleanly"
    wait "$running"
    expect_none unknown mismatched
    grep -q connection-lost "$LAB_DIR/load" && lab_fail "a request was cut off: $(cat "$LAB_DIR/load")"
    return 0
}

set_up
Load_noFault_isAnsweredWhole
Runner_silentConnections_costsIdempotentCallersNothing
Runner_killed_costsIdempotentCallersNothing
NonIdempotent_runnerLosesAnswers_isNeverRunTwice
EntryHost_platformDown_goesOnServing
EntryHost_platformSilent_goesOnServing
EntryHost_plannedStop_cutsOffNoRequest
echo "requests_test: 7 passed"
