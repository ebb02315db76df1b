package org.dahliapass.lab.capacity;

/**
 * The size and load of a fleet.
 *
 * @param vms entry VMs
 * @param targets targets of all services
 * @param services services
 * @param routes pairs of a customer and a service that it uses
 * @param customers customers, with one template each
 * @param zones availability zones of all regions
 * @param cellSize VMs that serve each service
 * @param requestsPerSecond requests per second of all callers
 * @param changesPerDay accepted configuration changes per day
 * @param restartsPerDay VMs restarted or replaced per day
 * @param failuresPerDay VMs that fail per day
 */
record FleetSize(
        int vms,
        int targets,
        int services,
        int routes,
        int customers,
        int zones,
        int cellSize,
        double requestsPerSecond,
        double changesPerDay,
        double restartsPerDay,
        double failuresPerDay) {
    /** The fleet that the system is designed for: two regions with four availability zones each. */
    static final FleetSize DESIGN =
            new FleetSize(3_700, 37_000, 1_600, 64_000, 170_000, 8, 6, 220_000, 2_100, 5_500, 230);

    private static final double DAY_SECONDS = 86_400;
    private static final int UPDATES_PER_EVENT = 3;

    /** Returns the mean number of services per VM. */
    double servicesPerVm() {
        return (double) services * cellSize / vms;
    }

    /** Returns the mean number of targets per service. */
    double targetsPerService() {
        return (double) targets / services;
    }

    /** Returns the mean number of customer templates per VM. */
    double customersPerVm() {
        return (double) customers / services * servicesPerVm();
    }

    /** Returns the requests per second of one VM. */
    double requestsPerVm() {
        return requestsPerSecond / vms;
    }

    /** Returns the accepted configuration changes per second. */
    double changesPerSecond() {
        return changesPerDay / DAY_SECONDS;
    }

    /**
     * Returns the member updates per second. Each failure or restart causes three: suspect or
     * leaving, dead, and the join of the successor.
     */
    double memberUpdatesPerSecond() {
        return (restartsPerDay + failuresPerDay) * UPDATES_PER_EVENT / DAY_SECONDS;
    }
}
