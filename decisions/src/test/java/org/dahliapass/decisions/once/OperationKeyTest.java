package org.dahliapass.decisions.once;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link OperationKey} and {@link OperationToken}. */
public final class OperationKeyTest {

    private static final String TEXT = "home-1~7.witness-1~3.lfls.a";

    @Test
    public void parseInvertsToString() {
        assertEquals(OnceFixtures.OPERATION.key().toString(), TEXT);
        assertEquals(OperationKey.parse(TEXT), Optional.of(OnceFixtures.OPERATION.key()));
    }

    /** Provides texts that are not keys or not in canonical form. */
    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {""},
            {"a"},
            {"home-1~7.witness-1~3.lfls"},
            {"home-1~7.witness-1~3.lfls."},
            {"home-1~7.witness-1~3.lfls.a b"},
            {"home-1~7.witness-1~3.lfls." + "a".repeat(65)},
            {"home-1~7.witness-1~3.0lfls.a"},
            {"home-1~07.witness-1~3.lfls.a"},
            {"home-1~7.witness-1~3.LFLS.a"},
            {"home-1~7.witness-1~3.-lfls.a"},
            {"home-1~7.witness-1~3.zzzzzzzzzzzzz.a"},
            {"home-1~7.home-1~8.lfls.a"},
            {"home-1.witness-1~3.lfls.a"},
            {"h".repeat(64) + "~7.witness-1~3.lfls.a"},
            {"home-1~7.witness-1~3.lfls.a.b"},
            {"home_1~7.witness-1~3.lfls.a"},
        };
    }

    @Test(dataProvider = "malformed")
    public void parseRejectsMalformedText(String text) {
        assertEquals(OperationKey.parse(text), Optional.empty());
    }

    @Test
    public void parseAcceptsLongestKey() {
        String longest =
                "h".repeat(63)
                        + "~1y2p0ij32e8e7."
                        + "w".repeat(63)
                        + "~1y2p0ij32e8e7.1y2p0ij32e8e7."
                        + "u".repeat(64);
        assertEquals(longest.length(), OperationKey.MAX_LENGTH);
        assertEquals(OperationKey.parse(longest).map(Object::toString), Optional.of(longest));
    }

    @Test
    public void tokenRejectsHomeAsWitness() {
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new OperationToken(
                                OnceFixtures.HOME,
                                OnceFixtures.HOME_RESTARTED,
                                OnceFixtures.ISSUED));
    }
}
