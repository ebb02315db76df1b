package org.dahliapass.decisions.reachability;

/**
 * The targets that a VM has used, by whether it still reaches them.
 *
 * @param targets the targets with an attempt that has ended
 * @param lost those whose latest attempt got no response
 * @param lostOnNew those of the lost targets whose attempt used a new connection
 * @param lostOnOpen those of the lost targets whose attempt used an open connection
 * @param answeredElsewhere those of the lost targets that have responded to another VM since
 * @param lostMillis how long the target that was lost first has been lost, in milliseconds; 0 if
 *     none is lost
 */
public record ContactSummary(
        int targets,
        int lost,
        int lostOnNew,
        int lostOnOpen,
        int answeredElsewhere,
        long lostMillis) {}
