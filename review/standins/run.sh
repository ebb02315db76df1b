# Sourced by the run.sh of a case: plays MAIN with VMs in separate processes, then ends them.
# Usage: play MAIN CASE_DIRECTORY
work=
player=

# Ends the player, the VMs that it may have left (by their ids, if they still are VMs of this run), and the folder.
end_all() {
    trap - EXIT INT TERM HUP
    if [ -n "$player" ]; then
        kill "$player" 2>/dev/null
        wait "$player" 2>/dev/null
    fi
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            if tr '\0' ' ' 2>/dev/null < "/proc/$pid/cmdline" | grep -qF "$work/"; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done < "$work/pids"
    fi
    if [ -n "$work" ]; then rm -rf "$work"; fi
}

play() {
    local home case code
    case=$(cd "$2" && pwd)
    home=$(cd "$case/../.." && pwd)
    [ -d "$home/review/target/classes" ] || { echo "run review/build.sh first" >&2; exit 2; }
    [ -f "$home/target/gateway/dahliapass-gateway.jar" ] || { echo "run the build of the deploy file first" >&2; exit 2; }
    trap end_all EXIT
    trap 'end_all; exit 2' INT TERM HUP
    work=$(mktemp -d)
    timeout -k 5 110 java -Xmx512m -cp "$home/review/target/classes" "$1" \
        "$home" "$work" "$case/record.txt" "${TROUBLE:-1}" &
    player=$!
    wait "$player"
    code=$?
    player=
    if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.log "$case"/; fi
    # The program adds 10, which tells its results from those of a runtime that didn't start it.
    case $code in
        10) exit 0 ;;
        11) exit 1 ;;
        *) exit 2 ;;
    esac
}
