/** The records that all parts share: VMs, targets, templates. */
package org.dahliapass.model;
