#!/usr/bin/env bash
# Every entry host is replaced, one after another, under continuous calls.
source "$(dirname "$0")/lab.sh" "$1"
examples="$(dirname "$0")/../../../examples"

set_up() {
    lab_platform --list-lag 100
    lab_workers rs-poa 2
    lab_runners rs-poa loan-desk 2
    local host
    for host in old-1 old-2 old-3; do
        lab_daemon "$host" rs-poa sul-rs
    done
    lab_cli old-1 apply --base 0 "$examples/serrano.yaml" >/dev/null
    for host in old-1 old-2 old-3; do
        lab_until 17 lab_ready "$host"
        lab_until 10 lab_cli "$host" call loan-desk warm --team loan-desk --id "warm-$host" --idempotency idempotent
    done
    echo old-1 >"$LAB_DIR/balancer"
}

# call_continuously NUMBER: what a caller behind the balancer sees, one line for each call.
call_continuously() {
    local call=0 host code
    until [[ -e "$LAB_DIR/enough" ]]; do
        call=$((call + 1))
        host=$(shuf -n 1 "$LAB_DIR/balancer")
        code=0
        "$LAB_BIN/dragonflytray" --host "$host" call loan-desk baker --team loan-desk --id "call-$1-$call" >"$LAB_DIR/call-$1.out" 2>&1 || code=$?
        grep -q "answer to call-$1-$call" "$LAB_DIR/call-$1.out" || [[ $code != 0 ]] || code=cut
        echo "$code call-$1-$call $host $(tr '\n' ' ' <"$LAB_DIR/call-$1.out")" >>"$LAB_DIR/calls-$1"
    done
}

# balance NAMES...: the balancer sends new calls to these daemons only.
balance() {
    local name
    for name in "$@"; do
        echo "${LAB_CALLERS[$name]}"
    done >"$LAB_DIR/balancer.new"
    mv "$LAB_DIR/balancer.new" "$LAB_DIR/balancer"
}

# replace OLD NEW REST...: starts NEW, turns the balancer away from OLD and stops it gracefully.
replace() {
    lab_daemon "$2" rs-poa sul-rs
    lab_until 17 lab_ready "$2"
    balance "${@:2}"
    sleep 0.5 # calls that were routed before the change are on their way
    lab_stop "$1" || lab_fail "$1 did not end cleanly"
    lab_control "$LAB_PLATFORM" DELETE "/hosts/$1" >/dev/null
}

RollingReplacement_continuousCalls_cutsNoneOff() {
    local callers=() number bad total
    balance old-1 old-2 old-3
    for number in 1 2 3; do
        call_continuously "$number" &
        callers+=($!)
    done
    lab_cli old-1 submit package-1 --team underwriting --class underwriting-package --payload "file 17" >/dev/null
    replace old-1 new-1 old-2 old-3
    replace old-2 new-2 new-1 old-3
    replace old-3 new-3 new-1 new-2
    sleep 1
    touch "$LAB_DIR/enough"
    wait "${callers[@]}"
    total=$(cat "$LAB_DIR"/calls-* | wc -l)
    bad=$(cat "$LAB_DIR"/calls-* | grep -vc '^[01] ') || true
    echo "calls: $total, answered $(cat "$LAB_DIR"/calls-* | grep -c '^0 '), refused as not run $(cat "$LAB_DIR"/calls-* | grep -c '^1 ' || true), cut off $bad"
    [[ $total -gt 0 && $bad == 0 ]] || lab_fail "cut off: $(cat "$LAB_DIR"/calls-* | grep -v '^[01] ' | head -5)"
}

RollingReplacement_acceptedPackageAndVersion_areKept() {
    lab_until 30 lab_job_state new-3 package-1 finished
    lab_cli new-3 show configuration | grep -q "version 1" || lab_fail "the version was lost"
}

set_up
RollingReplacement_continuousCalls_cutsNoneOff
RollingReplacement_acceptedPackageAndVersion_areKept
echo "rolling_replacement_test: 2 passed"
