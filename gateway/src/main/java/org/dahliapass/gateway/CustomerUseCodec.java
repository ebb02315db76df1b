package org.dahliapass.gateway;

import java.util.List;
import org.dahliapass.decisions.admission.CustomerCount;
import org.dahliapass.wire.message.CustomerInFlight;

/** Converts what customers hold between the peer messages and the decision records. */
final class CustomerUseCodec {
    private CustomerUseCodec() {}

    static List<CustomerInFlight> encode(List<CustomerCount> counts) {
        return counts.stream()
                .map(
                        count ->
                                CustomerInFlight.newBuilder()
                                        .setCustomer(count.customer())
                                        .setInFlight(count.inFlight())
                                        .setWaiting(count.waiting())
                                        .build())
                .toList();
    }

    static List<CustomerCount> decode(List<CustomerInFlight> counts) {
        return counts.stream()
                .map(
                        count ->
                                new CustomerCount(
                                        count.getCustomer(),
                                        count.getInFlight(),
                                        count.getWaiting()))
                .toList();
    }
}
