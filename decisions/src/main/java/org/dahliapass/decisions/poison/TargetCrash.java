package org.dahliapass.decisions.poison;

/**
 * The end of a target while it had a request.
 *
 * @param incarnation the start of the target that ended
 * @param sentMillis when the request was sent to it, in milliseconds
 * @param crashedMillis when the connection to it broke, in milliseconds
 */
public record TargetCrash(String incarnation, long sentMillis, long crashedMillis) {}
