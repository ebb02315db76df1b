/**
 * The gateway VM: an entry VM that reads its routes, targets and peers from the store of the
 * platform.
 */
package org.dahliapass.gateway;
