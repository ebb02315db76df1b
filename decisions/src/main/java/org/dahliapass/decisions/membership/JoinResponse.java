package org.dahliapass.decisions.membership;

import java.util.List;

/**
 * The response to a {@link JoinRequest}.
 *
 * @param members the member list to send back; empty if both lists are equal
 * @param actions further actions to perform
 */
public record JoinResponse(List<MemberUpdate> members, List<MembershipAction> actions) {}
