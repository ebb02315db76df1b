package org.dahliapass.gateway;

import org.dahliapass.decisions.limits.LimitMessage;
import org.dahliapass.wire.message.LimitUse;

/** Converts the use of rate limits between the peer messages and the decision records. */
final class LimitCodec {
    private LimitCodec() {}

    /** Encodes a customer's use at this VM. */
    static LimitUse encode(String customer, LimitMessage.Use use) {
        return LimitUse.newBuilder()
                .setCustomer(customer)
                .setRequestsPerSecond(use.requestsPerSecond())
                .setWanted(use.wanted())
                .setEpoch(use.epoch())
                .setAdmitted(use.admitted())
                .setTokens(use.tokens())
                .build();
    }

    /** Decodes a customer's use at another VM. */
    static LimitMessage decode(String sender, String receiver, LimitUse encoded) {
        return new LimitMessage(
                sender,
                receiver,
                encoded.getCustomer(),
                new LimitMessage.Use(
                        encoded.getRequestsPerSecond(),
                        encoded.getWanted(),
                        encoded.getEpoch(),
                        encoded.getAdmitted(),
                        encoded.getTokens()));
    }
}
