package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a VM tells another one that serves a request for it. Only requests between VMs carry it.
 *
 * @param maxTargets the number of targets that the request may still be sent to
 * @param isCounted whether the VM has counted the request as a first attempt of its service
 * @param isLimited whether the VM has taken a token of the customer's rate limit
 * @param service the service that the VM selected
 */
record RelayHeader(int maxTargets, boolean isCounted, boolean isLimited, String service) {
    static final AsciiString NAME = AsciiString.cached("dahliapass-relay");

    /** In a response: the VM can't serve any request now. */
    static final String UNAVAILABLE = "unavailable";

    /**
     * In a response: as {@link #UNAVAILABLE}, and the request was sent to a target, which did not
     * run it.
     */
    static final String UNAVAILABLE_AFTER_ATTEMPT = "unavailable-after-attempt";

    private static final String MAX_TARGETS = "targets";
    private static final String COUNTED = "counted";
    private static final String LIMITED = "limited";
    private static final String SERVICE = "service";

    /** In a response: the target that created it is leaving; followed by its incarnation. */
    private static final String LEAVING = "leaving=";

    /**
     * Sets the header of a response whose target says that it is leaving, so that the VM that
     * passed the request on learns which target said so.
     */
    static void setLeaving(HttpHeaders headers, String incarnation) {
        headers.set(NAME, LEAVING + URLEncoder.encode(incarnation, StandardCharsets.UTF_8));
    }

    /** Returns the incarnation of the target that is leaving, by the header of a response. */
    static Optional<String> leaving(HttpHeaders headers) {
        String value = headers.get(NAME, "");
        if (!value.startsWith(LEAVING)) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    URLDecoder.decode(value.substring(LEAVING.length()), StandardCharsets.UTF_8));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the value of the header. */
    String format() {
        return String.join(
                ";",
                MAX_TARGETS + "=" + maxTargets,
                COUNTED + "=" + isCounted,
                LIMITED + "=" + isLimited,
                SERVICE + "=" + URLEncoder.encode(service, StandardCharsets.UTF_8));
    }

    /** Parses a value of the header; empty if it is malformed. */
    static Optional<RelayHeader> parse(String value) {
        Map<String, String> fields = new HashMap<>();
        for (String field : value.split(";", -1)) {
            int separator = field.indexOf('=');
            if (separator > 0) {
                fields.put(field.substring(0, separator), field.substring(separator + 1));
            }
        }
        try {
            return Optional.of(
                    new RelayHeader(
                            Integer.parseInt(fields.getOrDefault(MAX_TARGETS, "")),
                            Boolean.parseBoolean(fields.get(COUNTED)),
                            Boolean.parseBoolean(fields.get(LIMITED)),
                            URLDecoder.decode(
                                    fields.getOrDefault(SERVICE, ""), StandardCharsets.UTF_8)));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
