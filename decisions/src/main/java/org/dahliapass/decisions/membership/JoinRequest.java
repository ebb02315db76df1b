package org.dahliapass.decisions.membership;

/**
 * Asks another VM for its member list.
 *
 * @param self the sender's own news
 * @param digest of the sender's list; an equal digest is answered by an empty list
 */
public record JoinRequest(MemberUpdate self, long digest) {}
