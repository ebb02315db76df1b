/** The shared data model: VMs, targets and customer templates. */
package org.dahliapass.model;
