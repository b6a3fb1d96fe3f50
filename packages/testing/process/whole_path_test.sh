#!/usr/bin/env bash
# The whole path as separate processes: apply, a quick check, a package as a job, a watch, a planned stop.
source "$(dirname "$0")/lab.sh" "$1"
examples="$(dirname "$0")/../../../examples"

set_up() {
    lab_platform --list-lag 100
    lab_workers rs-poa 2
    lab_runners rs-poa loan-desk 2
    lab_daemon entry-1 rs-poa sul-rs
    lab_daemon entry-2 rs-poa sul-rs
}

Apply_exampleOfSerrano_isInForceOnEveryEntryHost() {
    lab_cli entry-1 apply --base 0 "$examples/serrano.yaml" >/dev/null
    lab_until 17 lab_ready entry-1
    lab_until 17 lab_ready entry-2
}

QuickCheck_sentToEitherEntryHost_isAnswered() {
    local host
    for host in entry-1 entry-2; do
        lab_until 5 lab_cli "$host" call loan-desk baker --team loan-desk --id "probe-$host" --idempotency idempotent
        lab_cli "$host" call loan-desk baker --team loan-desk --id "check-$host" | grep -q "answer to check-$host" || lab_fail "no whole answer from $host"
    done
}

QuickCheck_unknownService_isRefusedByName() {
    local out
    out=$(lab_cli entry-1 call no-such-service x --team loan-desk --id r1 2>&1) && lab_fail "it was not refused"
    grep -q unknown-service <<<"$out" || lab_fail "the reason is missing: $out"
}

Package_submitted_isRecordedRunAndReadBack() {
    lab_cli entry-2 submit package-1 --team underwriting --class underwriting-package --payload "file 17" >/dev/null
    lab_until 30 lab_job_state entry-1 package-1 finished
    lab_cli entry-1 --output json explain job package-1 | grep -q '"result": "result of file 17"' || lab_fail "the result is missing"
}

Package_submittedAgainElsewhere_isRecognised() {
    lab_cli entry-1 submit package-1 --team underwriting --class underwriting-package | grep -q repeated || lab_fail "it was not recognised"
}

Watch_opened_streamsMessagesFromItsCursor() {
    local lines
    lines=$(lab_cli entry-1 watch loan-desk --team loan-desk --cursor 41 --messages 2)
    grep -q '"cursor":"42"' <<<"$lines" || lab_fail "the cursor is not kept: $lines"
    grep -q '"cursor":"43"' <<<"$lines" || lab_fail "the stream ended early: $lines"
}

PlannedStop_requestInFlight_endsAfterItsAnswer() {
    local answer="$LAB_DIR/answer"
    lab_cli entry-2 call loan-desk last --team loan-desk --id last-one >"$answer" &
    local caller=$!
    lab_stop entry-2 || lab_fail "the daemon did not end cleanly"
    wait "$caller" || lab_fail "the request was cut off"
    grep -q "answer to last-one" "$answer" || lab_fail "the answer is not whole"
}

set_up
Apply_exampleOfSerrano_isInForceOnEveryEntryHost
QuickCheck_sentToEitherEntryHost_isAnswered
QuickCheck_unknownService_isRefusedByName
Package_submitted_isRecordedRunAndReadBack
Package_submittedAgainElsewhere_isRecognised
Watch_opened_streamsMessagesFromItsCursor
PlannedStop_requestInFlight_endsAfterItsAnswer
echo "whole_path_test: 7 passed"
