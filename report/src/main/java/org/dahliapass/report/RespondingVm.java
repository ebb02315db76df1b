package org.dahliapass.report;

/**
 * A VM that told what it knows.
 *
 * @param vm its identity
 * @param ageMillis how long it has been counting
 */
record RespondingVm(String vm, long ageMillis) {}
