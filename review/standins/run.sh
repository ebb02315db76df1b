# Sourced by the run.sh of a case: plays MAIN with VMs in separate processes, then ends them.
# Usage: play MAIN CASE_DIRECTORY
play() {
    local home case work code
    case=$(cd "$2" && pwd)
    home=$(cd "$case/../.." && pwd)
    [ -d "$home/review/target/classes" ] || { echo "run review/build.sh first" >&2; exit 2; }
    [ -f "$home/target/gateway/dahliapass-gateway.jar" ] || { echo "run the build of the deploy file first" >&2; exit 2; }
    work=$(mktemp -d)
    timeout -k 5 115 java -Xmx512m -cp "$home/review/target/classes" "$1" \
        "$home" "$work" "$case/record.txt" "${TROUBLE:-1}"
    code=$?
    if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.log "$case"/; fi
    rm -rf "$work"
    # The program adds 10, which tells its results from those of a runtime that didn't start it.
    case $code in
        10) exit 0 ;;
        11) exit 1 ;;
        *) exit 2 ;;
    esac
}
