package org.dahliapass.operator;

/**
 * The status of a customer's template on a VM.
 *
 * @param held whether the VM holds the template, since it serves one of its services
 * @param changeNumber the number of the change that the VM has applied; 0 if none
 * @param headNumber the number of the newest change of any customer known to the VM; 0 if not
 *     reported
 */
public record TemplateStatus(boolean held, long changeNumber, long headNumber) {}
