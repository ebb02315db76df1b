/*
 * Planned stops. First, a VM leaves while callers cache discovery responses that name it, peers
 * respond to discovery requests from an outdated view, and VMs join with a list copied from such a
 * peer. Second, a target leaves while requests for it are queued, retried or hedged.
 *
 * The bounds on gossip propagation, the time to live of a discovery response, the network delay of
 * a request and the propagation of a target's leave signal are one tick each. Events within a tick
 * are unordered.
 */
module stops

open util/ordering[Tick] as ticks

sig Tick {}

one sig Clock { var now: one Tick }

abstract sig Stage {}
one sig Running, Leaving, Expiring, Arriving, Stopped extends Stage {}

/** The stopping VM with its shutdown stage. */
one sig Leaver {
  var stage: one Stage,
  /** When this stage started. */
  var stageAt: one Tick,
  /** When it announced LEAVING. */
  var leftAt: lone Tick
}

/** Another VM that responds to discovery requests; it may join late. */
sig Peer {
  var joinedAt: lone Tick,
  /** Non-empty if it has fetched the member list again, late enough after it joined. */
  var settled: set Leaver,
  /** Non-empty if it knows that the VM is leaving. */
  var knows: set Leaver
}

abstract sig Progress {}
one sig Idle, Travelling, Served, Missed, Cut extends Progress {}

sig Caller {
  /** When it sent the discovery request whose response names the leaving VM. */
  var answer: lone Tick,
  var sent: lone Tick,
  var progress: one Progress
}

/** A leaving target, as seen by one VM. */
one sig Target {
  var signAt: lone Tick,
  /** Non-empty if the VM knows the leave signal, from any source. */
  var signKnown: set Leaver
}

abstract sig Kind {}
one sig Queued, Retried, Hedged extends Kind {}

/** A request for which the target is selected before the dispatch. */
sig Work {
  kind: one Kind,
  var chosen: set Target,
  var dispatchedAt: lone Tick
}

fun later[tick: Tick]: set Tick { tick.^next }

/* Guards. */

/** The VM assumes that peers know of the stop only after the gossip bound. */
pred guardSpreadWaited { Clock.now in later[later[Leaver.stageAt]] }

/** It serves until all discovery responses that name it have expired. */
pred guardAnswersExpired { Clock.now in later[Leaver.stageAt] }

/** It serves until requests sent under such a response have arrived. */
pred guardRequestsArrived { Clock.now in later[Leaver.stageAt] }

/** It serves until its requests in flight have completed. */
pred guardInFlightEnded { no progress.Served }

/** A peer that knows of the stop doesn't name the VM in responses. */
pred guardAsksSkipLeaving[p: Peer] { no p.knows }

/**
 * A joined VM responds to discovery requests only from a list that it fetched again, because the
 * rumor of the stop may have expired before the other VMs knew the new one.
 */
pred guardJoinerSettled[p: Peer] { some p.settled }

/** The second fetch is two gossip bounds after the first, so that later rumors reach the VM. */
pred guardFetchedLate[p: Peer] { Clock.now in later[later[p.joinedAt]] }

/** A caller evicts a response when its time to live, counted from the request, has passed. */
pred guardCallerDropsExpired[c: Caller] { Clock.now in c.answer + c.answer.next }

/** The leave signal is checked at dispatch, not only at queueing. */
pred guardQueuedChecked[w: Work] { w.kind = Queued implies no Target.signKnown }

/** The leave signal is checked for retries. */
pred guardRetriedChecked[w: Work] { w.kind = Retried implies no Target.signKnown }

/** The leave signal is checked for hedges. */
pred guardHedgedChecked[w: Work] { w.kind = Hedged implies no Target.signKnown }

/** A late report that the target is healthy doesn't revoke the leave signal. */
pred guardSignSticks { no Target.signAt }

/*
 * Assumptions of the stop; each bound holds when a tick ends. Other components must meet these
 * bounds, so the tests remove them like the guards.
 */

/** Gossip reaches within the bound each VM that all others knew when the rumor started. */
pred guardGossipInTime {
  all p: Peer |
    (some p.joinedAt and some Leaver.leftAt and Clock.now in later[Leaver.leftAt] and
      (p.joinedAt = ticks/first or Leaver.leftAt in later[p.joinedAt])) implies some p.knows
}

/** A request reaches the VM within the bound. */
pred guardRequestsInTime { all c: progress.Travelling | Clock.now not in later[c.sent] }

/** The VM learns of the target's leave signal within the bound, from any source. */
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

/** A list is copied only from a settled VM. */
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

/* Assertions. */

/** No request sent under a valid discovery response reaches a stopped VM. */
assert noneMissed { always no progress.Missed }

/** No request in flight is cut off. */
assert noneCut { always no progress.Cut }

/** The target gets no requests after the bound of the leave signal. */
assert noLateDispatch {
  always (some Target.signAt implies no Work.dispatchedAt & later[later[Target.signAt]])
}

/** The VM dispatches nothing to the target once it knows the leave signal. */
assert noDispatchAfterSign {
  always (some Target.signKnown implies dispatchedAt' = dispatchedAt)
}

/** Not vacuous: a request is served just before the stop. */
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
