package org.dahliapass.standins;

/**
 * The faults injected into the store; a field missing from the JSON is off.
 *
 * @param away every call fails, including pending watches
 * @param awayByClose a failed call closes the connection instead of returning status 500
 * @param slowMillis the delay of a response after its call took effect, in milliseconds
 * @param loseAnswers the number of next writes that take effect but whose response is lost
 */
public record StoreFaults(boolean away, boolean awayByClose, long slowMillis, int loseAnswers) {
    /** No faults. */
    public static final StoreFaults NONE = new StoreFaults(false, false, 0, 0);

    StoreFaults withLoseAnswers(int remaining) {
        return new StoreFaults(away, awayByClose, slowMillis, remaining);
    }
}
