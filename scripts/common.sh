# Functions that the scripts share. Before a script sources this file, it sets `dir` to a new folder and
# `bin` to the folder of the programs. The processes that it starts are stopped when it ends.

pids=()

# Stops the started processes by process id. Settings and logs are kept after a failure.
cleanup() {
    status=$?
    trap - EXIT
    stop_all
    if [ "$status" -eq 0 ]; then
        rm -rf "$dir"
    else
        echo "$(basename "$0"): failed; settings and logs are kept in $dir" >&2
    fi
    exit "$status"
}

stop_all() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait
    pids=()
}

fail() {
    echo "$(basename "$0"): $*" >&2
    exit 1
}

# Starts a program in the background: start NAME PROGRAM [ARGS...]
start() {
    local name=$1
    shift
    "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
    pids+=($!)
}

# Waits up to 60 s until a command succeeds: await WHAT COMMAND [ARGS...]
await() {
    local what=$1
    shift
    for _ in $(seq 600); do
        if "$@" >/dev/null 2>&1; then
            return
        fi
        sleep 0.1
    done
    fail "$what: never happened"
}

has_lines() {
    [ "$(wc -l <"$1")" -ge "$2" ]
}

# Posts a body: post KEYFILE URL BODY [HEADER]
post() {
    curl --silent --show-error --max-time 10 -H "@$1" -H "Content-Type: application/json" \
        ${4:+-H "$4"} --data-binary "$3" "$2"
}

# Succeeds if an answer contains a text: contains ANSWER PART
contains() {
    case "$1" in
    *"$2"*) return 0 ;;
    *) return 1 ;;
    esac
}

# Writes the settings of an instance: write_settings NAME ZONE CALLERS OPERATORS INSTANCES STORE
write_settings() {
    cat >"$dir/$1.jsonc" <<EOF
{
    "zone": "$2",
    "callers_listen": "$3",
    "operators_listen": "$4",
    "instances_listen": "$5",
    "platform": {"store_address": "$6", "list_every_ms": 500},
    "keys": {
        "operators_key_env": "HEMLOCK_OPERATORS_KEY",
        "instances_key_env": "HEMLOCK_INSTANCES_KEY",
    },
}
EOF
}

# Adds an instance to the platform's list: register NAME ZONE INSTANCES STORE
register() {
    curl --silent --show-error --max-time 10 -X PUT --data-binary @- \
        "http://$4/v1/agent/service/register" <<EOF
{
    "ID": "$1",
    "Name": "hemlockrouter",
    "Address": "${3%:*}",
    "Port": ${3##*:},
    "Meta": {"zone": "$2"}
}
EOF
}

trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
