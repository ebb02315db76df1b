package org.dahliapass.entry;

import java.time.Duration;
import org.dahliapass.decisions.membership.MembershipSettings;

/**
 * The membership's tolerances of this fleet.
 *
 * @param membership the tolerances
 */
record FleetSettings(MembershipSettings membership) {

    /** Returns the standard tolerances scaled to another period of the failure detector. */
    static FleetSettings of(Duration period) {
        MembershipSettings standard = MembershipSettings.defaults();
        return new FleetSettings(
                new MembershipSettings(
                        period,
                        scaled(standard.pingTimeout(), period, standard),
                        standard.indirectProbes(),
                        standard.suspicionPeriods(),
                        standard.retransmissions(),
                        standard.rumorFanout(),
                        scaled(standard.rumorInterval(), period, standard),
                        scaled(standard.exchangeInterval(), period, standard),
                        scaled(standard.seedInterval(), period, standard),
                        standard.tombstoneRetention(),
                        standard.datagramBytes()));
    }

    private static Duration scaled(Duration value, Duration period, MembershipSettings standard) {
        double factor = (double) period.toMillis() / standard.period().toMillis();
        return Duration.ofMillis(Math.max(1, Math.round(value.toMillis() * factor)));
    }
}
