#!/usr/bin/env bash
# Configuration over four daemons: races, broken files, a platform that is down, a frozen daemon.
source "$(dirname "$0")/lab.sh" "$1"

hosts=(entry-1 entry-2 entry-3 entry-4)

set_up() {
    lab_platform --list-lag 100
    local host
    for host in "${hosts[@]}"; do
        lab_daemon "$host" rs-poa sul-rs
    done
    write_file base 1
    lab_cli entry-1 apply --base 0 "$LAB_DIR/base.yaml" >/dev/null
    for host in "${hosts[@]}"; do
        lab_until 17 lab_ready "$host"
    done
}

# write_file NAME WEIGHT: a declaration whose one team has the weight.
write_file() {
    printf 'customer: serrano\nregions: [{ name: sul-rs, dataCentres: [rs-poa] }]\nteams: [{ name: desk, weight: %s }]\n' "$2" >"$LAB_DIR/$1.yaml"
}

# version_of DAEMON; has_version DAEMON VERSION
version_of() { lab_cli "$1" --output json show configuration | sed -n 's/.*"version": \([0-9]*\).*/\1/p'; }
has_version() { [[ $(version_of "$1") -ge $2 ]]; }

Apply_fourDaemons_isInForceOnAllWithinTheBound() {
    local base start host
    base=$(version_of entry-1)
    write_file spread 2
    start=$(date +%s%3N)
    lab_cli entry-1 apply --base "$base" "$LAB_DIR/spread.yaml" >/dev/null
    for host in "${hosts[@]}"; do
        lab_until 17 has_version "$host" $((base + 1))
        echo "spread: $host after $(($(date +%s%3N) - start)) ms"
    done
}

Apply_twoOperatorsWithOneBase_oneWinsAndTheOtherSeesTheDifference() {
    local base first second codes=()
    base=$(version_of entry-2)
    lab_until 17 has_version entry-3 "$base"
    write_file first 5
    write_file second 7
    lab_cli entry-2 apply --base "$base" "$LAB_DIR/first.yaml" >"$LAB_DIR/first.out" 2>&1 &
    first=$!
    lab_cli entry-3 apply --base "$base" "$LAB_DIR/second.yaml" >"$LAB_DIR/second.out" 2>&1 &
    second=$!
    wait "$first" && codes+=(0) || codes+=($?)
    wait "$second" && codes+=(0) || codes+=($?)
    [[ "${codes[*]}" == "0 1" || "${codes[*]}" == "1 0" ]] || lab_fail "exit codes ${codes[*]}: $(cat "$LAB_DIR/first.out" "$LAB_DIR/second.out")"
    cat "$LAB_DIR/first.out" "$LAB_DIR/second.out" | grep -q "changed teams/desk/weight" || lab_fail "the loser was not told the difference"
}

Apply_brokenFile_changesNothingAndReportsEveryFinding() {
    local before out
    before=$(version_of entry-1)
    printf 'customer: serrano\nregions: []\nteams: [{ name: a b, weight: -1 }]\nsevices: []\n' >"$LAB_DIR/broken.yaml"
    out=$(lab_cli entry-1 apply "$LAB_DIR/broken.yaml" 2>&1) && lab_fail "it was applied"
    [[ $(grep -c 'broken.yaml:[0-9]*:[0-9]*:' <<<"$out") == 3 ]] || lab_fail "not all findings: $out"
    has_version entry-1 $((before + 1)) && lab_fail "the version changed"
    return 0
}

ShowConfiguration_earlierVersion_isItsText() {
    lab_until 10 lab_cli entry-4 show configuration --version 1
    lab_cli entry-4 show configuration --version 1 | grep -q "weight: 1" || lab_fail "it is another text"
}

Apply_platformDown_isRefusedAndDaemonsGoOn() {
    local before
    before=$(version_of entry-1)
    write_file down 9
    lab_fault "$LAB_PLATFORM" '{"fault":"down"}'
    lab_cli entry-1 apply --base "$before" "$LAB_DIR/down.yaml" >/dev/null 2>&1 && lab_fail "it was applied"
    lab_ready entry-1 >/dev/null || lab_fail "the daemon is not ready any more"
    [[ $(version_of entry-1) == "$before" ]] || lab_fail "the version changed"
    lab_fault "$LAB_PLATFORM" '{"fault":"none"}'
}

FrozenDaemon_continued_takesTheHighestVersion() {
    local base
    base=$(version_of entry-1)
    kill -STOP "${LAB_PID[entry-4]}"
    write_file frozen 11
    lab_cli entry-1 apply --base "$base" "$LAB_DIR/frozen.yaml" >/dev/null
    kill -CONT "${LAB_PID[entry-4]}"
    lab_until 17 has_version entry-4 $((base + 1))
}

set_up
Apply_fourDaemons_isInForceOnAllWithinTheBound
Apply_twoOperatorsWithOneBase_oneWinsAndTheOtherSeesTheDifference
Apply_brokenFile_changesNothingAndReportsEveryFinding
ShowConfiguration_earlierVersion_isItsText
Apply_platformDown_isRefusedAndDaemonsGoOn
FrozenDaemon_continued_takesTheHighestVersion
echo "configuration_test: 6 passed"
