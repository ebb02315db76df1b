package org.dahliapass.decisions.membership;

import java.time.Duration;

/**
 * Settings of the gossip protocol and its failure detector.
 *
 * @param period the interval between the pings of one VM
 * @param pingTimeout time without an acknowledgement after which indirect probes are sent
 * @param indirectProbes number of members that probe indirectly
 * @param suspicionPeriods duration of a suspicion in periods, multiplied by the decimal logarithm
 *     of the number of members
 * @param retransmissions number of times that a VM sends an update, multiplied by the binary
 *     logarithm of the number of members
 * @param rumorFanout number of random members that receive urgent updates at once
 * @param rumorInterval minimum time between two rounds of urgent updates
 * @param exchangeInterval time between two exchanges of the whole list with a random member, in a
 *     fleet of up to 256; proportionally longer in a larger one
 * @param seedInterval time between two exchanges with a seed that isn't a live member
 * @param tombstoneRetention how long a dead member is kept in the list
 * @param datagramBytes maximum size of the updates in one datagram, in bytes
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

    /** Returns the default settings. */
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

    /** Returns the duration of a suspicion in milliseconds for a number of members. */
    long suspicionMillis(int members) {
        double factor = Math.max(1.0, Math.log10(members + 1.0));
        return Math.round(suspicionPeriods * factor * period.toMillis());
    }

    /** Returns how many times an update is sent for a number of members. */
    int transmissions(int members) {
        double logarithm = Math.log(members + 2.0) / Math.log(2.0);
        return (int) Math.ceil(retransmissions * logarithm);
    }
}
