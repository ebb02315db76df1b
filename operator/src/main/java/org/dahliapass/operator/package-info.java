/** The operators' command: check, accept and look up templates, and ask the VMs what they do. */
package org.dahliapass.operator;
