/*
 * The member list: failure detection by pings, through helpers too, suspicion, refutation, death,
 * new incarnations of a VM, and messages that come late, twice or out of order.
 *
 * A process is one incarnation of a VM; a higher incarnation of the same VM stands later in the
 * order of processes. The entry that a list holds for an incarnation has a precedence: a suspicion
 * overrules the life that it doubts, a refutation overrules that suspicion, death overrules all.
 */
module membership

open util/ordering[Process] as incarnations

sig Vm {}

/** What a list says of an incarnation, lowest precedence first; numbers count the refutations. */
enum Entry { Alive0, Suspect0, Alive1, Suspect1, Alive2, Dead }

sig Process {
  vm: one Vm,
  /** The list that this process keeps. */
  var list: Process -> lone Entry,
  /** The list as it stood when the last period ended. */
  var lastList: Process -> lone Entry,
  /** Whose tombstones it has dropped; only the promises look at this. */
  var forgot: set Process,
  /** Who hears nothing of what this process sends. */
  cutTo: set Process
}

one sig Network {
  /** Messages can get lost for a while, so that a probe fails without any cut. */
  lossy: lone Vm,
  /** The processes that run. */
  var runs: set Process,
  var started: set Process,
  /** Entries on their way, from whomever and to anybody. */
  var onTheWay: Process -> Entry
}

fun suspicions: set Entry { Suspect0 + Suspect1 }

fun running: set Process { Network.runs }

/** The higher incarnations of the same VM. */
fun newer[member: Process]: set Process { member.^(incarnations/next) & vm.(member.vm) }

fun older[member: Process]: set Process { member.^(incarnations/prev) & vm.(member.vm) }

/** Whether a request of the one gets an answer of the other directly. */
pred answers[asker, asked: Process] {
  asked in running and asked not in asker.cutTo and asker not in asked.cutTo
}

/* Guards. */

/** An entry is taken over only if its precedence is higher; so death is final. */
pred guardHigherEntry[current: lone Entry, offered: Entry] { offered in current.nexts }

/** An entry of an incarnation is ignored if the list has a newer incarnation of that VM. */
pred guardNewestIncarnation[process, member: Process] { no newer[member] & process.list.Entry }

/** A newer incarnation buries the older ones. */
pred guardOlderBuried[process, member: Process] {
  all buried: older[member] & process.list.Entry | process.list'[buried] = Dead
}

/**
 * A tombstone goes only when nobody can speak of that incarnation as living any more. In the code:
 * after the longest life of a message, plus the longest cut after which a VM, when it hears from
 * the others again, throws its own list away and joins anew.
 */
pred guardTombstoneKept[member: Process] {
  Network.onTheWay[member] + running.list[member] in Dead
}

/** A process that hears a suspicion of itself refutes it within the period. */
pred guardRefutes { all process: running | no process.list[process] & suspicions }

/** Death is declared only of a suspicion that has stood for a whole period, unrefuted. */
pred guardSuspicionStood[process, member: Process] {
  process.lastList[member] = process.list[member]
}

/** A suspicion needs that no helper gets an answer either. */
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

/** Takes over an entry about a member that arrived from anywhere, at any time. */
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

/** A new incarnation copies the list of a peer; it stands above all earlier ones of its VM. */
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

/** Whether the one knows at least what the other knows of the member. */
pred knowsAsMuch[process, other, member: Process] {
  some newer[member] & process.list.Entry or
  other.list[member] in process.list[member] + process.list[member].prevs or
  no process.list[member] and other.list[member] in Dead
}

/** A period ends: by then all who hear each other have told each other what they know. */
pred periodEnds {
  guardRefutes
  all teller, process: running, member: Process |
    process in teller.cutTo or knowsAsMuch[process, teller, member]
  lastList' = list
  forgot' = forgot
  listsKept[Process]
  networkKept
}

/** At first some processes run and know each other; old messages may be on their way. */
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

/** All processes run from the start to the end, and at most one pair is cut, one way. */
pred oneCutAmongLiving {
  always Process = running
  lone cutTo
}

/* Promises. */

/** A dead incarnation never comes back. */
assert deadStaysDead {
  always all process, member: Process |
    (process.list[member] = Dead or member in process.forgot) implies
      process.list'[member] in Dead
}

/** No list has two living incarnations of one VM, and none goes back to an older one. */
assert oneIncarnation {
  always all process: running, member: process.list.Entry |
    process.list[older[member]] in Dead
}

/** Whoever runs isn't declared dead, though probes get lost and a pair is cut one way. */
assert livingNotDead { oneCutAmongLiving implies always Dead not in Process.list[Process] }

/** Without loss a pair that is cut one way isn't even suspected, as long as a helper runs. */
assert cutPairNotSuspected {
  oneCutAmongLiving and no Network.lossy implies always no suspicions & Process.list[Process]
}

/** Not promised: two processes that are cut one way and have no helper hold each other for dead. */
assert unpromisedWithoutHelper {
  oneCutAmongLiving implies always Dead not in Process.list[Process]
}

/** Shows that the specification isn't vacuous: a refutation, a death and a new incarnation. */
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
