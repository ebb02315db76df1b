package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests of {@link RelayHeader}. */
public final class RelayHeaderTest {
    @Test
    public void formattedHeaderIsParsed() {
        RelayHeader header = new RelayHeader(2, true, false, "a=service; with signs");
        assertEquals(RelayHeader.parse(header.format()), Optional.of(header));
    }

    @Test
    public void leavingTargetIsRead() {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        assertEquals(RelayHeader.leaving(headers), Optional.empty());
        RelayHeader.setLeaving(headers, "i=1;a@0");
        assertEquals(RelayHeader.leaving(headers), Optional.of("i=1;a@0"));
        headers.set(RelayHeader.NAME, "leaving=%");
        assertEquals(RelayHeader.leaving(headers), Optional.empty());
        headers.set(RelayHeader.NAME, RelayHeader.UNAVAILABLE);
        assertEquals(RelayHeader.leaving(headers), Optional.empty());
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
