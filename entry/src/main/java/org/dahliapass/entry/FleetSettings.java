package org.dahliapass.entry;

import java.time.Duration;
import org.dahliapass.decisions.membership.MembershipSettings;

/**
 * The membership protocol's settings for this fleet.
 *
 * @param membership the protocol settings
 */
record FleetSettings(MembershipSettings membership) {

    /** Returns the default settings with durations scaled to a failure detection period. */
    static FleetSettings of(Duration period) {
        MembershipSettings defaults = MembershipSettings.defaults();
        return new FleetSettings(
                new MembershipSettings(
                        period,
                        scaled(defaults.pingTimeout(), period, defaults),
                        defaults.indirectProbes(),
                        defaults.suspicionPeriods(),
                        defaults.retransmissions(),
                        defaults.rumorFanout(),
                        scaled(defaults.rumorInterval(), period, defaults),
                        scaled(defaults.exchangeInterval(), period, defaults),
                        scaled(defaults.seedInterval(), period, defaults),
                        defaults.tombstoneRetention(),
                        defaults.datagramBytes()));
    }

    private static Duration scaled(Duration value, Duration period, MembershipSettings defaults) {
        double factor = (double) period.toMillis() / defaults.period().toMillis();
        return Duration.ofMillis(Math.max(1, Math.round(value.toMillis() * factor)));
    }
}
