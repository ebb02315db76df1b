/** The error budget burn report: collects from all VMs and prints text, JSON or HTML. */
package org.dahliapass.report;
