package org.dahliapass.entry;

/**
 * What an operator wants explained; each part may be null for "any".
 *
 * @param target a target's address
 * @param request a request's id
 * @param customer a customer's name
 * @param since milliseconds since the epoch
 */
record ExplanationQuery(String target, String request, String customer, String since) {

    /** Returns the time from which on explanations are wanted, in milliseconds; 0 for all. */
    long sinceMillis() {
        try {
            return since == null ? 0 : Long.parseLong(since);
        } catch (NumberFormatException expected) {
            return 0;
        }
    }

    /** Returns whether a subject is one that is asked for. */
    boolean matches(String subject) {
        boolean targetFits = target == null || subject.contains(target);
        boolean customerFits = customer == null || subject.contains(customer);
        return targetFits && customerFits;
    }
}
