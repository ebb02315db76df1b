package org.dahliapass.lab.capacity;

import java.util.List;

/** Measures one part of the product by driving its production classes. */
interface Measures {
    /** Measures and returns the lines. */
    List<Slope> take(Probe probe);
}
