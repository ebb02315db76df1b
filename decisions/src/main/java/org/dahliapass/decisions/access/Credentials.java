package org.dahliapass.decisions.access;

import java.util.List;
import java.util.Optional;
import org.dahliapass.model.routing.KeyDigest;

/**
 * The credentials of a request, without the key itself.
 *
 * @param key the digest of the key; empty if the request has no usable key
 * @param defect why there is no key; empty if there is one
 */
public record Credentials(Optional<KeyDigest> key, Optional<RejectionReason> defect) {
    private static final String SCHEME = "Bearer";

    /**
     * Parses the credentials of a request.
     *
     * @param authorization the values of all Authorization headers
     */
    public static Credentials parse(List<String> authorization) {
        if (authorization.isEmpty()) {
            return without(RejectionReason.NO_KEY);
        }
        if (authorization.size() > 1) {
            return without(RejectionReason.SEVERAL_KEYS);
        }
        String value = authorization.get(0).trim();
        int separator = value.indexOf(' ');
        if (separator < 0 || !value.substring(0, separator).equalsIgnoreCase(SCHEME)) {
            return without(RejectionReason.UNSUPPORTED_SCHEME);
        }
        KeyDigest digest = KeyDigest.of(value.substring(separator).trim());
        return new Credentials(Optional.of(digest), Optional.empty());
    }

    private static Credentials without(RejectionReason defect) {
        return new Credentials(Optional.empty(), Optional.of(defect));
    }
}
