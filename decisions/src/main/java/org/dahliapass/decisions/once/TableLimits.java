package org.dahliapass.decisions.once;

/**
 * Bounds the memory of one table of operations.
 *
 * @param maxRecords records of any sort
 * @param reservedRefusals how many of these only refusals may take, so that a full VM can still
 *     promise that a key never runs
 * @param maxBytes estimated bytes of all records
 * @param maxBodyBytes longest body that is kept with a result, in bytes
 */
public record TableLimits(int maxRecords, int reservedRefusals, long maxBytes, int maxBodyBytes) {}
