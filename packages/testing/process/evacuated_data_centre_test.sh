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
        lab_daemon "entry-$centre" "$centre" sul-rs
    done
    cp "$examples/serrano.yaml" "$LAB_DIR/in-use.yaml"
    { cat "$examples/serrano.yaml"; echo "evacuatedDataCentres: [rs-poa]"; } >"$LAB_DIR/evacuated.yaml"
    lab_cli entry-rs-poa apply --base 0 "$LAB_DIR/in-use.yaml" >/dev/null
    for centre in rs-poa rs-cxs; do
        lab_until 17 lab_ready "entry-$centre"
        lab_until 20 leads "entry-$centre"
        lab_until 10 call "entry-$centre" "probe-$centre"
    done
}

leads() { lab_control "${LAB_CALLERS[$1]}" GET /v1/status/batch | grep -q '"isLeader":true'; }
shows_evacuated() { lab_cli "$1" --output json status | tr -d ' \n' | grep -q "\"evacuatedDataCentres\":\[$2\]"; }
# batch_shows DAEMON VALUE: whether jobs are scheduled under the list, which follows the version shown by status.
batch_shows() { lab_control "${LAB_CALLERS[$1]}" GET /v1/status/batch | grep -q "\"isEvacuated\":$2"; }
gauge_is() { lab_control "${LAB_CALLERS[entry-rs-poa]}" GET /metrics | grep -q "^dragonflytray_evacuated_data_centres $1"; }
call() { lab_cli "$1" call loan-desk x --team loan-desk --id "$2" --idempotency idempotent >"$LAB_DIR/answer" 2>&1; }
submit() { lab_cli "$1" submit "$2" --team underwriting --class underwriting-package --run-seconds "$3" >/dev/null; }

# statistics CENTRE; journal CENTRE: what its only runner or worker reports.
statistics() { lab_control "$(sed -n 's/^.*=//p' "$LAB_DIR/runners-$1.endpoints")" GET /statistics; }
journal() { lab_control "$(sed -n 's/^.*=//p' "$LAB_DIR/workers-$1.endpoints")" GET /journal; }
has_started() { journal "$1" | grep -q "\"event\":\"started\",\"job\":\"$2\""; }

# apply FILE EVACUATED: applies the file and waits until both entry hosts follow it.
apply() {
    lab_cli entry-rs-cxs apply "$LAB_DIR/$1.yaml" >/dev/null
    local centre
    for centre in rs-poa rs-cxs; do lab_until 17 shows_evacuated "entry-$centre" "$2"; done
}

Diff_listAdded_namesTheDataCentre() {
    lab_cli entry-rs-poa diff "$LAB_DIR/evacuated.yaml" | grep -qx "added evacuatedDataCentres/rs-poa: evacuated" || lab_fail "diff does not name it"
}

Evacuation_applied_sendsRequestsToTheOtherDataCentreOnly() {
    local before number
    submit entry-rs-poa running 6000
    lab_until 10 has_started rs-poa running
    apply evacuated '"rs-poa"'
    lab_until 5 batch_shows entry-rs-poa true
    lab_until 5 gauge_is 1
    before=$(statistics rs-poa)
    for number in 1 2 3; do
        call entry-rs-cxs "cxs-$number" || lab_fail "cxs-$number was not answered"
        # The daemon does not forward requests to other entry hosts, so an entry host of rs-poa refuses them.
        call entry-rs-poa "poa-$number" && lab_fail "poa-$number was answered"
        grep -q no-runner "$LAB_DIR/answer" || lab_fail "poa-$number was not refused with no-runner: $(cat "$LAB_DIR/answer")"
    done
    [ "$(statistics rs-poa)" = "$before" ] || lab_fail "a runner of rs-poa got a request: $(statistics rs-poa)"
}

Evacuation_inForce_startsJobsInTheOtherDataCentreOnly() {
    local number
    for number in 1 2 3; do
        submit entry-rs-poa "moved-$number" 500
        submit entry-rs-cxs "local-$number" 500
    done
    for number in 1 2 3; do
        lab_until 30 lab_job_state entry-rs-cxs "moved-$number" finished
        lab_until 30 lab_job_state entry-rs-cxs "local-$number" finished
        has_started rs-cxs "moved-$number" || lab_fail "moved-$number did not start in rs-cxs"
        has_started rs-poa "moved-$number" && lab_fail "moved-$number started in rs-poa"
    done
    lab_until 30 lab_job_state entry-rs-cxs running finished
    [ "$(journal rs-poa | grep -o '"event":"started"' | wc -l)" = 1 ] || lab_fail "more than the first job started in rs-poa"
    has_started rs-cxs running && lab_fail "the running job was started again"
    return 0
}

Evacuation_withdrawn_usesTheDataCentreAgain() {
    apply in-use ''
    lab_until 5 batch_shows entry-rs-poa false
    local before
    before=$(statistics rs-poa)
    lab_until 5 gauge_is 0
    lab_until 10 call entry-rs-poa back
    [ "$(statistics rs-poa)" != "$before" ] || lab_fail "no request went to the runner of rs-poa"
    submit entry-rs-poa returned 500
    lab_until 30 lab_job_state entry-rs-poa returned finished
    has_started rs-poa returned || lab_fail "the job did not start in rs-poa"
}

set_up
Diff_listAdded_namesTheDataCentre
Evacuation_applied_sendsRequestsToTheOtherDataCentreOnly
Evacuation_inForce_startsJobsInTheOtherDataCentreOnly
Evacuation_withdrawn_usesTheDataCentreAgain
echo "evacuated_data_centre_test: 4 passed"
