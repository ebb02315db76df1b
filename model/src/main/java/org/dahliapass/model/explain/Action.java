package org.dahliapass.model.explain;

/** What the fleet did by itself. */
public enum Action {
    /** A target was taken out on the cell's evidence. */
    EJECTED("taken out"),
    /** This VM alone stopped using a target that fails only on its own path. */
    AVOIDED("avoided by this VM"),
    /** A target that was out gets work again, slowly. */
    RETURNING("tried again"),
    /** A target has its full share of work again. */
    RESTORED("brought back"),
    /** A target gets a smaller share of work because it is slow. */
    SLOWED("given less work"),
    /** A target with bad evidence stayed in, because the floor forbade taking it out. */
    FLOOR_HELD("kept in service by the floor"),
    /** A target said that it stops; it gets nothing new. */
    LEAVING("leaving"),
    /** A target said that it is still starting. */
    COLD("starting"),
    /** A request was refused to protect the rest. */
    SHED("refused"),
    /** A VM took over a duty of another. */
    TAKEN_OVER("taken over"),
    /** A VM gave up a duty. */
    STOOD_DOWN("stood down"),
    /** An accepted template came into force. */
    REVISION_APPLIED("revision in force"),
    /** An accepted template failed its check here; the one in force stayed. */
    REVISION_REJECTED("revision rejected"),
    /** A VM that had stood down serves again. */
    RESUMED("serving again");

    private final String mPhrase;

    Action(String phrase) {
        mPhrase = phrase;
    }

    /** Returns the words for it that operators read. */
    public String phrase() {
        return mPhrase;
    }
}
