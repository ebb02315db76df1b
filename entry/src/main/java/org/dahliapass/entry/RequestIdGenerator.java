package org.dahliapass.entry;

import java.util.concurrent.atomic.AtomicLong;
import org.dahliapass.model.VmIdentity;

/** Makes request ids that name the VM's life which gave them, so that any id can be looked up. */
final class RequestIdGenerator {
    private final VmIdentity mSelf;
    private final AtomicLong mNext = new AtomicLong();

    RequestIdGenerator(VmIdentity self) {
        mSelf = self;
    }

    /** Returns a new id. */
    String next() {
        return mSelf + "." + Long.toString(mNext.incrementAndGet(), Character.MAX_RADIX);
    }
}
