package org.dahliapass.report;

/**
 * A VM whose counts are included in the report.
 *
 * @param vm the VM's identity
 * @param ageMillis how long the VM has been counting, in milliseconds
 */
record RespondingVm(String vm, long ageMillis) {}
