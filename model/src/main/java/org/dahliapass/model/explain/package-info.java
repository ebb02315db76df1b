/** Records of what the fleet did by itself, and why. */
package org.dahliapass.model.explain;
