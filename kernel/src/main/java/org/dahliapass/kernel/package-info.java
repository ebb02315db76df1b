/** The microkernel: service lifecycle and lookup, time, settings, exceptions and logs. */
package org.dahliapass.kernel;
