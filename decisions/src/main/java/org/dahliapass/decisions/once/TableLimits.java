package org.dahliapass.decisions.once;

/**
 * The memory limits of an {@link OperationTable}.
 *
 * @param maxRecords maximum number of records
 * @param reservedRefusals number of these that are reserved for refusals, so that a full VM can
 *     still record that a key never runs
 * @param maxBytes maximum estimated bytes of all records
 * @param maxBodyBytes maximum size of a recorded body, in bytes
 */
public record TableLimits(int maxRecords, int reservedRefusals, long maxBytes, int maxBodyBytes) {}
