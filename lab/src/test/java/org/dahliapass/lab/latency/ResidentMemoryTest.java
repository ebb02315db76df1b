package org.dahliapass.lab.latency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.dahliapass.kernel.OperationException;
import org.testng.annotations.Test;

/** Tests for {@link ResidentMemory}. */
public class ResidentMemoryTest {
    @Test
    public void findsTheResidentSetAmongTheOtherLines() {
        List<String> lines = List.of("VmHWM:\t  999 kB", "VmRSS:\t   62504 kB", "RssAnon:\t 1 kB");
        assertEquals(ResidentMemory.parse(lines), 62_504);
    }

    @Test
    public void aProcessThatHasEndedHasNone() {
        assertThrows(OperationException.class, () -> ResidentMemory.parse(List.of("State:\tZ")));
    }

    @Test
    public void readsItsOwnProcess() {
        assertTrue(new ResidentMemory(ProcessHandle.current().pid()).kibibytes() > 0);
    }
}
