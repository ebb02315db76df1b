package org.dahliapass.decisions.limits;

import java.util.List;

/**
 * The VMs that divide the request limits of targets, as one of them knows them.
 *
 * @param self the name of this VM
 * @param vms the names of the VMs that take callers
 * @param registered the number of all VMs, which may get single requests
 * @param isolated whether this VM no longer learns of changes, so that others may have taken over
 *     its part
 */
public record LimitingVms(String self, List<String> vms, int registered, boolean isolated) {}
