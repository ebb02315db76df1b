package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.Test;

/** Tests of {@link RelayHeader}. */
public final class RelayHeaderTest {
    @Test
    public void formattedHeaderIsParsed() {
        RelayHeader header = new RelayHeader(2, true, false, "a=service; with signs");
        assertEquals(RelayHeader.parse(header.format()), Optional.of(header));
    }

    /** Guards against a VM of another release whose header has more or other fields. */
    @Test
    public void unknownFieldsAreIgnoredAndMalformedHeadersRefused() {
        assertEquals(
                RelayHeader.parse("targets=1;later=x;service=s"),
                Optional.of(new RelayHeader(1, false, false, "s")));
        assertEquals(RelayHeader.parse("service=s"), Optional.empty());
        assertEquals(RelayHeader.parse("targets=x;service=s"), Optional.empty());
        assertEquals(RelayHeader.parse("targets=1;service=%"), Optional.empty());
    }
}
