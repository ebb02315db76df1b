/** Carries the messages between the VMs of one fleet: datagrams by UDP, requests by TCP. */
package org.dahliapass.wire;
