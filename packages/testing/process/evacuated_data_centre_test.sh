#!/usr/bin/env bash
# The list of evacuated data centres as separate processes: while rs-poa is on it, requests and jobs go to rs-cxs only;
# what runs in rs-poa continues, and without the list rs-poa is used again.
source "$(dirname "$0")/lab.sh" "$1"
examples="$(dirname "$0")/../../../examples"

set_up() {
    lab_platform --list-lag 100
    local centre
    for centre in rs-poa rs-cxs; do
        lab_workers "$centre" 1
        lab_runners "$centre" loan-desk 1
        lab_daemon "$centre" "$centre" sul-rs
    done
    { cat "$examples/serrano.yaml"; echo "evacuatedDataCentres: [rs-poa]"; } >"$LAB_DIR/evacuated.yaml"
    lab_cli rs-poa apply --base 0 "$examples/serrano.yaml" >/dev/null
    for centre in rs-poa rs-cxs; do
        lab_until 20 batch_shows "$centre" '"isLeader":true'
        lab_until 20 call "$centre" "probe-$centre"
    done
}

batch_shows() { lab_control "${LAB_CALLERS[$1]}" GET /v1/status/batch | grep -q "$2"; }
gauge_is() { lab_control "${LAB_CALLERS[$1]}" GET /metrics | grep -q "^dragonflytray_evacuated_data_centres $2"; }
shows_list() { lab_cli "$1" --output json status | tr -d ' \n' | grep -q "\"evacuatedDataCentres\":\[$2\]"; }
call() { lab_cli "$1" call loan-desk x --team loan-desk --id "$2" --idempotency idempotent >"$LAB_DIR/answer" 2>&1; }
submit() { lab_cli "$1" submit "$2" --team underwriting --class underwriting-package --run-seconds "$3" >/dev/null; }
# statistics CENTRE; journal CENTRE: what its only runner or worker reports.
statistics() { lab_control "$(sed -n 's/^.*=//p' "$LAB_DIR/runners-$1.endpoints")" GET /statistics; }
journal() { lab_control "$(sed -n 's/^.*=//p' "$LAB_DIR/workers-$1.endpoints")" GET /journal; }
has_started() { journal "$1" | grep -q "\"event\":\"started\",\"job\":\"$2\""; }

# apply FILE LIST COUNT IS_EVACUATED: applies the file and waits until both entry hosts show and follow the list.
apply() {
    lab_cli rs-cxs apply "$1" >/dev/null
    local centre
    for centre in rs-poa rs-cxs; do
        lab_until 17 shows_list "$centre" "$2"
        lab_until 5 gauge_is "$centre" "$3"
    done
    lab_until 5 batch_shows rs-poa "\"isEvacuated\":$4"
}

Evacuation_applied_sendsRequestsToTheOtherDataCentreOnly() {
    local before number
    submit rs-poa running 6000
    lab_until 10 has_started rs-poa running
    apply "$LAB_DIR/evacuated.yaml" '"rs-poa"' 1 true
    before=$(statistics rs-poa)
    for number in 1 2 3; do
        call rs-cxs "cxs-$number" || lab_fail "cxs-$number was not answered"
        # The daemon does not forward requests to other entry hosts, so an entry host of rs-poa refuses them.
        call rs-poa "poa-$number" && lab_fail "poa-$number was answered"
        grep -q no-runner "$LAB_DIR/answer" || lab_fail "poa-$number was not refused with no-runner: $(cat "$LAB_DIR/answer")"
    done
    [ "$(statistics rs-poa)" = "$before" ] || lab_fail "a runner of rs-poa got a request: $(statistics rs-poa)"
}

Evacuation_inForce_startsJobsInTheOtherDataCentreOnly() {
    local number
    for number in 1 2 3; do submit rs-poa "moved-$number" 500; done
    for number in 1 2 3; do
        lab_until 30 lab_job_state rs-cxs "moved-$number" finished
        has_started rs-cxs "moved-$number" || lab_fail "moved-$number did not start in rs-cxs"
    done
    lab_until 30 lab_job_state rs-cxs running finished
    [ "$(journal rs-poa | grep -o '"event":"started"' | wc -l)" = 1 ] || lab_fail "more than the first job started in rs-poa"
    has_started rs-cxs running && lab_fail "the running job was started again"
    return 0
}

Evacuation_withdrawn_usesTheDataCentreAgain() {
    local before
    before=$(statistics rs-poa)
    apply "$examples/serrano.yaml" '' 0 false
    lab_until 10 call rs-poa back
    [ "$(statistics rs-poa)" != "$before" ] || lab_fail "no request went to the runner of rs-poa"
    submit rs-poa returned 500
    lab_until 30 has_started rs-poa returned
}

set_up
Evacuation_applied_sendsRequestsToTheOtherDataCentreOnly
Evacuation_inForce_startsJobsInTheOtherDataCentreOnly
Evacuation_withdrawn_usesTheDataCentreAgain
echo "evacuated_data_centre_test: 3 passed"
