# Starts and stops the processes of a small fleet on loopback; sourced by the scripts in bin/.
# The sourcing script sets: home (the repository), work (a directory for logs and settings).
pids=()
vms=()
vm_pids=()
stop_all() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; }

# lab CLASS ARGUMENTS...: runs a program of the module lab.
lab() {
    java -XX:-UsePerfData -Xmx256m -Dcom.linecorp.armeria.transportType=epoll \
        ${DAHLIAPASS_JAVA_OPTIONS:-} -cp "$home/dist/target/lib/*" "org.dahliapass.lab.$@"
}

# start NAME COMMAND...: starts a process in the background.
start() {
    local name=$1; shift
    "$@" > "$work/$name.out" 2> "$work/$name.log" &
    pids+=($!)
}
# ready NAME: prints the ready line of a process once it is there.
ready() {
    local tries=0
    until grep -m1 '^ready ' "$work/$1.out" 2>/dev/null; do
        tries=$((tries + 1))
        [ "$tries" -lt 300 ] || { echo "$1 did not start:" >&2; cat "$work/$1.log" >&2; exit 1; }
        sleep 0.1
    done
}
# field NAME KEY: one address of a process's ready line.
field() { ready "$1" | tr ' ' '\n' | sed -n "s/^$2=//p"; }

# start_platform: starts the store and the VM list; sets store and vm_list.
start_platform() {
    start store bin/standin-store
    start vm-list bin/standin-vm-list
    store=$(field store store)
    vm_list=$(field vm-list vm-list)
}

# start_vms FLEET COUNT [CONTROL-SETTING...]: starts VMs in three availability zones and waits
# until each serves and knows all; sets vms and vm_pids.
start_vms() {
    local fleet=$1 count=$2 number vm
    shift 2
    for number in $(seq "$count"); do
        write_settings "$fleet" "$number" "$@" > "$work/vm-$number.ini"
        start "vm-$number" bin/dahliapass-vm --settings "$work/vm-$number.ini"
        vms+=("vm-$number")
        vm_pids+=("${pids[-1]}")
    done
    for vm in "${vms[@]}"; do ready "$vm"; done
    for vm in "${vms[@]}"; do await_serving "$vm" "$count"; done
}

# write_settings FLEET NUMBER [CONTROL-SETTING...]: prints a VM's settings file.
write_settings() {
    local zones=(zone-a zone-b zone-c)
    cat <<INI
[vm]
fleet = $1
name = vm-$2
availability-zone = ${zones[$((($2 - 1) % 3))]}
address = 127.0.0.1
callers-port = 0
peers-port = 0
operators-port = 0
[platform]
store = $store
vm-list = $vm_list
announce = yes
[control]
INI
    shift 2
    printf '%s\n' "$@"
}

# await_serving VM COUNT: waits until the VM serves and sees so many VMs alive.
await_serving() {
    local tries=0 operators
    operators=$(field "$1" operators)
    until curl -fs "http://$operators/health" > /dev/null &&
        [ "$(curl -fs "http://$operators/operations/members" |
            grep -o '"state":"alive"' | wc -l)" -eq "$2" ]; do
        tries=$((tries + 1))
        [ "$tries" -lt 300 ] || { echo "$1 does not serve:" >&2; cat "$work/$1.log" >&2; exit 1; }
        sleep 0.1
    done
}

# stop_vms: stops the VMs by SIGTERM; fails if one did not drain.
stop_vms() {
    local failed=0 pid vm code
    for pid in "${vm_pids[@]}"; do kill "$pid"; done
    for pid in "${vm_pids[@]}"; do
        code=0; wait "$pid" || code=$?
        # 143 is SIGTERM, after which the runtime ran the drain to its end.
        [ "$code" -eq 143 ] || [ "$code" -eq 0 ] || failed=1
    done
    for vm in "${vms[@]}"; do
        grep -q "Stopped." "$work/$vm.log" "$work/$vm.out" ||
            { echo "$vm did not drain." >&2; failed=1; }
    done
    return "$failed"
}
