package org.dahliapass.decisions.membership;

import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Shuffles lists with a {@link RandomGenerator}, which {@link Collections#shuffle} of Java 17
 * doesn't accept.
 */
public final class Shuffle {
    private Shuffle() {}

    /** Shuffles the list in place; all orders are equally likely. */
    public static void shuffle(List<?> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
