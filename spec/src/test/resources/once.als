/**
 * At-most-once execution: a key is executed at most once, "not run" stays true, and a result belongs
 * to the key's execution.
 *
 * Sent messages stay in their sets and may be delivered late, repeatedly, in any order or never. A
 * paused VM takes no steps. Requests from callers and other VMs may arrive at any time and aren't
 * modelled as messages. Each guard is a one-line predicate; the test removes each of them in turn.
 * A key here stands for a customer and the caller's key.
 */
module atMostOnce

/** An address with successive incarnations. */
sig Vm {}

/** An incarnation of a VM with its in-memory state. */
sig Life {
    vm: one Vm,
    var ledger: Key -> lone HomeState,
    var register: Key -> lone RegisterState,
    var expired: set Key
}

var sig Up in Life {}
var sig Dead in Life {}

sig Key {
    home: one Life,
    witness: one Life,
    var toldResult: set Dispatch
} { home.vm != witness.vm }

var sig IntentSent, Acknowledged, Abandoned, ToldNotRun in Key {}

/** A dispatch of a key to a target. */
sig Dispatch {
    key: one Key,
    by: one Life,
    var target: lone TargetState
}

/** Dispatches whose result the home has sent to the witness. */
var sig Reported in Dispatch {}

enum HomeState { Asking, Dispatched, Ended, Tombstone }
enum RegisterState { Intent, Kept, NotRun, Refused }
enum TargetState { Waiting, Ran, Rejected }

// Guards, each with the assertion that fails without it

pred guardHomeIsNamedLife[l: Life, k: Key] { l = k.home } // AtMostOnce
pred guardWitnessIsNamedLife[l: Life, k: Key] { l = k.witness } // NotRunIsTrueForever
pred guardIncarnationIsNew[l: Life] { l not in Dead } // AtMostOnce
pred guardAcknowledged[k: Key] { k in Acknowledged } // NotRunIsTrueForever
pred guardNotGivenUp[l: Life, k: Key] { l.ledger[k] != Tombstone } // NotRunIsTrueForever
pred guardNotYetDispatched[l: Life, k: Key] { no l.ledger[k] & (Dispatched + Ended) } // AtMostOnce
pred guardEarlierAttemptsRejected[l: Life, k: Key] { no (key.k & by.l).target & (Waiting + Ran) } // AtMostOnce
pred guardProvedNotRun[l: Life, k: Key] { no (key.k & by.l).target & (Waiting + Ran) } // NotRunIsTrueForever
pred guardTombstoneWritten[l: Life, k: Key] { l.ledger'[k] = Tombstone } // NotRunIsTrueForever
pred guardRefusalWritten[l: Life, k: Key] { l.register'[k] = Refused } // NotRunIsTrueForever
pred guardRefusalHolds[l: Life, k: Key] { no l.register[k] & (Refused + NotRun + Kept) } // NotRunIsTrueForever
pred guardHomeTakesLiveKeys[l: Life, k: Key] { k not in l.expired } // AtMostOnce
pred guardWitnessTakesLiveKeys[l: Life, k: Key] { k not in l.expired } // NotRunIsTrueForever
pred guardExpiredIsUnknown[l: Life, k: Key] { k not in l.expired } // NotRunIsTrueForever
pred guardKeptUntilExpired[l: Life, k: Key] { k in l.expired' } // AtMostOnce
pred guardSilenceIsNoWord[k: Key] { Tombstone in k.home.ledger[k] or some (Refused + NotRun) & k.witness.register[k] } // NotRunIsTrueForever
pred guardResultAfterRun[d: Dispatch] { d.target = Ran } // ResultIsFromTheRun
pred guardAnswerMatchesKey[k: Key, d: Dispatch] { d.key = k } // ResultIsFromTheRun

// Frame conditions

pred sameLives { Up' = Up and Dead' = Dead }
pred sameLedgers { ledger' = ledger }
pred sameRegisters { register' = register }
pred sameExpiry { expired' = expired }
pred sameMessages { IntentSent' = IntentSent and Acknowledged' = Acknowledged and Abandoned' = Abandoned and Reported' = Reported }
pred sameTargets { target' = target }
pred sameAnswers { ToldNotRun' = ToldNotRun and toldResult' = toldResult }
pred ledgerChangesOnly[l: Life, k: Key] { ledger' - l->k->HomeState = ledger - l->k->HomeState }
pred registerChangesOnly[l: Life, k: Key] { register' - l->k->RegisterState = register - l->k->RegisterState }

// Home

pred begin[l: Life, k: Key] {
    l in Up and l.vm = k.home.vm and no l.ledger[k]
    guardHomeIsNamedLife[l, k]
    guardHomeTakesLiveKeys[l, k]
    ledger' = ledger + l->k->Asking
    IntentSent' = IntentSent + k and Acknowledged' = Acknowledged and Abandoned' = Abandoned and Reported' = Reported
    sameLives and sameRegisters and sameExpiry and sameTargets and sameAnswers
}

pred dispatch[l: Life, k: Key, d: Dispatch] {
    l in Up and some l.ledger[k] and d.key = k and d.by = l and no d.target
    guardAcknowledged[k]
    guardNotGivenUp[l, k]
    guardNotYetDispatched[l, k]
    ledger' = ledger ++ l->(l.ledger ++ k->Dispatched)
    target' = target + d->Waiting
    sameLives and sameRegisters and sameExpiry and sameMessages and sameAnswers
}

pred dispatchAgain[l: Life, k: Key, d: Dispatch] {
    l in Up and l.ledger[k] = Dispatched and d.key = k and d.by = l and no d.target
    guardEarlierAttemptsRejected[l, k]
    target' = target + d->Waiting
    sameLives and sameLedgers and sameRegisters and sameExpiry and sameMessages and sameAnswers
}

/** Timeout, rejection by the witness or the targets, full table, or query for an unknown key. */
pred giveUp[l: Life, k: Key] {
    l in Up and l.vm = k.home.vm and no l.ledger[k] & (Ended + Tombstone)
    guardHomeIsNamedLife[l, k]
    guardHomeTakesLiveKeys[l, k]
    guardProvedNotRun[l, k]
    ledgerChangesOnly[l, k]
    guardTombstoneWritten[l, k]
    Abandoned' = Abandoned + k and IntentSent' = IntentSent and Acknowledged' = Acknowledged and Reported' = Reported
    ToldNotRun' = ToldNotRun + k and toldResult' = toldResult
    sameLives and sameRegisters and sameExpiry and sameTargets
}

pred finish[l: Life, d: Dispatch] {
    l in Up and d.by = l and some d.target and l.ledger[d.key] = Dispatched
    guardResultAfterRun[d]
    ledger' = ledger ++ l->(l.ledger ++ d.key->Ended)
    Reported' = Reported + d and IntentSent' = IntentSent and Acknowledged' = Acknowledged and Abandoned' = Abandoned
    sameLives and sameRegisters and sameExpiry and sameTargets and sameAnswers
}

// Witness

pred accept[l: Life, k: Key] {
    l in Up and l.vm = k.witness.vm and k in IntentSent
    guardWitnessIsNamedLife[l, k]
    guardWitnessTakesLiveKeys[l, k]
    guardRefusalHolds[l, k]
    register' = register ++ l->(l.register ++ k->Intent)
    Acknowledged' = Acknowledged + k and IntentSent' = IntentSent and Abandoned' = Abandoned and Reported' = Reported
    sameLives and sameLedgers and sameExpiry and sameTargets and sameAnswers
}

pred hearAbandoned[l: Life, k: Key] {
    l in Up and l = k.witness and k in Abandoned and k not in l.expired and no l.register[k] & (Kept + Refused)
    register' = register ++ l->(l.register ++ k->NotRun)
    sameLives and sameLedgers and sameExpiry and sameMessages and sameTargets and sameAnswers
}

pred hearResult[l: Life, d: Dispatch] {
    l in Up and l = d.key.witness and d in Reported and l.register[d.key] = Intent
    register' = register ++ l->(l.register ++ d.key->Kept)
    sameLives and sameLedgers and sameExpiry and sameMessages and sameTargets and sameAnswers
}

/** A query for a key that isn't in the register: the key is rejected permanently. */
pred refuse[l: Life, k: Key] {
    l in Up and l.vm = k.witness.vm and no l.register[k]
    guardWitnessIsNamedLife[l, k]
    guardExpiredIsUnknown[l, k]
    registerChangesOnly[l, k]
    guardRefusalWritten[l, k]
    ToldNotRun' = ToldNotRun + k and toldResult' = toldResult
    sameLives and sameLedgers and sameExpiry and sameMessages and sameTargets
}

// Responses to callers

pred passOnNotRun[k: Key] {
    guardSilenceIsNoWord[k]
    ToldNotRun' = ToldNotRun + k and toldResult' = toldResult
    sameLives and sameLedgers and sameRegisters and sameExpiry and sameMessages and sameTargets
}

pred passOnResult[l: Life, k: Key, d: Dispatch] {
    l in Up and d in Reported
    (l = d.key.home and l.ledger[d.key] = Ended) or (l = d.key.witness and l.register[d.key] = Kept)
    guardAnswerMatchesKey[k, d]
    toldResult' = toldResult + k->d and ToldNotRun' = ToldNotRun
    sameLives and sameLedgers and sameRegisters and sameExpiry and sameMessages and sameTargets
}

// Targets, crashes, clocks

/** May happen after the sender has crashed. */
pred runAtTarget[d: Dispatch] {
    d.target = Waiting
    target' = target ++ d->Ran
    sameLives and sameLedgers and sameRegisters and sameExpiry and sameMessages and sameAnswers
}

pred rejectAtTarget[d: Dispatch] {
    d.target = Waiting
    target' = target ++ d->Rejected
    sameLives and sameLedgers and sameRegisters and sameExpiry and sameMessages and sameAnswers
}

pred kill[l: Life] {
    l in Up
    Up' = Up - l and Dead' = Dead + l
    ledger' = ledger - l->Key->HomeState
    register' = register - l->Key->RegisterState
    expired' = expired - l->Key
    sameMessages and sameTargets and sameAnswers
}

pred start[l: Life] {
    l not in Up and no Up & vm.(l.vm)
    guardIncarnationIsNew[l]
    Up' = Up + l and Dead' = Dead
    sameLedgers and sameRegisters and sameExpiry and sameMessages and sameTargets and sameAnswers
}

/** A key expires by the clock of one incarnation, which removes its state for the key. */
pred expire[l: Life, k: Key] {
    l in Up
    ledger' = ledger - l->k->HomeState
    register' = register - l->k->RegisterState
    expired in expired' and expired' in expired + l->k
    guardKeptUntilExpired[l, k]
    sameLives and sameMessages and sameTargets and sameAnswers
}

pred nothing {
    sameLives and sameLedgers and sameRegisters and sameExpiry and sameMessages and sameTargets and sameAnswers
}

fact behaviour {
    no ledger and no register and no expired and no Dead and no IntentSent and no Acknowledged
    no Abandoned and no Reported and no target and no ToldNotRun and no toldResult
    all v: Vm | lone Up & vm.v
    always {
        nothing
        or (some l: Life | kill[l] or start[l])
        or (some l: Life, k: Key | begin[l, k] or giveUp[l, k] or accept[l, k] or hearAbandoned[l, k] or refuse[l, k] or expire[l, k])
        or (some l: Life, k: Key, d: Dispatch | dispatch[l, k, d] or dispatchAgain[l, k, d] or passOnResult[l, k, d])
        or (some l: Life, d: Dispatch | finish[l, d] or hearResult[l, d])
        or (some d: Dispatch | runAtTarget[d] or rejectAtTarget[d])
        or (some k: Key | passOnNotRun[k])
    }
}

assert AtMostOnce { always all k: Key | lone key.k & target.Ran }

/** Both sets only grow, so responses that become false later are found too. */
assert NotRunIsTrueForever { always no ToldNotRun & target.Ran.key }

assert ResultIsFromTheRun { always all k: Key | k.toldResult in key.k & target.Ran and lone k.toldResult }

check AtMostOnce for 2 Vm, 3 Life, 1 Key, 2 Dispatch, 1..10 steps
check NotRunIsTrueForever for 2 Vm, 3 Life, 1 Key, 2 Dispatch, 1..9 steps
check ResultIsFromTheRun for 2 Vm, 3 Life, 2 Key, 2 Dispatch, 1..8 steps
run WholeCourse { eventually some k: Key | some k.toldResult and some d: Dispatch | d.key = k and d.target = Rejected } for 2 Vm, 3 Life, 1 Key, 2 Dispatch, 1..10 steps
