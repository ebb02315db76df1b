/** The response times of requests and the speeds of targets, learned from responses. */
package org.dahliapass.decisions.latency;
