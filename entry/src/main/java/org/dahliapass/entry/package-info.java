/** The entry VM: the process between callers and targets. */
package org.dahliapass.entry;
