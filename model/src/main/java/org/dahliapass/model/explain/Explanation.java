package org.dahliapass.model.explain;

/**
 * The explanation of one automatic action.
 *
 * @param atMillis the time of the action by the clock of the acting VM, in milliseconds
 * @param action the action
 * @param subject the service, target, request or template that the action applies to
 * @param cause the reason, in one short sentence
 * @param evidence the measurements that led to the action
 * @param setting the template setting that applied, with its value
 */
public record Explanation(
        long atMillis,
        Action action,
        String subject,
        String cause,
        String evidence,
        String setting) {

    @Override
    public String toString() {
        return String.format(
                "%d %s %s: %s (%s; %s)",
                atMillis, subject, action.phrase(), cause, evidence, setting);
    }
}
