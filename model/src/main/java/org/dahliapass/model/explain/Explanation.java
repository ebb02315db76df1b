package org.dahliapass.model.explain;

/**
 * One thing that the fleet did by itself, with the reason.
 *
 * @param atMillis when, by the clock of the VM that did it
 * @param action what was done
 * @param subject what it was done to: a service, a target, a request or a template
 * @param cause why, in one short sentence
 * @param evidence the figures that led to it
 * @param setting the template's setting that decided, with its value
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
