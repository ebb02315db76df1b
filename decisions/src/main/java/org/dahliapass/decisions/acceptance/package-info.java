/** The probability that a target accepts a request, learned from acceptances and rejections. */
package org.dahliapass.decisions.acceptance;
