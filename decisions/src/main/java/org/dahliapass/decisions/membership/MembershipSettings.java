package org.dahliapass.decisions.membership;

import java.time.Duration;

/**
 * The tolerances of the failure detector.
 *
 * @param period one VM is pinged every period
 * @param pingTimeout without an answer for this long, others are asked to ping
 * @param indirectProbes how many others are asked
 * @param suspicionPeriods periods that a suspicion lasts, times the decimal logarithm of the number
 *     of members
 * @param retransmissions how often a VM repeats one piece of news, times the binary logarithm of
 *     the number of members
 * @param rumorFanout how many random VMs get urgent news at once
 * @param rumorInterval least time between two such rounds
 * @param exchangeInterval time between two comparisons of the whole list with a random VM, in a
 *     fleet of up to 256; proportionally longer in a larger one
 * @param seedInterval time between two contacts to an address of the VM list that isn't a live
 *     member's
 * @param tombstoneRetention how long a dead VM is remembered
 * @param datagramBytes room for news in one datagram
 */
public record MembershipSettings(
        Duration period,
        Duration pingTimeout,
        int indirectProbes,
        double suspicionPeriods,
        double retransmissions,
        int rumorFanout,
        Duration rumorInterval,
        Duration exchangeInterval,
        Duration seedInterval,
        Duration tombstoneRetention,
        int datagramBytes) {

    /** Returns the values that are used if the settings file names none. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                Duration.ofSeconds(1),
                Duration.ofMillis(300),
                3,
                3.0,
                1.5,
                3,
                Duration.ofMillis(500),
                Duration.ofSeconds(15),
                Duration.ofSeconds(10),
                Duration.ofMinutes(10),
                900);
    }

    /** Returns how long a suspicion lasts in a fleet of that many members, in milliseconds. */
    long suspicionMillis(int members) {
        double factor = Math.max(1.0, Math.log10(members + 1.0));
        return Math.round(suspicionPeriods * factor * period.toMillis());
    }

    /** Returns how often one piece of news is sent in a fleet of that many members. */
    int transmissions(int members) {
        double logarithm = Math.log(members + 2.0) / Math.log(2.0);
        return (int) Math.ceil(retransmissions * logarithm);
    }
}
