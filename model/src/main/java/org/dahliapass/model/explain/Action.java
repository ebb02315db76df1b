package org.dahliapass.model.explain;

/** An automatic action of the fleet. */
public enum Action {
    /** A target was ejected because of the cell's evidence. */
    EJECTED("ejected"),
    /** This VM stopped using a target that fails only for this VM. */
    AVOIDED("avoided by this VM"),
    /** A target begins to receive requests with slow start. */
    RETURNING("returning to service"),
    /** A target receives its full share of requests again. */
    RESTORED("restored"),
    /** The weight of a slow target was reduced. */
    SLOWED("reduced in weight"),
    /** A failing target was not ejected because of the floor. */
    FLOOR_HELD("kept in service by the floor"),
    /** A target is shutting down and receives no new requests. */
    LEAVING("leaving"),
    /** A target reported a cold start. */
    COLD("starting"),
    /** A request was rejected by load shedding. */
    SHED("rejected"),
    /** A VM took over a role of another VM. */
    TAKEN_OVER("taken over"),
    /** A VM gave up a role. */
    STOOD_DOWN("stepped down"),
    /** An accepted template revision was applied. */
    REVISION_APPLIED("revision in force"),
    /** An accepted template revision failed validation; the previous revision remains in force. */
    REVISION_REJECTED("revision rejected"),
    /** A VM resumed a role that it had given up. */
    RESUMED("serving again");

    private final String mPhrase;

    Action(String phrase) {
        mPhrase = phrase;
    }

    /** Returns the description shown to operators. */
    public String phrase() {
        return mPhrase;
    }
}
