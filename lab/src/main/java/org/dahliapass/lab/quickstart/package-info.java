/** What the quick start needs: templates filled with the stand-ins' addresses, and callers. */
package org.dahliapass.lab.quickstart;
