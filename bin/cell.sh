# Sourced by scripts that run a cell of real processes on loopback: three control replicas (c1, c2,
# c3) and two entry hosts (e1, e2). Everything that was started ends with the script.

program=$PWD/target/jackdawdale
folder=$(mktemp -d)
export JACKDAWDALE_JAVA_OPTS=${JACKDAWDALE_TRY_JAVA_OPTS:-"-Xmx96m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto"}
export JACKDAWDALE_CUSTOMER=glassworks
declare -A pids=()

fail() {
    echo "$(basename "$0") failed: $1" >&2
    for log in "$folder"/*.log; do
        echo "--- $(basename "$log")" >&2
        tail -n 8 "$log" >&2
    done
    exit 1
}

cleanup() {
    local status=$?
    for name in "${!pids[@]}"; do kill -9 "${pids[$name]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if ${keep:-false}; then echo "logs and journals: $folder"; else rm -rf "$folder"; fi
    exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

say() { printf '\n== %s (%s s)\n' "$1" "$SECONDS"; }
jd() { "$program" "$@"; }

# start NAME COMMAND...: runs a process of the program in the folder.
start() {
    local name=$1
    shift
    (cd "$folder" && exec "$program" "$@" >"$name.log" 2>&1) &
    pids[$name]=$!
}

# stop NAME...: SIGTERM to all of them; each must end with status 0 by itself.
stop() {
    local name status
    for name in "$@"; do kill "${pids[$name]}" 2>/dev/null || fail "$name had ended by itself"; done
    for name in "$@"; do
        status=0
        wait "${pids[$name]}" || status=$?
        unset "pids[$name]"
        [ "$status" -eq 0 ] || fail "$name ended with status $status after SIGTERM"
    done
}

# await SECONDS WHAT COMMAND...: repeats the command until it succeeds.
await() {
    local end=$((SECONDS + $1)) what=$2
    shift 2
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fail "$what"
        sleep 0.2
    done
}

# get PORT PATH: an HTTP call without the start of a JVM, for waits that repeat it.
get() {
    exec 3<>"/dev/tcp/127.0.0.1/$1"
    printf 'GET %s HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n' "$2" >&3
    cat <&3
    exec 3>&-
}
is_ready() { (get "$1" /ready) 2>/dev/null | head -n 1 | grep -q ' 200 '; }
count_active() { (get "$((base + 6))" "/v1/$1") 2>/dev/null | grep -o '"phase":"[A-Z]*"' | grep -c ACTIVE; }

is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

free_ports() {
    local base port
    for _ in $(seq 50); do
        base=$((20000 + RANDOM % 10000))
        for port in $(seq "$base" $((base + $1 - 1))); do is_free "$port" || continue 2; done
        echo "$base"
        return
    done
    fail "no $1 free ports on loopback"
}

if [ ! -x "$program" ] || [ -n "$(find src/main pom.xml -newer "$program" -print -quit)" ]; then
    say "build"
    mvn -B -ntp -q -DskipTests package
fi

# host NAME INDEX ROLES SECTION
host() {
    cat >"$folder/$1.ini" <<INI
[host]
id = $1
failure_domain = ${domains[$2 % 3]}
roles = $3

[http]
port = $((base + 2 * $2))

[peer]
port = $((base + 2 * $2 + 1))
cluster_id = try
cluster_key_file = cluster.key

$4

[log]
format = text
INI
    start "$1" serve --settings "$1.ini"
}

# Starts the five hosts and waits until both entry hosts are ready.
start_hosts() {
    base=$(free_ports 10)
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$folder/cluster.key"
    replicas="c1@127.0.0.1:$((base + 1)), c2@127.0.0.1:$((base + 3)), c3@127.0.0.1:$((base + 5))"
    domains=(kochi thrissur kollam)

    for i in 0 1 2; do
        name=c$((i + 1))
        host "$name" "$i" control "[control]
data_folder = data-$name
replicas = $replicas"
    done
    host e1 3 entry "[entry]
control = $replicas"
    host e2 4 entry "[entry]
control = $replicas"
    e1=http://127.0.0.1:$((base + 6))
    e2=http://127.0.0.1:$((base + 8))
    export JACKDAWDALE_HOSTS=$e1,$e2
    await 30 "e1 did not become ready" is_ready $((base + 6))
    await 30 "e2 did not become ready" is_ready $((base + 8))
}
