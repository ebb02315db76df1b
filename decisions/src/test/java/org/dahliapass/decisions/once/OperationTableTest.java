package org.dahliapass.decisions.once;

import static org.dahliapass.decisions.once.OnceFixtures.ISSUED;
import static org.dahliapass.decisions.once.OnceFixtures.LIMITS;
import static org.dahliapass.decisions.once.OnceFixtures.OPERATION;
import static org.dahliapass.decisions.once.OnceFixtures.RESULT;
import static org.dahliapass.decisions.once.OnceFixtures.WINDOW;
import static org.dahliapass.decisions.once.OnceFixtures.operation;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

/** Tests for {@link OperationTable} and {@link RetentionWindow}. */
public final class OperationTableTest {

    private static final long EXPIRY = ISSUED + WINDOW.retentionMillis();

    @Test
    public void addKeepsReserveAndNeverEvictsLiveRecords() {
        OperationTable<String> table = new OperationTable<>(WINDOW, LIMITS);
        table.advance(ISSUED);
        assertTrue(table.add(operation("a"), "a"));
        assertFalse(table.add(operation("a"), "again"));
        assertTrue(table.add(operation("b"), "b"));
        assertFalse(table.add(operation("c"), "c"));
        assertTrue(table.addRefusal(operation("c"), "c"));
        assertFalse(table.addRefusal(operation("d"), "d"));
        assertEquals(table.find(operation("a")), Optional.of("a"));
        assertEquals(table.size(), 3);
    }

    @Test
    public void advanceEvictsOnceKeyIsRefused() {
        OperationTable<String> table = new OperationTable<>(WINDOW, LIMITS);
        table.advance(EXPIRY);
        assertTrue(table.add(OPERATION, "kept"));
        table.fitResult(OPERATION, RESULT);
        assertEquals(table.refusal(OPERATION.key()), Optional.empty());
        table.advance(EXPIRY + 1);
        assertEquals(table.find(OPERATION), Optional.empty());
        assertEquals(table.bytes(), 0);
        assertEquals(table.refusal(OPERATION.key()), Optional.of(UnknownReason.EXPIRED));
    }

    /** Otherwise a key whose record was evicted would be accepted again and run twice. */
    @Test
    public void advanceIgnoresClockThatGoesBack() {
        OperationTable<String> table = new OperationTable<>(WINDOW, LIMITS);
        table.advance(EXPIRY + 1);
        table.advance(ISSUED);
        assertEquals(table.refusal(OPERATION.key()), Optional.of(UnknownReason.EXPIRED));
    }

    @Test
    public void refusalToleratesMaxClockSkew() {
        assertEquals(WINDOW.refusal(ISSUED, ISSUED - 1_000), Optional.empty());
        assertEquals(
                WINDOW.refusal(ISSUED, ISSUED - 1_001), Optional.of(UnknownReason.NOT_YET_VALID));
    }

    @Test
    public void fitResultDropsBodyBeforeStatus() {
        TableLimits shortBodies = new TableLimits(3, 1, 10_000, 2);
        OperationTable<String> table = new OperationTable<>(WINDOW, shortBodies);
        assertEquals(table.fitResult(operation("a"), RESULT), RESULT.withoutBody());
        TableLimits fewBytes = new TableLimits(3, 1, 1, 100);
        OperationTable<String> full = new OperationTable<>(WINDOW, fewBytes);
        assertFalse(full.add(operation("a"), "a"));
        assertEquals(full.fitResult(operation("a"), RESULT), RESULT.statusOnly());
        assertEquals(full.bytes(), 0);
    }
}
