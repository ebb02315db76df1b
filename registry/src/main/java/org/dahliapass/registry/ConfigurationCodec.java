package org.dahliapass.registry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.dahliapass.decisions.configuration.CustomerIndex;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.Pointer;
import org.dahliapass.decisions.configuration.StoreItem;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.decisions.configuration.TemplateText;
import org.dahliapass.kernel.OperationException;

/**
 * Writes the values of the configuration store as text: templates as they are, all else as JSON.
 *
 * <p>Unknown JSON fields are skipped, so that releases that add fields work beside older ones.
 */
public final class ConfigurationCodec {
    private static final ObjectMapper JSON =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private ConfigurationCodec() {}

    /** Returns the text that the store is given for a value. */
    public static String encode(StoreItem item) {
        if (item instanceof TemplateText text) {
            return text.text();
        }
        try {
            return JSON.writeValueAsString(item);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("All values are plain records.", failure);
        }
    }

    /**
     * Returns the value that a text of the store stands for.
     *
     * @throws OperationException if it isn't one
     */
    public static StoreItem decode(StoreKey key, String text) {
        try {
            return switch (key.kind()) {
                case TEXT -> new TemplateText(text);
                case HEAD -> JSON.readValue(text, Head.class);
                case POINTER -> JSON.readValue(text, Pointer.class);
                case CUSTOMERS -> JSON.readValue(text, CustomerIndex.class);
            };
        } catch (JsonProcessingException failure) {
            throw new OperationException(
                    "decode " + key.path(),
                    "store",
                    "The value isn't what this release writes; restore it from a backup.",
                    failure);
        }
    }
}
