/** The transport of messages between the VMs of a fleet: datagrams over UDP, requests over TCP. */
package org.dahliapass.wire;
