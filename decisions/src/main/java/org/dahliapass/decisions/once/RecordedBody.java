package org.dahliapass.decisions.once;

import java.util.Arrays;

/** The immutable body of a recorded result. */
public final class RecordedBody {

    private final byte[] mBytes;

    private RecordedBody(byte[] bytes) {
        mBytes = bytes;
    }

    /** Returns a body with a copy of the bytes. */
    public static RecordedBody copyOf(byte[] bytes) {
        return new RecordedBody(bytes.clone());
    }

    /** Returns the length in bytes. */
    public int length() {
        return mBytes.length;
    }

    /** Returns a copy of the bytes. */
    public byte[] toByteArray() {
        return mBytes.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RecordedBody body && Arrays.equals(mBytes, body.mBytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mBytes);
    }

    @Override
    public String toString() {
        return mBytes.length + " bytes";
    }
}
