/** Detection and quarantine of poison messages, requests that crash the targets that run them. */
package org.dahliapass.decisions.poison;
