package org.dahliapass.decisions.traffic;

import org.dahliapass.decisions.admission.AdmissionOrder;
import org.dahliapass.decisions.admission.CustomerSharing;

/**
 * Which mechanisms the traffic decisions of a service use.
 *
 * @param admissionOrder the order in which waiting requests are dispatched
 * @param customerSharing how the shares of customers are measured
 * @param hedgesByAge whether an attempt that is much older than usual responses is hedged, even if
 *     its target responds to others, second attempts get the most reliable targets, and failed
 *     reads with time left may wait for a slot
 * @param learnsAcceptance whether targets that reject requests with slots free are avoided
 * @param zoneCrossingCost the cost of sending a request to another availability zone, as a loss
 *     probability; 0 to ignore zones
 * @param learnsResponseTimes whether the distribution of response times is learned for each route,
 *     and decides with the retry budget when a read gets a second attempt; otherwise a fixed
 *     distribution applies to all routes
 * @param learnsFreeCapacity whether attempts that are presumed lost don't count as slots in use, as
 *     far as the load statements of their targets allow
 * @param yieldsToOtherVms whether a freed slot is left to other VMs where requests that come first
 *     wait
 */
public record TrafficPolicy(
        AdmissionOrder admissionOrder,
        CustomerSharing customerSharing,
        boolean hedgesByAge,
        boolean learnsAcceptance,
        double zoneCrossingCost,
        boolean learnsResponseTimes,
        boolean learnsFreeCapacity,
        boolean yieldsToOtherVms) {
    /** Uses none of the optional mechanisms. */
    public static final TrafficPolicy BASIC =
            new TrafficPolicy(AdmissionOrder.LANES, CustomerSharing.VM, false, false, 0);

    /** Creates a policy that neither learns response times and free capacity nor yields. */
    public TrafficPolicy(
            AdmissionOrder admissionOrder,
            CustomerSharing customerSharing,
            boolean hedgesByAge,
            boolean learnsAcceptance,
            double zoneCrossingCost) {
        this(
                admissionOrder,
                customerSharing,
                hedgesByAge,
                learnsAcceptance,
                zoneCrossingCost,
                false,
                false,
                false);
    }

    /** Returns this policy with learned response times. */
    public TrafficPolicy withLearnedResponseTimes() {
        return new TrafficPolicy(
                admissionOrder,
                customerSharing,
                hedgesByAge,
                learnsAcceptance,
                zoneCrossingCost,
                true,
                learnsFreeCapacity,
                yieldsToOtherVms);
    }
}
