package org.dahliapass.decisions.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/** The immutable INI text of a template, stored under its digest. */
public record TemplateText(String text) implements MergeableItem {
    private static final int DIGEST_CHARACTERS = 32;

    /** Returns the first 128 bits of the text's SHA-256 digest in hexadecimal digits. */
    public String digest() {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash).substring(0, DIGEST_CHARACTERS);
        } catch (NoSuchAlgorithmException failure) {
            throw new IllegalStateException(
                    "SHA-256 is not available in this Java runtime", failure);
        }
    }

    @Override
    public TemplateText mergedWith(Optional<StoreItem> current) {
        return this;
    }
}
