package org.dahliapass.model;

/**
 * An accepted revision of a customer's template.
 *
 * @param customer the customer's name
 * @param number the position of the revision in the fleet-wide order; strictly increasing
 * @param operationId the operation that wrote the revision; resolves the outcome of a lost response
 * @param author the operator who submitted the revision
 * @param text the template as INI text
 */
public record TemplateRevision(
        String customer, long number, String operationId, String author, String text) {}
