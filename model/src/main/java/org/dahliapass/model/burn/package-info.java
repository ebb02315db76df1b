/** The recorded request outcomes of a VM, for the error budget report. */
package org.dahliapass.model.burn;
