package org.dahliapass.decisions.configuration;

import java.util.Optional;

/**
 * All that is needed to find out later whether an accept took effect.
 *
 * @param operationId names the accept
 * @param customer the customer whose template was to change
 * @param headIndex the store's index of the head that was to be replaced
 * @param number the number that the change has if it was accepted
 */
public record OperationHandle(String operationId, String customer, long headIndex, long number) {
    private static final int PARTS = 4;

    /** Reads a handle written by {@link #toString()}. */
    public static Optional<OperationHandle> parse(String text) {
        String[] parts = text.split("/", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new OperationHandle(
                            parts[0],
                            parts[1],
                            Long.parseLong(parts[2]),
                            Long.parseLong(parts[3])));
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return operationId + "/" + customer + "/" + headIndex + "/" + number;
    }
}
