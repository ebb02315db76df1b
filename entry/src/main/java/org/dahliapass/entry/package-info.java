/** The entry VM, a proxy between callers and targets. */
package org.dahliapass.entry;
