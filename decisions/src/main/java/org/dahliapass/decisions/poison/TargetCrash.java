package org.dahliapass.decisions.poison;

/**
 * The crash of a target while it had a request.
 *
 * @param incarnation identifies the start of the target
 * @param sentMillis when the request was sent to it, in milliseconds
 * @param crashedMillis when the connection to it broke, in milliseconds
 */
public record TargetCrash(String incarnation, long sentMillis, long crashedMillis) {}
