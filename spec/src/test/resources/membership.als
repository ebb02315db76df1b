/*
 * The membership protocol: failure detection by direct and indirect pings, suspicion, refutation,
 * death, new incarnations of a VM, and messages that are delayed, duplicated or reordered.
 *
 * A process is one incarnation of a VM; higher incarnations of the same VM come later in the order
 * of processes. Entries for an incarnation have a precedence: a suspicion overrides the alive entry
 * that it refers to, a refutation overrides that suspicion, and death overrides all.
 */
module membership

open util/ordering[Process] as incarnations

sig Vm {}

/** The states of an incarnation, lowest precedence first; numbers count the refutations. */
enum Entry { Alive0, Suspect0, Alive1, Suspect1, Alive2, Dead }

sig Process {
  vm: one Vm,
  /** The member list of this process. */
  var list: Process -> lone Entry,
  /** The list at the end of the last period. */
  var lastList: Process -> lone Entry,
  /** The processes whose tombstones it has removed; read only by assertions. */
  var forgot: set Process,
  /** The processes that receive nothing from this process. */
  cutTo: set Process
}

one sig Network {
  /** Non-empty if messages can be lost, so that probes fail without a partition. */
  lossy: lone Vm,
  /** The running processes. */
  var runs: set Process,
  var started: set Process,
  /** Entries in flight, from any sender to any receiver. */
  var onTheWay: Process -> Entry
}

fun suspicions: set Entry { Suspect0 + Suspect1 }

fun running: set Process { Network.runs }

/** The higher incarnations of the same VM. */
fun newer[member: Process]: set Process { member.^(incarnations/next) & vm.(member.vm) }

fun older[member: Process]: set Process { member.^(incarnations/prev) & vm.(member.vm) }

/** Whether `asked` responds directly to a request of `asker`. */
pred answers[asker, asked: Process] {
  asked in running and asked not in asker.cutTo and asker not in asked.cutTo
}

/* Guards. */

/** An entry is merged only if its precedence is higher, which makes death final. */
pred guardHigherEntry[current: lone Entry, offered: Entry] { offered in current.nexts }

/** An entry of an incarnation is ignored if the list has a newer incarnation of that VM. */
pred guardNewestIncarnation[process, member: Process] { no newer[member] & process.list.Entry }

/** A newer incarnation marks the older ones as dead. */
pred guardOlderBuried[process, member: Process] {
  all buried: older[member] & process.list.Entry | process.list'[buried] = Dead
}

/**
 * A tombstone is removed only when no list or message can still contain the incarnation as alive.
 * The implementation waits for the maximum message lifetime plus the longest partition after which
 * a VM keeps its list instead of rejoining.
 */
pred guardTombstoneKept[member: Process] {
  Network.onTheWay[member] + running.list[member] in Dead
}

/** A process refutes a suspicion of itself within the period. */
pred guardRefutes { all process: running | no process.list[process] & suspicions }

/** A suspicion becomes a death only after a whole period without refutation. */
pred guardSuspicionStood[process, member: Process] {
  process.lastList[member] = process.list[member]
}

/** A suspicion requires that no helper gets a response either. */
pred guardHelpersAsked[process, member: Process] {
  no helper: running - process - member | answers[process, helper] and answers[helper, member]
}

/* Events. */

pred listsKept[kept: set Process] { all process: kept | process.list' = process.list }

pred networkKept { runs' = runs and started' = started and onTheWay' = onTheWay }

pred restKept { lastList' = lastList and forgot' = forgot }

pred nothing {
  listsKept[Process]
  networkKept
  restKept
}

pred changes[process, member: Process, entry: Entry] {
  process.list' = process.list ++ member -> entry
  listsKept[Process - process]
  networkKept
  restKept
}

pred suspect[process, member: Process] {
  process in running and member != process
  some process.list[member] & (Alive0 + Alive1)
  some Network.lossy or not answers[process, member] and guardHelpersAsked[process, member]
  changes[process, member, process.list[member].next]
}

pred declareDead[process, member: Process] {
  process in running and member != process
  some process.list[member] & suspicions
  guardSuspicionStood[process, member]
  changes[process, member, Dead]
}

pred refute[process: Process] {
  process in running
  some process.list[process] & suspicions
  changes[process, process, process.list[process].next]
}

pred send[process, member: Process] {
  process in running
  some process.list[member]
  onTheWay' = onTheWay + Network -> member -> process.list[member]
  runs' = runs
  started' = started
  restKept
  listsKept[Process]
}

pred messagesExpire {
  onTheWay' in onTheWay
  runs' = runs
  started' = started
  restKept
  listsKept[Process]
}

/** Merges a received entry about a member. */
pred hear[process, member: Process] {
  process in running
  some entry: Network.onTheWay[member] {
    guardHigherEntry[process.list[member], entry] or no process.list[member]
    process.list'[member] = entry
  }
  guardNewestIncarnation[process, member]
  guardOlderBuried[process, member]
  all other: Process - member | other not in older[member] implies
    process.list'[other] = process.list[other]
  all other: older[member] | process.list'[other] in process.list[other] + Dead and
    (no process.list'[other] iff no process.list[other])
  listsKept[Process - process]
  networkKept
  restKept
}

pred dropTombstone[process, member: Process] {
  process in running and member != process
  process.list[member] = Dead
  guardTombstoneKept[member]
  process.list' = process.list - member -> Entry
  forgot' = forgot + process -> member
  lastList' = lastList
  listsKept[Process - process]
  networkKept
}

pred crash[process: Process] {
  process in running
  runs' = runs - Network -> process
  started' = started
  onTheWay' = onTheWay
  restKept
  listsKept[Process]
}

/** A new incarnation, higher than all earlier ones of its VM, copies the list of a peer. */
pred begin[process: Process] {
  process not in Network.started
  older[process] in Network.started
  no newer[process] & Network.started
  some peer: running |
    process.list' = peer.list ++ (older[process] & peer.list.Entry) -> Dead ++ process -> Alive0
  listsKept[Process - process]
  runs' = runs + Network -> process
  started' = started + Network -> process
  onTheWay' = onTheWay
  restKept
}

/** Whether `process` knows at least as much about the member as `other`. */
pred knowsAsMuch[process, other, member: Process] {
  some newer[member] & process.list.Entry or
  other.list[member] in process.list[member] + process.list[member].prevs or
  no process.list[member] and other.list[member] in Dead
}

/** A period ends after all connected processes have exchanged their lists. */
pred periodEnds {
  guardRefutes
  all teller, process: running, member: Process |
    process in teller.cutTo or knowsAsMuch[process, teller, member]
  lastList' = list
  forgot' = forgot
  listsKept[Process]
  networkKept
}

/** Initially some processes run and know each other; old messages may be in flight. */
fact behaviour {
  all process: Process | process not in process.cutTo
  Network.runs = Network.started
  all process: Process - Network.runs | no process.list
  all process: Network.runs | process.list = Network.runs -> Alive0
  all disj process, other: Network.runs | process.vm != other.vm
  all process: Network.runs | no older[process]
  Network.onTheWay in Network.runs -> Alive0
  no lastList
  no forgot
  always (nothing or messagesExpire or periodEnds or some process: Process | {
    refute[process] or crash[process] or begin[process] or some member: Process | {
      suspect[process, member] or declareDead[process, member] or send[process, member] or
      hear[process, member] or dropTombstone[process, member]
    }
  })
}

/** All processes run throughout, with at most one one-way partition of a pair. */
pred oneCutAmongLiving {
  always Process = running
  lone cutTo
}

/* Assertions. */

/** A dead incarnation never becomes alive again. */
assert deadStaysDead {
  always all process, member: Process |
    (process.list[member] = Dead or member in process.forgot) implies
      process.list'[member] in Dead
}

/** No list has two live incarnations of a VM, and none reverts to an older one. */
assert oneIncarnation {
  always all process: running, member: process.list.Entry |
    process.list[older[member]] in Dead
}

/** A running process isn't declared dead despite lost probes and one one-way partition. */
assert livingNotDead { oneCutAmongLiving implies always Dead not in Process.list[Process] }

/** Without loss, a one-way partition causes no suspicion while a helper runs. */
assert cutPairNotSuspected {
  oneCutAmongLiving and no Network.lossy implies always no suspicions & Process.list[Process]
}

/** Not guaranteed: without a helper, a one-way partition ends in a declared death. */
assert unpromisedWithoutHelper {
  oneCutAmongLiving implies always Dead not in Process.list[Process]
}

/** Not vacuous: a refutation, a death and a new incarnation. */
pred interesting {
  some process: Process {
    eventually (process in running and process.list[process] = Alive1)
    eventually some other: running - process | process.list[other] = Dead
  }
  eventually some process: running | some older[process]
}

run interesting for exactly 2 Vm, exactly 3 Process, 9..9 steps
check deadStaysDead for exactly 2 Vm, exactly 3 Process, 6..6 steps
check oneIncarnation for exactly 2 Vm, exactly 3 Process, 5..5 steps
check livingNotDead for exactly 3 Vm, exactly 3 Process, 8..8 steps
check cutPairNotSuspected for exactly 3 Vm, exactly 3 Process, 8..8 steps
check unpromisedWithoutHelper for exactly 2 Vm, exactly 2 Process, 8..8 steps
