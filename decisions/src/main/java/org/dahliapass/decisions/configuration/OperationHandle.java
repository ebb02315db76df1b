package org.dahliapass.decisions.configuration;

import java.util.Optional;

/**
 * A handle to resolve the outcome of an accept operation later.
 *
 * @param operationId the unique ID of the accept operation
 * @param customer the customer of the template
 * @param headIndex the store's index of the head to be replaced
 * @param number the number of the change if it was accepted
 */
public record OperationHandle(String operationId, String customer, long headIndex, long number) {
    private static final int PARTS = 4;

    /** Parses a handle; returns empty unless the text has the format of {@link #toString()}. */
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
