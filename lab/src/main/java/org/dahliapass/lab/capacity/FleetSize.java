package org.dahliapass.lab.capacity;

/**
 * A fleet's size and load.
 *
 * @param vms entry VMs
 * @param targets targets of all services
 * @param services services
 * @param routes pairs of a customer and a service that it uses, by the letter
 * @param customers customers with a template each
 * @param zones availability zones, all regions together
 * @param cell VMs that serve a service
 * @param requestsPerSecond requests of all callers
 * @param changesPerDay accepted changes of configuration
 * @param restartsPerDay VMs that are restarted or replaced
 * @param failuresPerDay VMs that fail
 */
record FleetSize(
        int vms,
        int targets,
        int services,
        int routes,
        int customers,
        int zones,
        int cell,
        double requestsPerSecond,
        double changesPerDay,
        double restartsPerDay,
        double failuresPerDay) {
    /** Two regions with four availability zones each. */
    static final FleetSize LETTER =
            new FleetSize(3_700, 37_000, 1_600, 64_000, 170_000, 8, 6, 220_000, 2_100, 5_500, 230);

    private static final double DAY_SECONDS = 86_400;
    private static final int NEWS_PER_EVENT = 3;

    /** Returns how many services a VM serves on average. */
    double servicesPerVm() {
        return (double) services * cell / vms;
    }

    /** Returns how many targets a service has on average. */
    double targetsPerService() {
        return (double) targets / services;
    }

    /** Returns how many customers' templates a VM needs on average. */
    double customersPerVm() {
        return (double) customers / services * servicesPerVm();
    }

    /** Returns the requests a second that a VM serves. */
    double requestsPerVm() {
        return requestsPerSecond / vms;
    }

    /** Returns the accepted changes a second. */
    double changesPerSecond() {
        return changesPerDay / DAY_SECONDS;
    }

    /**
     * Returns the pieces of news on members a second: suspect or leaving, dead, and the successor's
     * coming, for each failure or restart.
     */
    double newsPerSecond() {
        return (restartsPerDay + failuresPerDay) * NEWS_PER_EVENT / DAY_SECONDS;
    }
}
