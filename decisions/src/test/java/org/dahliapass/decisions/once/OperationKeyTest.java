package org.dahliapass.decisions.once;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link OperationKey} and {@link OperationToken}. */
public final class OperationKeyTest {

    private static final String TEXT = "home-1~7.witness-1~3.lfls.a";

    /** What is written is read back as the same key. */
    @Test
    public void parseReadsWhatToStringWrites() {
        assertEquals(OnceFixtures.OPERATION.key().toString(), TEXT);
        assertEquals(OperationKey.parse(TEXT), Optional.of(OnceFixtures.OPERATION.key()));
    }

    /** Texts that are no key, or a second spelling of one. */
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

    /** Each malformed text gives no key. */
    @Test(dataProvider = "malformed")
    public void parseRefusesMalformedText(String text) {
        assertEquals(OperationKey.parse(text), Optional.empty());
    }

    /** The longest parts still make a key. */
    @Test
    public void parseTakesTheLongestKey() {
        String longest =
                "h".repeat(63)
                        + "~1y2p0ij32e8e7."
                        + "w".repeat(63)
                        + "~1y2p0ij32e8e7.1y2p0ij32e8e7."
                        + "u".repeat(64);
        assertEquals(longest.length(), OperationKey.MAX_LENGTH);
        assertEquals(OperationKey.parse(longest).map(Object::toString), Optional.of(longest));
    }

    /** A VM isn't its own witness, in whichever life. */
    @Test
    public void tokenRefusesTheHomeAsWitness() {
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new OperationToken(
                                OnceFixtures.HOME,
                                OnceFixtures.HOME_RESTARTED,
                                OnceFixtures.ISSUED));
    }
}
