package org.dahliapass.decisions.membership;

import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** Shuffles lists by a handed-in generator, which the runtime's own method doesn't take. */
public final class Shuffle {
    private Shuffle() {}

    /** Puts the elements into a random order, each order being equally likely. */
    public static void shuffle(List<?> list, RandomGenerator random) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
