package org.dahliapass.standins;

/**
 * The store's faults; a field left out of the JSON is off.
 *
 * @param away every call fails, waiting watches too
 * @param awayByClose a failed call gets a closed connection instead of status 500
 * @param slowMillis how long an answer is held back after its call took effect, in milliseconds
 * @param loseAnswers how many of the next writes take effect but get a closed connection
 */
public record StoreFaults(boolean away, boolean awayByClose, long slowMillis, int loseAnswers) {
    /** No fault. */
    public static final StoreFaults NONE = new StoreFaults(false, false, 0, 0);

    StoreFaults withLoseAnswers(int left) {
        return new StoreFaults(away, awayByClose, slowMillis, left);
    }
}
