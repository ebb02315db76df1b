/** The micro-kernel: services that find each other by name, time, settings, errors, logs. */
package org.dahliapass.kernel;
