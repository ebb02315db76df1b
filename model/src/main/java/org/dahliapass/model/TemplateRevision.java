package org.dahliapass.model;

/**
 * A template that was accepted.
 *
 * @param customer the customer's name
 * @param number the number of the accepted change in the fleet-wide order; only grows
 * @param operationId names the accept that wrote it, so that a lost answer can be resolved
 * @param author the operator
 * @param text the INI text
 */
public record TemplateRevision(
        String customer, long number, String operationId, String author, String text) {}
