package org.dahliapass.entry;

/**
 * An operator's query for explanations; null components match everything.
 *
 * @param target the target's address
 * @param request the request id
 * @param customer the customer's name
 * @param since the earliest time in milliseconds since the epoch
 */
record ExplanationQuery(String target, String request, String customer, String since) {

    /** Returns the earliest time in milliseconds since the epoch; 0 if absent or malformed. */
    long sinceMillis() {
        try {
            return since == null ? 0 : Long.parseLong(since);
        } catch (NumberFormatException expected) {
            return 0;
        }
    }

    /** Returns whether a subject matches the target and the customer. */
    boolean matches(String subject) {
        boolean targetMatches = target == null || subject.contains(target);
        boolean customerMatches = customer == null || subject.contains(customer);
        return targetMatches && customerMatches;
    }
}
