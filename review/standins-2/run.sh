# Plays a case: run.sh of its folder sets $folder and names the class. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. The player adds 10 to its code, so that a failure of the runtime looks like neither.
cd "$folder/../.." || exit 2
: > "$folder/record.txt" || exit 2
if [ ! -f target/gateway/dahliapass-gateway.jar ] || [ ! -d target/review-2/cases ]; then
    echo "not built" > "$folder/record.txt"
    exit 2
fi
work=$(mktemp -d) || exit 2
java -Xmx1g -cp target/review-2 "cases.$1" "$folder/record.txt" "$work" &
player=$!
trap 'kill "$player" 2> /dev/null' TERM INT HUP
wait "$player"
code=$?
# A trapped signal ends the first wait before the player has ended.
while kill -0 "$player" 2> /dev/null; do
    wait "$player"
    code=$?
done
# The player empties the list when it ends by itself; otherwise these are the machines that it left.
for machine in $(cat "$work/machines" 2> /dev/null); do
    kill -KILL "$machine" 2> /dev/null
done
[ "${KEEP_LOGS:-0}" = 1 ] || rm -rf "$work"
case $code in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
