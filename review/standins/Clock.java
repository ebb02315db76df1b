/** The steady clock of a run, in milliseconds since its start. */
final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {}

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
