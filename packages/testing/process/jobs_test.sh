#!/usr/bin/env bash
# Jobs under faults as separate processes: the leader is killed or frozen past its lease, the store's
# answers are lost. Every accepted job runs once and comes to its end.
source "$(dirname "$0")/lab.sh" "$1"
examples="$(dirname "$0")/../../../examples"

set_up() {
    lab_platform --list-lag 100
    lab_workers rs-poa 2
    local host
    for host in entry-1 entry-2 entry-3; do lab_daemon "$host" rs-poa sul-rs; done
    lab_cli entry-1 apply --base 0 "$examples/serrano.yaml" >/dev/null
    for host in entry-1 entry-2 entry-3; do lab_until 17 lab_ready "$host"; done
    lab_until 20 leader
}

# leader: the daemon that leads now, among those that answer.
leader() {
    local host
    for host in "${!LAB_CALLERS[@]}"; do
        if lab_control "${LAB_CALLERS[$host]}" GET /v1/status/batch 2>/dev/null | grep -q '"isLeader":true'; then
            echo "$host"
            return 0
        fi
    done
    return 1
}

# submit DAEMON PREFIX: four jobs that run for three seconds each.
submit() {
    local number
    for number in 1 2 3 4; do
        lab_until 10 lab_cli "$1" submit "$2-$number" --team underwriting --class underwriting-package --run-seconds 3000
    done
}

# expect_once DAEMON PREFIX: each of the four jobs finishes, and was started and finished exactly once.
expect_once() {
    local number event count
    for number in 1 2 3 4; do lab_until 45 lab_job_state "$1" "$2-$number" finished; done
    for number in 1 2 3 4; do
        for event in started finished; do
            count=$(journals | grep -o "\"event\":\"$event\",\"job\":\"$2-$number\"" | wc -l)
            [ "$count" = 1 ] || lab_fail "$2-$number was $event $count times"
        done
    done
}

journals() {
    local line
    while read -r line; do lab_control "${line#*=}" GET /journal; done <"$LAB_DIR/workers-rs-poa.endpoints"
}

# other_than NAME: a daemon that answers and is not NAME.
other_than() {
    local host
    for host in "${!LAB_CALLERS[@]}"; do
        [ "$host" = "$1" ] || { echo "$host"; return 0; }
    done
}

Submission_storeLosesItsAnswer_isRecordedOnce() {
    lab_fault "$LAB_PLATFORM" '{"fault":"lose-answers"}'
    lab_cli entry-1 submit lost-1 --team underwriting --class underwriting-package --run-seconds 3000 >/dev/null 2>&1 || true
    lab_fault "$LAB_PLATFORM" '{"fault":"none"}'
    submit entry-2 lost
    expect_once entry-2 lost
}

Leader_frozenPastItsLease_doublesNoJob() {
    local frozen other
    frozen=$(leader)
    other=$(other_than "$frozen")
    submit "$other" frozen
    sleep 1
    kill -STOP "${LAB_PID[$frozen]}"
    sleep 10
    kill -CONT "${LAB_PID[$frozen]}"
    expect_once "$other" frozen
}

Leader_killedWithJobsRunning_losesAndDoublesNone() {
    local killed other
    lab_until 20 leader
    killed=$(leader)
    other=$(other_than "$killed")
    submit "$other" killed
    sleep 1
    kill -KILL "${LAB_PID[$killed]}"
    unset "LAB_CALLERS[$killed]"
    expect_once "$other" killed
}

set_up
Submission_storeLosesItsAnswer_isRecordedOnce
Leader_frozenPastItsLease_doublesNoJob
Leader_killedWithJobsRunning_losesAndDoublesNone
echo "jobs_test: 3 passed"
