package org.dahliapass.entry;

import java.util.concurrent.atomic.AtomicLong;
import org.dahliapass.model.VmIdentity;

/** Generates request ids that begin with the identity of this VM, so that they can be looked up. */
final class RequestIdGenerator {
    private final VmIdentity mSelf;
    private final AtomicLong mNext = new AtomicLong();

    RequestIdGenerator(VmIdentity self) {
        mSelf = self;
    }

    /** Returns a new id, unique in the fleet. */
    String next() {
        return mSelf + "." + Long.toString(mNext.incrementAndGet(), Character.MAX_RADIX);
    }
}
