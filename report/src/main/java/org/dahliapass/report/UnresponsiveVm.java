package org.dahliapass.report;

/**
 * A VM whose counts could not be read.
 *
 * @param name the VM's name, or its address if the name is unknown
 * @param operators the operators' address to which the request was sent
 * @param reason why the request failed
 */
record UnresponsiveVm(String name, String operators, String reason) {}
