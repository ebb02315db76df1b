package org.dahliapass.decisions.limits;

/**
 * Divides the retries that a service may have beside a share of its requests among the VMs.
 *
 * <p>Guards against an allowance that grows with the fleet because each VM has its own.
 */
public final class RetryAllowance {
    /**
     * The part that is divided; the rest is left for VMs that restart or take over, which can't
     * know what their predecessors used.
     */
    private static final double DIVIDED_PART = 0.5;

    /** The part for VMs that take no callers by the current plan but may still have some. */
    private static final double OTHER_PART = 0.25;

    /** The VMs with callers that a VM assumes, at least, while it is not one of the known ones. */
    private static final int ASSUMED_VMS = 10;

    private RetryAllowance() {}

    /**
     * Returns the retries that one VM may make.
     *
     * @param fleetRetries the retries of all VMs together
     * @param vms the number of VMs that take callers
     * @param takesCallers whether the VM is one of them
     */
    public static double perVm(double fleetRetries, int vms, boolean takesCallers) {
        return takesCallers
                ? DIVIDED_PART * fleetRetries / Math.max(1, vms)
                : OTHER_PART * fleetRetries / Math.max(ASSUMED_VMS, vms);
    }
}
