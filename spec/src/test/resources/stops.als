/*
 * Planned stops. First: a VM leaves while callers hold answers that name it, peers answer asks from
 * an older view, and other VMs join with a list copied from such a peer. Second: a target leaves
 * while work for it is queued, retried or hedged.
 *
 * Time runs in ticks. The bound on the spread of gossip, the time to live of an answer, the time
 * that a request travels and the bound on the spread of a target's sign are one tick each; what
 * happens within a tick has any order.
 */
module stops

open util/ordering[Tick] as ticks

sig Tick {}

one sig Clock { var now: one Tick }

abstract sig Stage {}
one sig Running, Leaving, Expiring, Arriving, Stopped extends Stage {}

/** The VM that stops, stage by stage. */
one sig Leaver {
  var stage: one Stage,
  /** When this stage began. */
  var stageAt: one Tick,
  /** When it said LEAVING. */
  var leftAt: lone Tick
}

/** Another VM, which answers asks; it may join late. */
sig Peer {
  var joinedAt: lone Tick,
  /** Whether it has fetched the member list again, late enough after it joined. */
  var settled: set Leaver,
  /** Whether it knows that the VM leaves. */
  var knows: set Leaver
}

abstract sig Progress {}
one sig Idle, Travelling, Served, Missed, Cut extends Progress {}

sig Caller {
  /** When it sent the ask whose answer names the leaving VM. */
  var answer: lone Tick,
  var sent: lone Tick,
  var progress: one Progress
}

/** A target that leaves, as one VM sees it. */
one sig Target {
  var signAt: lone Tick,
  /** Whether the VM knows the sign, from whichever source. */
  var signKnown: set Leaver
}

abstract sig Kind {}
one sig Queued, Retried, Hedged extends Kind {}

/** Work for which the target was chosen when it was queued; then it waits to be dispatched. */
sig Work {
  kind: one Kind,
  var chosen: set Target,
  var dispatchedAt: lone Tick
}

fun later[tick: Tick]: set Tick { tick.^next }

/* Guards. */

/** The VM counts on no peer's knowledge before the bound on the spread of gossip has passed. */
pred guardSpreadWaited { Clock.now in later[later[Leaver.stageAt]] }

/** It serves until each answer that named it has expired. */
pred guardAnswersExpired { Clock.now in later[Leaver.stageAt] }

/** It serves until what was sent under such an answer has arrived. */
pred guardRequestsArrived { Clock.now in later[Leaver.stageAt] }

/** It serves until its work in flight has ended. */
pred guardInFlightEnded { no progress.Served }

/** A peer that knows of the stop doesn't name the VM. */
pred guardAsksSkipLeaving[p: Peer] { no p.knows }

/**
 * A VM that has joined answers asks only from a list that it fetched again: the news of the stop
 * may have ended its round before the others knew of the new VM.
 */
pred guardJoinerSettled[p: Peer] { some p.settled }

/** The second fetch comes two spread bounds after the first, so that any later news reaches it. */
pred guardFetchedLate[p: Peer] { Clock.now in later[later[p.joinedAt]] }

/** A caller drops an answer at the end of its time to live, counted from the sending of the ask. */
pred guardCallerDropsExpired[c: Caller] { Clock.now in c.answer + c.answer.next }

/** The sign is looked at when the work is dispatched, not only when it was queued. */
pred guardQueuedChecked[w: Work] { w.kind = Queued implies no Target.signKnown }

/** A retry looks at the sign too. */
pred guardRetriedChecked[w: Work] { w.kind = Retried implies no Target.signKnown }

/** A hedge looks at the sign too. */
pred guardHedgedChecked[w: Work] { w.kind = Hedged implies no Target.signKnown }

/** A late report that still calls the target healthy doesn't take the sign away. */
pred guardSignSticks { no Target.signAt }

/*
 * What the stop takes as given; each bound holds when a tick ends. Other parts have to keep these
 * bounds, so they are switched off in variants like the guards.
 */

/** Gossip reaches in time each VM that all others knew when the news started. */
pred guardGossipInTime {
  all p: Peer |
    (some p.joinedAt and some Leaver.leftAt and Clock.now in later[Leaver.leftAt] and
      (p.joinedAt = ticks/first or Leaver.leftAt in later[p.joinedAt])) implies some p.knows
}

/** A request reaches the VM within the bound. */
pred guardRequestsInTime { all c: progress.Travelling | Clock.now not in later[c.sent] }

/** The VM hears of the target's sign within the bound, from some source. */
pred guardSignInTime {
  some Target.signAt and Clock.now in later[Target.signAt] implies some Target.signKnown
}

/* Events. */

pred leaverKept { stage' = stage and stageAt' = stageAt and leftAt' = leftAt }

pred peersKept { joinedAt' = joinedAt and settled' = settled and knows' = knows }

pred callersKept { answer' = answer and sent' = sent and progress' = progress }

pred targetKept {
  signAt' = signAt
  signKnown' = signKnown
  chosen' = chosen
  dispatchedAt' = dispatchedAt
}

pred clockKept { now' = now }

pred nothing { leaverKept and peersKept and callersKept and targetKept and clockKept }

pred tick {
  some Clock.now.next
  guardGossipInTime and guardRequestsInTime and guardSignInTime
  now' = Clock -> Clock.now.next
  leaverKept and peersKept and callersKept and targetKept
}

pred enters[to: Stage] {
  stage' = Leaver -> to
  stageAt' = Leaver -> Clock.now
  peersKept and targetKept and clockKept
}

pred leave {
  Leaver.stage = Running
  enters[Leaving]
  leftAt' = Leaver -> Clock.now
  callersKept
}

pred spreadEnds {
  Leaver.stage = Leaving
  guardSpreadWaited
  enters[Expiring]
  leftAt' = leftAt
  callersKept
}

pred answersEnd {
  Leaver.stage = Expiring
  guardAnswersExpired
  enters[Arriving]
  leftAt' = leftAt
  callersKept
}

pred stop {
  Leaver.stage = Arriving
  guardRequestsArrived
  guardInFlightEnded
  enters[Stopped]
  leftAt' = leftAt
  answer' = answer
  sent' = sent
  progress' = progress ++ progress.Served -> Cut
}

pred hear[p: Peer] {
  some p.joinedAt and some Leaver.leftAt
  knows' = knows + p -> Leaver
  joinedAt' = joinedAt
  settled' = settled
  leaverKept and callersKept and targetKept and clockKept
}

/** A list is copied only from a VM that is settled itself. */
pred copies[p, source: Peer] {
  some source.settled
  knows' = knows + p -> source.knows
  leaverKept and callersKept and targetKept and clockKept
}

pred join[p: Peer] {
  no p.joinedAt
  some source: Peer - p | copies[p, source]
  joinedAt' = joinedAt + p -> Clock.now
  settled' = settled
}

pred fetchAgain[p: Peer] {
  some p.joinedAt and no p.settled
  guardFetchedLate[p]
  some source: Peer - p | copies[p, source]
  joinedAt' = joinedAt
  settled' = settled + p -> Leaver
}

pred answerAsk[c: Caller, p: Peer] {
  some p.joinedAt
  guardAsksSkipLeaving[p]
  guardJoinerSettled[p]
  answer' = answer ++ c -> Clock.now
  sent' = sent
  progress' = progress
  leaverKept and peersKept and targetKept and clockKept
}

pred moves[c: Caller, to: Progress] {
  progress' = progress ++ c -> to
  answer' = answer
  leaverKept and peersKept and targetKept and clockKept
}

pred send[c: Caller] {
  c.progress = Idle
  some c.answer
  guardCallerDropsExpired[c]
  sent' = sent ++ c -> Clock.now
  moves[c, Travelling]
}

pred arrive[c: Caller] {
  c.progress = Travelling
  sent' = sent
  Leaver.stage = Stopped implies moves[c, Missed] else moves[c, Served]
}

pred finish[c: Caller] {
  c.progress = Served
  sent' = sent
  moves[c, Idle]
}

pred restKept { leaverKept and peersKept and callersKept and clockKept }

pred targetLeaves {
  no Target.signAt
  signAt' = Target -> Clock.now
  signKnown' = signKnown
  chosen' = chosen
  dispatchedAt' = dispatchedAt
  restKept
}

pred signHeard {
  some Target.signAt
  signKnown' = Target -> Leaver
  signAt' = signAt
  chosen' = chosen
  dispatchedAt' = dispatchedAt
  restKept
}

pred lateReportSaysHealthy {
  guardSignSticks
  no signKnown'
  signAt' = signAt
  chosen' = chosen
  dispatchedAt' = dispatchedAt
  restKept
}

pred choose[w: Work] {
  no w.chosen
  no Target.signKnown
  chosen' = chosen + w -> Target
  signAt' = signAt
  signKnown' = signKnown
  dispatchedAt' = dispatchedAt
  restKept
}

pred dispatch[w: Work] {
  some w.chosen and no w.dispatchedAt
  guardQueuedChecked[w]
  guardRetriedChecked[w]
  guardHedgedChecked[w]
  dispatchedAt' = dispatchedAt + w -> Clock.now
  signAt' = signAt
  signKnown' = signKnown
  chosen' = chosen
  restKept
}

pred vmStops {
  leave or spreadEnds or answersEnd or stop or
  (some p: Peer | hear[p] or join[p] or fetchAgain[p]) or
  (some c: Caller | send[c] or arrive[c] or finish[c] or some p: Peer | answerAsk[c, p])
}

pred targetStops {
  targetLeaves or signHeard or lateReportSaysHealthy or
  (some w: Work | choose[w] or dispatch[w])
}

fact behaviour {
  Clock.now = ticks/first
  Leaver.stage = Running and Leaver.stageAt = ticks/first and no leftAt
  all p: Peer |
    (p.joinedAt = ticks/first and some p.settled) or (no p.joinedAt and no p.settled)
  no knows
  no answer and no sent and Caller.progress = Idle
  no signAt and no signKnown and no chosen and no dispatchedAt
  always (nothing or tick or vmStops or targetStops)
}

/* Promises. */

/** No request of a caller with a valid answer meets a stopped VM. */
assert noneMissed { always no progress.Missed }

/** Nothing in flight is cut. */
assert noneCut { always no progress.Cut }

/** The target gets no work once the sign's bound has passed. */
assert noLateDispatch {
  always (some Target.signAt implies no Work.dispatchedAt & later[later[Target.signAt]])
}

/** Nor after this VM has known the sign. */
assert noDispatchAfterSign {
  always (some Target.signKnown implies dispatchedAt' = dispatchedAt)
}

/** Shows that the specification isn't vacuous: a request is served just before the stop. */
pred interesting {
  eventually (Leaver.stage = Arriving and some progress.Served)
  eventually Leaver.stage = Stopped
  eventually some dispatchedAt
}

run interesting for exactly 1 Work, exactly 1 Peer, exactly 1 Caller, exactly 5 Tick, 16..16 steps
check noneMissed for 0 Work, exactly 2 Peer, exactly 1 Caller, exactly 5 Tick, 16..16 steps
check noneCut for 0 Work, exactly 1 Peer, exactly 2 Caller, exactly 5 Tick, 13..13 steps
check noLateDispatch for exactly 2 Work, 1 Peer, exactly 1 Caller, exactly 4 Tick, 9..9 steps
check noDispatchAfterSign for exactly 2 Work, 1 Peer, exactly 1 Caller, exactly 3 Tick, 8..8 steps
