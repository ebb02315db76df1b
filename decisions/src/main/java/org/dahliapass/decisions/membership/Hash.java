package org.dahliapass.decisions.membership;

/** Hash functions whose results are the same on every VM and Java runtime. */
public final class Hash {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Hash() {}

    /** Returns the 64-bit hash of a text. */
    public static long of(String text) {
        long hash = OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return mix(hash);
    }

    /** Returns the value mixed by the finalizer of MurmurHash3. */
    public static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
