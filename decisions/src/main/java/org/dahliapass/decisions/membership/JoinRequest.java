package org.dahliapass.decisions.membership;

/**
 * A request for the member list of another VM.
 *
 * @param self the sender's own update
 * @param digest digest of the sender's list; the response is empty if the digests are equal
 */
public record JoinRequest(MemberUpdate self, long digest) {}
