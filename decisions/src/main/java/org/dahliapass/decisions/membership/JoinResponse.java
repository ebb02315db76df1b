package org.dahliapass.decisions.membership;

import java.util.List;

/**
 * What follows from a {@link JoinRequest}.
 *
 * @param members the list to reply with; empty if both lists are equal
 * @param actions what else to do
 */
public record JoinResponse(List<MemberUpdate> members, List<MembershipAction> actions) {}
