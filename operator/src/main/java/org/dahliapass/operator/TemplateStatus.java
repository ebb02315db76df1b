package org.dahliapass.operator;

/**
 * What a VM says of one customer's template.
 *
 * @param held whether the VM holds the template, because it serves one of its services
 * @param changeNumber the number of the change that is in force there; 0 if none is held
 * @param headNumber the newest change of any customer that the VM knows of; 0 if it didn't say
 */
public record TemplateStatus(boolean held, long changeNumber, long headNumber) {}
