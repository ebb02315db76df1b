package org.dahliapass.report;

/**
 * A VM that told nothing.
 *
 * @param name its name, or its address if the name isn't known
 * @param operators the operators' address that was asked
 * @param reason why it told nothing
 */
record UnresponsiveVm(String name, String operators, String reason) {}
