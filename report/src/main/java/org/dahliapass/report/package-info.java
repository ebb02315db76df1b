/** The report on service-level burn: collects from all VMs and prints text, JSON or a page. */
package org.dahliapass.report;
